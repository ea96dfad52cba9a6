"""Stand-in databases: groups of one primary and replicas that speak the
statement wire, lag, lose answers, die and are promoted. They record what ran,
for the checks."""

import asyncio
import itertools
import random
import time

import wire
from net import http_call

SLOTS = 3
CONNECTION_LIMIT = 40
WORK_SECONDS = 0.004
LAG_SECONDS = 0.01
BEAT_SECONDS = 0.5
PROMOTE_SECONDS = 0.3


class Run:
    """One statement of a caller that a database ran."""

    def __init__(self, statement, text, customer, endpoint, connection):
        self.id = statement
        self.text = text
        self.customer = customer
        self.endpoint = endpoint
        self.connection = connection
        self.started = time.monotonic()
        self.log = None  # (term, number) that it ran on
        self.signature = ""
        self.values = {}
        self.transaction = 0


class Database:
    def __init__(self, group, name, zone, listen, address):
        self.group = group
        self.name = name
        self.zone = zone
        self.listen = listen  # (host, port)
        self.address = address  # (host, port) as heartbeats tell it
        self.role_since = 0  # term that it leads; 0: it follows
        self.received = 0  # entries of the group's log
        self.up = True
        self.silent = False
        self.answer_loss = 0.0
        self.lag = LAG_SECONDS
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers = set()

    def leads(self):
        return self.up and self.group.primary is self

    def log(self):
        number = self.received
        return (self.group.term_at(number), number)

    def crash(self):
        self.up = False
        for writer in list(self.writers):
            writer.transport.abort()

    def recover(self):
        self.up = True


class Group:
    """The log of a group: entries are (term, id of the commit)."""

    def __init__(self, name, record, seed):
        self.name = name
        self.record = record
        self.random = random.Random(seed)
        self.databases = []
        self.primary = None
        self.term = 1
        self.entries = []
        self.rolled_back = set()  # ids of commits
        self.fence = 0
        self.connections = itertools.count(1)
        self.transactions = itertools.count(1)

    def term_at(self, number):
        return self.entries[number - 1][0] if number else self.term

    def append(self, commit):
        self.entries.append((self.term, commit))
        self.primary.received = len(self.entries)
        return self.primary.log()

    async def replicate(self):
        while True:
            await asyncio.sleep(LAG_SECONDS)
            target = len(self.entries)
            for database in self.databases:
                if (database.up and database is not self.primary
                        and self.primary.up and database.received < target):
                    asyncio.get_running_loop().call_later(
                        database.lag, self._receive, database, target,
                        self.term)

    def _receive(self, database, target, term):
        if database.up and term == self.term:
            database.received = max(database.received, target)

    async def promote(self, name, fence):
        """Status of the call."""
        if fence < self.fence:
            return 409
        self.fence = fence
        chosen = next((d for d in self.databases if d.name == name), None)
        if chosen is None or not chosen.up:
            return 409
        if chosen is not self.primary:
            asyncio.get_running_loop().call_later(
                PROMOTE_SECONDS, self._lead, chosen)
        return 200

    def _lead(self, chosen):
        if not chosen.up or chosen is self.primary:
            return
        kept = chosen.received
        for _, commit in self.entries[kept:]:
            self.rolled_back.add(commit)
        del self.entries[kept:]
        self.term += 1
        self.primary = chosen
        for database in self.databases:
            database.received = min(database.received, kept)
        self.record.event(f"{self.name}: {chosen.name} leads term {self.term}"
                          f" from {kept}")


async def beat(database, controllers):
    """Sends heartbeats to a controller at a time."""
    primary = None
    for turn in itertools.cycle(range(len(controllers))):
        while database.up:
            host, port = controllers[turn]
            primary = database.leads()
            status, _, _ = await http_call(
                host, port, "POST", wire.heartbeat_path(database.name),
                wire.heartbeat(database.group.name, "%s:%d" % database.address,
                               database.zone, primary,
                               next(database.sequence), database.born),
                timeout=1)
            if status // 100 != 2:
                break
            for _ in range(10):
                await asyncio.sleep(BEAT_SECONDS / 10)
                if database.leads() != primary:
                    break
        await asyncio.sleep(0.1)


