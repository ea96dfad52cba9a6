#!/usr/bin/env python3
"""Randomized fault soak of `goldcrestd entry` and `goldcrestd controller`.

Runs the daemons as processes on loopback addresses between stand-in callers and
databases, injects faults from outside, and continuously checks the guarantees
of docs/soak.md. Every random choice comes from the seed; timing does not.

    python3 soak/soak.py --daemon PATH [--seeds 1-50] [--seconds 20]
                         [--keep FOLDER]
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

sys.path[:0] = [os.path.dirname(__file__),
                os.path.join(os.path.dirname(__file__), "..", "platform",
                             "tests")]
import wire  # noqa: E402
from callers import Caller  # noqa: E402
from databases import Connection, Database, Group, send_heartbeats  # noqa: E402
from faults import Faults  # noqa: E402
from instances import PORTS, Instance  # noqa: E402
from net import Proxy, cancel_all, http_call, serve_http  # noqa: E402
from operator_calls import CUSTOMER_RATE, Operator  # noqa: E402
from planned_stops import run_planned_stops  # noqa: E402
from record import Record  # noqa: E402
from withdrawals import run_withdrawals  # noqa: E402

INSTANCE_COUNT = 5
CONTROLLER_COUNT = 3
CALLER_COUNT = 24
START_TIMEOUT_SECONDS = 15
# The fleet must serve operations again within this time after the last fault.
RECOVERY_SECONDS = 12
# After the recovery, at least this share of the operations must complete.
MEASUREMENT_SECONDS = 4
MIN_COMPLETED_RATIO = 0.8


class Testbed:
    """The daemons and all simulated parties of one seed."""

    def __init__(self, seed, daemon, folder, log):
        self.record = Record(log)
        self.folder = folder
        self.stopping = False
        self.wipe_in_progress = False
        self.control_port = PORTS["control"]
        # Each run has its own addresses, so that several can run in parallel.
        host_prefix = f"127.{os.getpid() % 100 + 20}.{seed % 250}"
        self.hosts = [f"{host_prefix}.{n + 1}" for n in range(100)]
        self.platform_address = (self.hosts[60], 7000)
        self.seed_nodes = [f"{self.hosts[n]}:{self.control_port}"
                           for n in range(CONTROLLER_COUNT)]
        self.instances = [
            Instance(n, daemon, folder, self.hosts[n], self.seed_nodes,
                     "%s:%d" % self.platform_address, n < CONTROLLER_COUNT)
            for n in range(INSTANCE_COUNT)]
        self.entries = self.instances
        self.controllers = self.instances[:CONTROLLER_COUNT]
        self.controller_names = [c.name for c in self.controllers]
        self.groups = {name: Group(name, self.record, f"{seed}{name}")
                       for name in ("alpha", "beta")}
        self.routes = [(f"{kind[0]}{group}", kind, max_staleness_ms, group)
                       for group in self.groups
                       for kind, max_staleness_ms in (("primary", None),
                                           ("bounded_staleness", 1500),
                                           ("read_your_writes", 2500))]
        self.operator = Operator(self, seed)
        self.proxies = []
        for name in self.operator.current_keys:
            self.record.rates[name] = CUSTOMER_RATE

    def caller_keys(self):
        """Returns (customer, key) pairs; the last withdrawn key is rarer."""
        current_keys = list(self.operator.current_keys.items())
        last_withdrawn = list(self.record.withdrawn_at)[-1:]
        return current_keys * 8 + [(f"customer{key[4]}", key)
                                   for key in last_withdrawn]

    async def start(self):
        free_hosts = iter(self.hosts[10:60])
        for group in self.groups.values():
            for number in range(3):
                listen_address, proxy_address = (
                    (next(free_hosts), 7300), (next(free_hosts), 7300))
                database = Database(group, f"{group.name}-{number}",
                                    "zone-" + "abc"[number], listen_address,
                                    proxy_address)
                group.databases.append(database)
                await asyncio.start_server(
                    lambda r, w, d=database: Connection(d, r, w).serve(),
                    *listen_address)
                await self.add_proxy(proxy_address, listen_address)
            group.primary = group.databases[0]
        for instance in self.instances:
            instance.proxy = (next(free_hosts), PORTS["callers"])
            await self.add_proxy(instance.proxy,
                                 (instance.host, PORTS["callers"]))
        await serve_http(*self.platform_address, self.handle_platform_call)
        for instance in self.instances:
            for process in instance.processes():
                process.start()
        addresses = [(c.host, self.control_port) for c in self.controllers]
        self.background = [asyncio.create_task(g.replicate())
                           for g in self.groups.values()]
        self.background += [asyncio.create_task(send_heartbeats(d, addresses))
                            for g in self.groups.values()
                            for d in g.databases]
        self.background.append(asyncio.create_task(self.watch_processes()))

    async def add_proxy(self, proxy_address, target):
        proxy = Proxy(*proxy_address, target)
        await proxy.start()
        self.proxies.append(proxy)

    async def handle_platform_call(self, method, path, headers, body):
        if (method, path) != ("POST", wire.PROMOTION_PATH):
            return 404, ""
        group, endpoint = wire.decode_promotion(body)
        fencing_token = int(headers[wire.FENCING_HEADER])
        status = await self.groups[group].promote(endpoint, fencing_token)
        self.record.log_event(
            f"promotion order {fencing_token}: {endpoint}, {status}")
        return status, "{}"

    async def watch_processes(self):
        """Reports and restarts daemons that exit without being stopped."""
        while not self.stopping:
            for instance in self.instances:
                for process in instance.processes():
                    if process.should_run and not process.is_running():
                        self.record.add_violation(
                            "exit", f"{instance.name}/{process.role} exited"
                                    f" with {process.child.returncode}")
                        process.start()
            await asyncio.sleep(0.2)

    async def wait_until_ready(self):
        for _ in range(START_TIMEOUT_SECONDS * 10):
            states = await asyncio.gather(*(
                http_call(i.host, PORTS["ready"], "GET", wire.READINESS_PATH)
                for i in self.instances))
            if all(status == 200 for status, _, _ in states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.stopping = True
        for instance in self.instances:
            for process in instance.processes():
                await process.stop(timeout_seconds=0)


def on_loop_error(loop, context):
    # Tasks of connections that are still open at the end are cancelled.
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def run_seed(seed, seconds, daemon, folder, log):
    """Runs one seed and returns its record."""
    asyncio.get_running_loop().set_exception_handler(on_loop_error)
    testbed = Testbed(seed, daemon, folder, log)
    record = testbed.record
    callers = []
    try:
        await testbed.start()
        await testbed.operator.change_keys()
        if not await testbed.wait_until_ready():
            record.add_violation("start", "not all entries became ready")
            return record
        await run_withdrawals(testbed)
        await run_planned_stops(testbed, random.Random(f"{seed}-stops"))
        callers = [asyncio.create_task(
            Caller(f"c{n}", testbed, f"{seed}-{n}").run())
            for n in range(CALLER_COUNT)]
        configuration_poll = asyncio.create_task(
            testbed.operator.poll_configuration())
        end_time = time.monotonic() + seconds
        await Faults(testbed, random.Random(seed)).run(end_time)
        record.log_event("the last fault has ended")
        await asyncio.sleep(RECOVERY_SECONDS)
        completed, not_completed = (
            record.completed, record.failed + record.refused)
        await asyncio.sleep(MEASUREMENT_SECONDS)
        completed = record.completed - completed
        not_completed = record.failed + record.refused - not_completed
        if (completed < MIN_COMPLETED_RATIO * (completed + not_completed)
                or completed == 0):
            record.add_violation(
                "recovery", f"{completed} operations completed and"
                            f" {not_completed} did not in"
                            f" {MEASUREMENT_SECONDS} s")
        if not await testbed.operator.check_configuration() and not (
                await testbed.operator.check_configuration()):
            record.add_violation("configuration",
                                 "no controller returned the configuration")
        configuration_poll.cancel()
        for task in callers:
            if task.done():
                task.result()  # Raises an unexpected exception of the caller.
        return record
    finally:
        await testbed.stop()
        await cancel_all(asyncio.all_tasks() - {asyncio.current_task()})


def parse_seed_range(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--seeds", type=parse_seed_range,
                        default=parse_seed_range("1"))
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration in which faults are started")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        folder = tempfile.mkdtemp(prefix="goldcrest-soak-")
        with open(f"{folder}/events", "w") as events:
            record = asyncio.run(run_seed(
                seed, options.seconds, os.path.abspath(options.daemon), folder,
                lambda line, file=events: print(line, file=file)))
        print(f"seed {seed}: {'FAILED' if record.violations else 'passed'},"
              f" {record.completed} operations, {record.refused} refused,"
              f" {record.failed} failed", flush=True)
        for violation in record.violations[:10]:
            print(f"  {violation}", flush=True)
        failed += bool(record.violations)
        if record.violations and options.keep:
            shutil.copytree(folder, f"{options.keep}/seed-{seed}",
                            dirs_exist_ok=True)
        shutil.rmtree(folder)
    print(f"{len(options.seeds) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
