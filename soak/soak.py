#!/usr/bin/env python3
"""Randomized fault soak of `goldcrestd entry` and `goldcrestd controller`.

Runs the daemons as processes on loopback addresses between stand-in callers and
databases, injects faults from outside, and checks the promises of docs/soak.md
all the while. Every choice comes from the seed; timing does not.

    soak/soak.py --daemon PATH [--seeds 1-50] [--seconds 20] [--keep FOLDER]
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
from databases import Connection, Database, Group, beat  # noqa: E402
from faults import Faults  # noqa: E402
from instances import PORTS, Instance  # noqa: E402
from net import Proxy, http_call, serve_http  # noqa: E402
from operator_calls import RATE, Operator  # noqa: E402
from record import Record  # noqa: E402

INSTANCES = 5
CONTROLLERS = 3
CALLERS = 24
START_SECONDS = 15
# After the last fault everything is served again within this time.
RECOVERY_SECONDS = 12
CALM_SECONDS = 4
SERVED_SHARE = 0.8


class World:
    def __init__(self, seed, daemon, folder, log):
        self.record = Record(log)
        self.folder = folder
        self.stopping = False
        self.wiping = False
        self.control_port = PORTS["control"]
        # Addresses of their own, so that another run may go on beside.
        net = f"127.{os.getpid() % 100 + 20}.{seed % 250}"
        self.hosts = [f"{net}.{n + 1}" for n in range(100)]
        self.api = (self.hosts[60], 7000)
        self.seeds = [f"{self.hosts[n]}:{self.control_port}"
                      for n in range(CONTROLLERS)]
        self.instances = [
            Instance(n, daemon, folder, self.hosts[n], self.seeds,
                     "%s:%d" % self.api, n < CONTROLLERS)
            for n in range(INSTANCES)]
        self.entries = self.instances
        self.controllers = self.instances[:CONTROLLERS]
        self.controller_names = [c.name for c in self.controllers]
        self.groups = {name: Group(name, self.record, f"{seed}{name}")
                       for name in ("alpha", "beta")}
        self.routes = [(f"{kind[0]}{group}", kind, stale, group)
                       for group in self.groups
                       for kind, stale in (("primary", None),
                                           ("bounded_staleness", 1500),
                                           ("read_your_writes", 2500))]
        self.operator = Operator(self, seed)
        self.proxies = []
        for name in self.operator.key_of:
            self.record.rates[name] = RATE

    def keys(self):
        known = list(self.operator.key_of.items())
        gone = list(self.record.withdrawn)[-1:]
        return known * 8 + [(f"customer{key[4]}", key) for key in gone]

    async def start(self):
        free = iter(self.hosts[10:60])
        for group in self.groups.values():
            for number in range(3):
                listen, shown = (next(free), 7300), (next(free), 7300)
                database = Database(group, f"{group.name}-{number}",
                                    "zone-" + "abc"[number], listen, shown)
                group.databases.append(database)
                await asyncio.start_server(
                    lambda r, w, d=database: Connection(d, r, w).serve(),
                    *listen)
                await self.add_proxy(shown, listen)
            group.primary = group.databases[0]
        for instance in self.instances:
            instance.proxy = (next(free), PORTS["callers"])
            await self.add_proxy(instance.proxy,
                                 (instance.host, PORTS["callers"]))
        await serve_http(*self.api, self.on_platform_call)
        for instance in self.instances:
            for process in instance.processes():
                process.start()
        addresses = [(c.host, self.control_port) for c in self.controllers]
        self.background = [asyncio.create_task(g.replicate())
                           for g in self.groups.values()]
        self.background += [asyncio.create_task(beat(d, addresses))
                            for g in self.groups.values()
                            for d in g.databases]
        self.background.append(asyncio.create_task(self.watch_processes()))

    async def add_proxy(self, shown, target):
        proxy = Proxy(*shown, target)
        await proxy.start()
        self.proxies.append(proxy)

    async def on_platform_call(self, method, path, headers, body):
        if (method, path) != ("POST", wire.PROMOTION_PATH):
            return 404, ""
        group, endpoint = wire.decode_promotion(body)
        fence = int(headers[wire.FENCING_HEADER])
        status = await self.groups[group].promote(endpoint, fence)
        self.record.event(f"order {fence}: {endpoint}, {status}")
        return status, "{}"

    async def watch_processes(self):
        while not self.stopping:
            for instance in self.instances:
                for process in instance.processes():
                    if process.wanted and not process.running():
                        self.record.violation(
                            "exit", f"{instance.name}/{process.role} ended with"
                                    f" {process.child.returncode}")
                        process.start()
            await asyncio.sleep(0.2)

    async def ready(self):
        for _ in range(START_SECONDS * 10):
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
                await process.end(seconds=0)


def on_loop_error(loop, context):
    # Connections that are open at the end are cancelled with their tasks.
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def play(seed, seconds, daemon, folder, log):
    """The record of one seed."""
    asyncio.get_running_loop().set_exception_handler(on_loop_error)
    world = World(seed, daemon, folder, log)
    record = world.record
    callers = []
    try:
        await world.start()
        await world.operator.change_keys()
        if not await world.ready():
            record.violation("start", "not all entries became ready")
            return record
        callers = [asyncio.create_task(
            Caller(f"c{n}", world, f"{seed}-{n}").run())
            for n in range(CALLERS)]
        watch = asyncio.create_task(world.operator.watch())
        until = time.monotonic() + seconds
        await Faults(world, random.Random(seed)).run(until)
        record.event("last fault is over")
        await asyncio.sleep(RECOVERY_SECONDS)
        done, lost = record.done, record.failed + record.refused
        await asyncio.sleep(CALM_SECONDS)
        done = record.done - done
        lost = record.failed + record.refused - lost
        if done < SERVED_SHARE * (done + lost) or done == 0:
            record.violation("recovery", f"{done} done, {lost} not, in"
                                         f" {CALM_SECONDS} s")
        if not await world.operator.read() and not (
                await world.operator.read()):
            record.violation("configuration", "can't be read back")
        watch.cancel()
        for task in callers:
            if task.done():
                task.result()  # raises what a caller did not expect
        return record
    finally:
        await world.stop()
        # wait_for() may lose a cancellation that meets the end of its wait.
        others = asyncio.all_tasks() - {asyncio.current_task()}
        while others:
            for task in others:
                task.cancel()
            _, others = await asyncio.wait(others, timeout=1)


def numbers(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--seeds", type=numbers, default=numbers("1"))
    parser.add_argument("--seconds", type=float, default=20,
                        help="time in which faults begin")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        folder = tempfile.mkdtemp(prefix="goldcrest-soak-")
        with open(f"{folder}/events", "w") as events:
            record = asyncio.run(play(
                seed, options.seconds, os.path.abspath(options.daemon), folder,
                lambda line, file=events: print(line, file=file)))
        print(f"seed {seed}: {'FAILED' if record.violations else 'passed'},"
              f" {record.done} operations, {record.refused} refused,"
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