class Connection:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.group = database.group
        self.reader = reader
        self.writer = writer
        self.number = next(self.group.connections)
        self.customer = ""
        self.state = "I"
        self.plain_term = 0  # of a transaction that is not read-only
        self.writes = []
        self.transaction = 0
        self.values = {}
        self.prepared = {}

    async def serve(self):
        database = self.database
        if not database.up:
            self.writer.transport.abort()
            return
        database.writers.add(self.writer)
        try:
            if not await self.start():
                return
            while line := await self.line():
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    break
                statement, _, text = rest.partition(" ")
                await self.query(statement, text)
        except (OSError, asyncio.IncompleteReadError):
            pass  # Closed, perhaps by a fault.
        finally:
            database.writers.discard(self.writer)
            self.writer.close()

    async def line(self):
        data = await self.reader.readline()
        while self.database.silent:
            await asyncio.sleep(0.05)
        return data.decode().rstrip("\r\n")

    def send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def start(self):
        fields = (await self.line()).split(" ")
        if fields[0] != "STARTUP":
            return False
        error = None
        if fields[1] != self.group.name or (
                len(fields) > 3 and fields[3] != self.database.name):
            error = "MISROUTED"
        elif len(self.database.writers) > CONNECTION_LIMIT:
            error = "TOOMANY"
        if error:
            self.send(f"ERROR {error} refused")
            return False
        async with self.database.slots:
            await asyncio.sleep(0.003)
        self.customer = fields[2]
        self.send(f"READY I {self.position()}")
        return True

    def position(self):
        return wire.encode_position(*self.database.log())

    def done(self, signature="-", rows=()):
        self.send(*(f"DATAROW {row}" for row in rows),
                  f"COMPLETE {signature}",
                  f"READY {self.state} {self.position()}")

    def fail(self, code):
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {self.database.name}",
                  f"READY {self.state} {self.position()}")

    def roll_back(self):
        self.state, self.writes = "I", []
        self.plain_term = self.transaction = 0

    async def query(self, statement, text):
        after, text = wire.split_after_prefix(text)
        verb, _, rest = text.partition(" ")
        if after and after > self.database.log():
            return self.fail("LAGGING")
        if verb == "ROLLBACK":
            self.roll_back()
            return self.done()
        if self.state == "E":
            return self.fail("MALFORMED")
        if verb == "BEGIN":
            if rest != "READ":
                if not self.database.leads():
                    return self.fail("READONLY")
                self.plain_term = self.group.term
            self.state = "T"
            self.transaction = next(self.group.transactions)
            return self.done()
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.done()
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return self.done()
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return self.done()
        if verb == "STATUS":
            term, number = self.database.log()
            role = "primary" if self.database.leads() else "replica"
            return self.done(rows=[
                f"{role} {self.group.term} {wire.encode_position(term, number)}"
                f" {self.plain_term} 0 0 {len(self.database.writers)}"])
        await self.run(statement, text, verb, rest)

    async def run(self, statement, text, verb, rest):
        if self.database.slots.locked() and self.group.random.random() < 0.2:
            return self.fail("BUSY")
        async with self.database.slots:
            await asyncio.sleep(WORK_SECONDS * self.group.random.uniform(.3, 3))
            self.execute(statement, text, verb, rest)

    def execute(self, statement, text, verb, rest):
        shape = None
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            access, shape = self.prepared[name]
            writes = access == "WRITE"
        lost_lead = not self.database.leads() or (
            self.plain_term and self.plain_term != self.group.term)
        read_only = self.state == "T" and not self.plain_term
        if self.plain_term and lost_lead and not (
                verb == "COMMIT" and not self.writes):
            return self.fail("READONLY")
        if writes and (lost_lead or read_only):
            return self.fail("READONLY")
        run = Run(statement, (verb, shape, rest), self.customer,
                  self.database.name, self.number)
        run.log = self.database.log()
        run.values = dict(self.values)
        run.transaction = self.transaction
        run.signature = f"{self.database.name}.{statement}.{run.log[1]}"
        rows = []
        if verb == "COMMIT":
            if self.writes:
                run.log = self.group.append(statement)
                self.group.record.committed(self.group, statement, self.writes)
            self.roll_back()
        elif writes and self.state == "T":
            self.writes.append(statement)
        elif writes:
            run.log = self.group.append(statement)
            self.group.record.committed(self.group, statement, [statement])
        else:
            rows = [f"row-{statement}"]
        self.group.record.ran(run)
        if self.group.random.random() < self.database.answer_loss:
            return self.writer.transport.abort()
        return self.done(run.signature, rows)
