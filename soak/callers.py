"""Callers: sessions that read, write and run transactions, and check what they
are told."""

import asyncio
import random
import time

import wire
from record import Operation, Sent

ANSWER_SECONDS = 6
PAUSE_SECONDS = 0.1


class Lost(Exception):
    """The session ended without an answer."""


class Refused(Exception):
    """The statement was answered with an error."""


class Caller:
    def __init__(self, name, world, seed):
        self.name = name
        self.world = world
        self.record = world.record
        self.random = random.Random(seed)
        self.count = 0

    async def run(self):
        while not self.world.stopping:
            try:
                await self.session()
            except (Lost, OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                self.record.failed += 1
            await asyncio.sleep(self.random.uniform(0, 4 * PAUSE_SECONDS))

    async def session(self):
        self.entry = self.random.choice(self.world.entries)
        self.route = self.random.choice(self.world.routes)
        self.group = self.world.groups[self.route[3]]
        self.customer, self.key = self.random.choice(self.world.keys())
        self.values, self.prepared, self.own_commit = {}, {}, None
        reader, self.writer = await asyncio.open_connection(*self.entry.proxy)
        self.reader = reader
        try:
            self.writer.write(f"STARTUP {self.route[0]} {self.key}\r\n".encode())
            first = await self.line(2.5)
            if not first.startswith("READY"):
                self.record.refused += 1
                return
            for _ in range(self.random.randint(1, 30)):
                if self.world.stopping:
                    break
                await self.operation()
                await asyncio.sleep(
                    self.random.expovariate(1 / PAUSE_SECONDS))
            self.writer.write(b"TERMINATE\r\n")
        except Refused:
            self.record.refused += 1
        finally:
            self.writer.close()

    async def line(self, seconds=ANSWER_SECONDS):
        data = await asyncio.wait_for(self.reader.readline(), seconds)
        if not data.endswith(b"\n"):
            raise Lost()
        return data.decode().rstrip("\r\n")

    async def operation(self):
        self.current = Operation(self.name, self.customer, self.key,
                                 self.route, self.values)
        kind = self.random.random()
        if kind < 0.1:
            value = str(self.random.randint(1, 3))
            await self.query(f"SET mode {value}")
            self.values["mode"] = value
            return
        if kind < 0.2:
            access = self.random.choice(["READ", "WRITE"])
            shape = f"q{self.random.randint(1, 4)}"
            await self.query(f"PREPARE s1 {access} {shape}")
            self.prepared["s1"] = (access, shape)
            return
        if kind < 0.75:
            await self.query(self.statement(self.random.random() < 0.25))
        else:
            await self.transaction()
        self.record.done += 1

    def statement(self, writes):
        item = self.random.randint(1, 50)
        prepared = self.prepared.get("s1")
        if prepared and (prepared[0] == "WRITE") == writes:
            return f"EXECUTE s1 {item}" + (" data" if writes else "")
        return f"WRITE {item} data" if writes else f"READ {item}"

    async def transaction(self):
        read_only = self.random.random() < 0.3
        await self.query("BEGIN READ" if read_only else "BEGIN")
        for _ in range(self.random.randint(1, 4)):
            writes = not read_only and self.random.random() < 0.4
            await self.query(self.statement(writes))
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(0, 0.2))
        if self.random.random() < 0.03:
            raise Lost()  # leaves inside the transaction
        await self.query("ROLLBACK" if self.random.random() < 0.1 else "COMMIT")

    def as_run(self, text):
        verb, _, rest = text.partition(" ")
        if verb != "EXECUTE":
            return verb, None, rest
        name, _, rest = rest.partition(" ")
        return verb, self.prepared[name][1], rest

    async def query(self, text):
        self.count += 1
        statement = f"{self.name}-{self.count}"
        self.record.sent[statement] = Sent(self.current, text,
                                           self.as_run(text))
        self.writer.write(f"QUERY {statement} {text}\r\n".encode())
        rows, error, signature = [], None, None
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                break
            else:
                self.record.violation("mixed", f"{statement}: {word}")
        self.record.check_key(self.current, error or "done",
                              [self.entry.name] + self.world.controller_names)
        if error:
            self.record.told(statement, error, self.group)
            raise Refused(error)
        self.done(statement, text, rows, signature)

    def done(self, statement, text, rows, signature):
        verb = text.split(" ")[0]
        if verb not in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            self.record.sent[statement].told = "done"
            return
        if signature == "-" and verb == "COMMIT":
            return  # of a transaction without statements
        run = self.record.answered(statement, self.group, rows, signature,
                                   self.own_commit)
        if run and run.id in (entry[1] for entry in
                              self.group.entries[run.log[1] - 1:run.log[1]]):
            self.own_commit = (run.log[1], run.id)
            self.record.acknowledge(self.group, run.log[1], run.id)


async def hammer(world, customer, key, until):
    """One customer sends many times its rate."""
    caller = Caller(f"loud{customer}-{time.monotonic():.0f}", world, 1)
    tasks = []
    while time.monotonic() < until and not world.stopping:
        tasks = [task for task in tasks if not task.done()]
        if len(tasks) < 12:
            tasks.append(asyncio.create_task(_once(caller, customer, key)))
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()


async def _once(parent, customer, key):
    caller = Caller(f"{parent.name}-{parent.random.getrandbits(40)}",
                    parent.world, parent.random.random())
    caller.world = _Only(parent.world, customer, key)
    try:
        await caller.session()
    except (Lost, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        caller.record.failed += 1


class _Only:
    """The world with the keys of one customer."""

    def __init__(self, world, customer, key):
        self._world = world
        self._keys = [(customer, key)]

    def keys(self):
        return self._keys

    def __getattr__(self, name):
        return getattr(self._world, name)
