"""Faults of the soak. Each is a coroutine that injects one trouble from outside
the processes and takes it back; several overlap."""

import asyncio
import signal
import time

import wire
from callers import hammer

# A controller that is back counts as lost for this long; no other one is lost
# for good meanwhile.
CATCH_UP_SECONDS = 5


class Faults:
    def __init__(self, world, random):
        self.world = world
        self.random = random
        self.record = world.record
        self.kinds = [
            self.kill_entry, self.stop_entry, self.freeze_entry,
            self.kill_controller, self.stop_controller, self.freeze_controller,
            self.kill_all, self.wipe_controller, self.crash_primary,
            self.silence_database, self.lag, self.lose_answers,
            self.reset_connections, self.delay_connections, self.cut_one_way,
            self.refuse_connections, self.change_keys, self.race, self.reload,
            self.flood]

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            kind = self.random.choice(self.kinds)
            self.record.event(f"fault {kind.__name__}")
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)

    def seconds(self, least=0.3, most=3.0):
        return self.random.uniform(least, most)

    async def hold(self, names, seconds):
        """Waits, while the named instances count as disturbed."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.record.disturb(*names)
            await asyncio.sleep(0.05)
        self.record.disturb(*names)

    async def restart(self, process, number):
        if not process.wanted:
            return
        name = process.instance.name
        self.record.disturb(name)
        ended = asyncio.create_task(
            process.end(number, wire.STOP_GRACE_SECONDS + 1))
        while not ended.done():
            await self.hold([name], 0.05)
        if not ended.result() and number == signal.SIGTERM:
            self.record.violation("stop", f"{name}/{process.role} had to be "
                                          "killed after the grace")
        await self.hold([name], self.seconds(0.1, 1.5))
        process.start()
        await self.hold([name], 0.3)

    async def kill_entry(self):
        await self.restart(self.random.choice(self.world.entries).entry,
                           signal.SIGKILL)

    async def stop_entry(self):
        await self.restart(self.random.choice(self.world.entries).entry,
                           signal.SIGTERM)

    async def kill_controller(self):
        await self.restart(self.random.choice(self.world.controllers).controller,
                           signal.SIGKILL)

    async def stop_controller(self):
        await self.restart(self.random.choice(self.world.controllers).controller,
                           signal.SIGTERM)

    async def freeze(self, process):
        if not process.running():
            return
        process.send(signal.SIGSTOP)
        await self.hold([process.instance.name], self.seconds())
        process.send(signal.SIGCONT)
        self.record.disturb(process.instance.name)

    async def freeze_entry(self):
        await self.freeze(self.random.choice(self.world.entries).entry)

    async def freeze_controller(self):
        await self.freeze(self.random.choice(self.world.controllers).controller)

    async def kill_all(self):
        processes = [process for instance in self.world.instances
                     for process in instance.processes()]
        await asyncio.gather(*(self.restart(process, signal.SIGKILL)
                               for process in processes))

    async def wipe_controller(self):
        if self.world.wiping or not all(
                self.record.disturbed[instance.name]
                < time.monotonic() - CATCH_UP_SECONDS
                for instance in self.world.controllers):
            return
        self.world.wiping = True
        instance = self.random.choice(self.world.controllers)
        self.record.event(f"wipe {instance.name}")
        instance.write_settings(self.world.seeds)
        await instance.controller.end()
        instance.wipe()
        await self.hold([instance.name], self.seconds(0.1, 1.0))
        instance.controller.start()
        await self.hold([instance.name], CATCH_UP_SECONDS)
        self.world.wiping = False

    def group(self):
        return self.random.choice(list(self.world.groups.values()))

    def database(self):
        return self.random.choice(self.group().databases)

    async def crash_primary(self):
        database = self.group().primary
        if not database.up:
            return
        self.record.event(f"{database.name} crashes")
        database.crash()
        await asyncio.sleep(self.seconds(0.5, 4))
        database.recover()

    async def silence_database(self):
        database = self.database()
        database.silent = True
        await asyncio.sleep(self.seconds(0.5, 2.5))
        database.silent = False

    async def lag(self):
        database = self.database()
        database.lag = self.seconds(0.1, 2)
        await asyncio.sleep(self.seconds(1, 4))
        database.lag = 0.01

    async def lose_answers(self):
        database = self.database()
        database.answer_loss = 0.2
        await asyncio.sleep(self.seconds(1, 4))
        database.answer_loss = 0

    def proxy(self):
        return self.random.choice(self.world.proxies)

    async def reset_connections(self):
        for _ in range(self.random.randint(1, 4)):
            self.proxy().reset()
            await asyncio.sleep(self.seconds(0.05, 0.5))

    async def delay_connections(self):
        proxy = self.proxy()
        proxy.delay = self.seconds(0.02, 0.4)
        await asyncio.sleep(self.seconds(1, 4))
        proxy.heal()

    async def cut_one_way(self):
        proxy = self.proxy()
        proxy.lost = set(self.random.choice([["in"], ["out"], ["in", "out"]]))
        await asyncio.sleep(self.seconds(0.5, 3))
        proxy.heal()

    async def refuse_connections(self):
        proxy = self.proxy()
        proxy.refusing = True
        proxy.reset()
        await asyncio.sleep(self.seconds(0.5, 3))
        proxy.heal()

    async def change_keys(self):
        await self.world.operator.change_keys()

    async def race(self):
        await asyncio.gather(*(self.world.operator.change_keys()
                               for _ in range(self.random.randint(2, 3))))

    async def reload(self):
        for instance in self.world.instances:
            instance.write_settings(self.random.sample(
                self.world.seeds, self.random.randint(1, 3)))
            instance.entry.send(signal.SIGHUP)

    async def flood(self):
        customer, key = self.random.choice(self.world.keys())
        await hammer(self.world, customer, key,
                     time.monotonic() + self.seconds(1, 4))
