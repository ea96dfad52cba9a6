"""Faults of the soak. Each is a coroutine that injects one fault from outside
the processes and removes it; several overlap."""

import asyncio
import signal
import time

import wire
from callers import send_above_rate

# A controller that lost its data counts as failed for this long after its
# restart. No other controller loses its data meanwhile: three controllers
# tolerate the loss of one.
CATCH_UP_SECONDS = 5


class Faults:
    """Starts random faults. Events name a fault by its method."""

    def __init__(self, testbed, random):
        self.testbed = testbed
        self.random = random
        self.record = testbed.record
        self.faults = [
            self.kill_entry, self.stop_entry, self.freeze_entry,
            self.kill_controller, self.stop_controller, self.freeze_controller,
            self.kill_all, self.wipe_controller, self.crash_primary,
            self.silence_database, self.lag, self.lose_answers,
            self.lose_startups, self.refuse_statements, self.hide_positions,
            self.reset_connections, self.delay_connections, self.cut_one_way,
            self.refuse_connections, self.change_keys, self.race, self.reload,
            self.flood]

    async def run(self, end_time):
        """Starts random faults until end_time, then waits for their end."""
        tasks = []
        while time.monotonic() < end_time:
            fault = self.random.choice(self.faults)
            self.record.log_event(f"fault {fault.__name__}")
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)

    def random_seconds(self, minimum=0.3, maximum=3.0):
        return self.random.uniform(minimum, maximum)

    async def wait_disturbed(self, instance_names, seconds):
        """Waits and marks the named instances as disturbed all the while."""
        end_time = time.monotonic() + seconds
        while time.monotonic() < end_time:
            self.record.mark_disturbed(*instance_names)
            await asyncio.sleep(0.05)
        self.record.mark_disturbed(*instance_names)

    async def restart(self, process, signal_number):
        if not process.should_run:
            return
        name = process.instance.name
        self.record.mark_disturbed(name)
        stop_task = asyncio.create_task(
            process.stop(signal_number, wire.STOP_GRACE_SECONDS + 1))
        while not stop_task.done():
            await self.wait_disturbed([name], 0.05)
        if not stop_task.result() and signal_number == signal.SIGTERM:
            self.record.add_violation(
                "stop", f"{name}/{process.role} was killed because it did not"
                        " stop within the grace period")
        await self.wait_disturbed([name], self.random_seconds(0.1, 1.5))
        process.start()
        await self.wait_disturbed([name], 0.3)

    async def kill_entry(self):
        await self.restart(self.random.choice(self.testbed.entries).entry,
                           signal.SIGKILL)

    async def stop_entry(self):
        await self.restart(self.random.choice(self.testbed.entries).entry,
                           signal.SIGTERM)

    async def kill_controller(self):
        await self.restart(
            self.random.choice(self.testbed.controllers).controller,
            signal.SIGKILL)

    async def stop_controller(self):
        await self.restart(
            self.random.choice(self.testbed.controllers).controller,
            signal.SIGTERM)

    async def freeze(self, process):
        if not process.is_running():
            return
        process.send_signal(signal.SIGSTOP)
        await self.wait_disturbed([process.instance.name],
                                  self.random_seconds())
        process.send_signal(signal.SIGCONT)
        self.record.mark_disturbed(process.instance.name)

    async def freeze_entry(self):
        await self.freeze(self.random.choice(self.testbed.entries).entry)

    async def freeze_controller(self):
        await self.freeze(
            self.random.choice(self.testbed.controllers).controller)

    async def kill_all(self):
        processes = [process for instance in self.testbed.instances
                     for process in instance.processes()]
        await asyncio.gather(*(self.restart(process, signal.SIGKILL)
                               for process in processes))

    async def wipe_controller(self):
        if self.testbed.wipe_in_progress or not all(
                self.record.last_disturbed[instance.name]
                < time.monotonic() - CATCH_UP_SECONDS
                for instance in self.testbed.controllers):
            return
        self.testbed.wipe_in_progress = True
        instance = self.random.choice(self.testbed.controllers)
        self.record.log_event(f"wipe {instance.name}")
        instance.write_settings(self.testbed.seed_nodes)
        await instance.controller.stop()
        instance.clear_data_folder()
        await self.wait_disturbed([instance.name],
                                  self.random_seconds(0.1, 1.0))
        instance.controller.start()
        await self.wait_disturbed([instance.name], CATCH_UP_SECONDS)
        self.testbed.wipe_in_progress = False

    def random_group(self):
        return self.random.choice(list(self.testbed.groups.values()))

    def random_database(self):
        return self.random.choice(self.random_group().databases)

    async def crash_primary(self):
        database = self.random_group().primary
        if not database.is_up:
            return
        self.record.log_event(f"{database.name} crashes")
        database.crash()
        await asyncio.sleep(self.random_seconds(0.5, 4))
        database.recover()

    async def silence_database(self):
        database = self.random_database()
        database.is_silent = True
        await asyncio.sleep(self.random_seconds(0.5, 2.5))
        database.is_silent = False

    async def lag(self):
        database = self.random_database()
        database.replication_lag = self.random_seconds(0.1, 2)
        await asyncio.sleep(self.random_seconds(1, 4))
        database.replication_lag = 0.01

    async def lose_answers(self):
        database = self.random_database()
        database.answer_loss_probability = 0.2
        await asyncio.sleep(self.random_seconds(1, 4))
        database.answer_loss_probability = 0

    async def lose_startups(self):
        database = self.random_group().primary
        database.startup_loss_probability = 0.3
        await asyncio.sleep(self.random_seconds(1, 4))
        database.startup_loss_probability = 0

    async def refuse_statements(self):
        database = self.random_group().primary
        database.refusal_probability = 0.4
        await asyncio.sleep(self.random_seconds(1, 4))
        database.refusal_probability = 0

    async def hide_positions(self):
        group = self.random_group()
        group.tells_all_positions = False
        for database in group.databases:
            database.replication_lag = 2
        await asyncio.sleep(self.random_seconds(2, 5))
        for database in group.databases:
            database.replication_lag = 0.01
        group.tells_all_positions = True

    def random_proxy(self):
        return self.random.choice(self.testbed.proxies)

    async def reset_connections(self):
        for _ in range(self.random.randint(1, 4)):
            self.random_proxy().reset()
            await asyncio.sleep(self.random_seconds(0.05, 0.5))

    async def delay_connections(self):
        proxy = self.random_proxy()
        proxy.delay = self.random_seconds(0.02, 0.4)
        await asyncio.sleep(self.random_seconds(1, 4))
        proxy.restore()

    async def cut_one_way(self):
        proxy = self.random_proxy()
        proxy.dropped_directions = set(
            self.random.choice([["in"], ["out"], ["in", "out"]]))
        await asyncio.sleep(self.random_seconds(0.5, 3))
        proxy.restore()

    async def refuse_connections(self):
        proxy = self.random_proxy()
        proxy.refuses_connections = True
        proxy.reset()
        await asyncio.sleep(self.random_seconds(0.5, 3))
        proxy.restore()

    async def change_keys(self):
        await self.testbed.operator.change_keys()

    async def race(self):
        await asyncio.gather(*(self.testbed.operator.change_keys()
                               for _ in range(self.random.randint(2, 3))))

    async def reload(self):
        for instance in self.testbed.instances:
            instance.write_settings(self.random.sample(
                self.testbed.seed_nodes, self.random.randint(1, 3)))
            instance.entry.send_signal(signal.SIGHUP)

    async def flood(self):
        customer, key = self.random.choice(self.testbed.caller_keys())
        await send_above_rate(self.testbed, customer, key,
                              time.monotonic() + self.random_seconds(1, 4))
