"""Stand-in databases: services of one primary and its replicas, as PROTOCOL.md
describes them."""

import asyncio
import itertools
import json
import math
import random
import time

from fleet import CannotRun, http_call

HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.012
QUEUE = 24
# A database that drains goes on for drain-timeout-ms and a little longer.
DRAIN_S = 8.0


def draw_log_normal(mean, spread, max_factor):
    """A log-normal figure around `mean`, at most `max_factor` times it."""
    return mean * min(max_factor, math.exp(
        random.gauss(-spread * spread / 2, spread)))


class Run:
    """One statement that a database has run."""

    def __init__(self, statement, text, tenant, database, position):
        self.statement = statement
        self.text = text
        self.tenant = tenant
        self.database = database
        self.position = position  # number of log entries that it saw
        self.at = time.monotonic()


class Database:
    def __init__(self, group, name, zone, address, slots, work_s):
        self.group, self.name, self.zone = group, name, zone
        self.address = address
        self.slot_count = slots
        self.mean_work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.queued = 0
        self.log = []  # received entries: (term, commit id)
        self.applied = 0
        self.network_delay_s = 0.0054  # from the primary
        self.lag_factor = 1  # a replica applies entries that many times as late
        self.apply_at = 0.0  # when the entry received last is applied
        self.is_up = True
        self.is_deaf = False  # receives nothing from the primary
        self.draining = False
        self.lost_answers = 0.0  # share of its answers that get lost
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.wake = asyncio.Event()  # a change to report at once
        self.drain_acknowledged_at = None

    def draw_work_s(self):
        return draw_log_normal(self.mean_work_s, 0.7, 7)

    def _draw_lag_s(self):
        return draw_log_normal(self.group.mean_lag_s, 0.6, 6) * self.lag_factor

    def is_primary(self):
        return self.is_up and self.group.primary is self

    def position(self):
        """TERM.NUMBER of the log, as far as it is applied."""
        term = self.log[self.applied - 1][0] if self.applied else 1
        return f"{term}.{self.applied}"

    def received_position(self):
        term = self.log[-1][0] if self.log else 1
        return f"{term}.{len(self.log)}"

    def crash(self):
        self.is_up = False
        for writer in list(self.writers):
            writer.transport.abort()

    def start_to_drain(self):
        self.draining = True
        self.wake.set()

    def receive(self, log, term):
        """Receives the primary's log, and applies it later."""
        if (not self.is_up or self.is_deaf or term != self.group.term
                or self.is_primary() or len(log) <= len(self.log)):
            return
        self.log = log
        self.group.on_received()
        loop = asyncio.get_running_loop()
        self.apply_at = max(self.apply_at, loop.time() + self._draw_lag_s())
        loop.call_at(self.apply_at, self._apply, len(log), term)

    def _apply(self, count, term):
        if term == self.group.term and not self.is_primary():
            self.applied = max(self.applied, min(count, len(self.log)))

    async def send_heartbeats(self, controllers):
        """Each heartbeat goes on to the next controller until one accepts."""
        index = 0
        while self.is_up:
            draining = self.draining
            body = json.dumps({
                "service": self.group.name,
                "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "capacity-slots": self.slot_count,
                "state": "draining" if draining else "ready",
                "cold-remaining-ms": 0,
                "db-role": "primary" if self.is_primary() else "replica",
                "sequence": next(self.sequence), "born": self.born})
            status, _, _ = await http_call(
                *controllers[index % len(controllers)], "POST",
                f"/goldcrestcross/instances/{self.name}/heartbeat", body)
            if status // 100 != 2:
                index += 1
                await asyncio.sleep(0.1)
                continue
            if draining and self.drain_acknowledged_at is None:
                self.drain_acknowledged_at = time.monotonic()
                self.group.record.note(
                    f"{self.name}: its draining is acknowledged")
            try:
                await asyncio.wait_for(self.wake.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass
            self.wake.clear()
            if (self.drain_acknowledged_at is not None and
                    time.monotonic() > self.drain_acknowledged_at + DRAIN_S):
                await self._replace(controllers[index % len(controllers)])

    async def _replace(self, controller):
        """Ends, and starts again as a new database at the same address, to
        which the log is transferred."""
        await http_call(
            *controller, "POST",
            f"/goldcrestcross/instances/{self.name}/deregister", json.dumps(
                {"born": self.born, "sequence": next(self.sequence)}))
        self.group.record.note(f"{self.name} ends")
        for writer in list(self.writers):
            writer.transport.abort()
        self.name += "n"
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.draining, self.drain_acknowledged_at = False, None


class Group:
    """A service: its databases, their replication and their promotions."""

    def __init__(self, name, addresses, record, *, connection_limit=23,
                 sync_replicas=0, slots=3, work_s=0.008, mean_lag_s=0.008,
                 promote_s=0.3):
        self.name, self.record = name, record
        self.connection_limit = connection_limit
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.mean_lag_s = mean_lag_s
        self.term = 1
        self.databases = [
            Database(self, f"i-{name}-{zone}", zone, address, slots, work_s)
            for zone, address in zip("abc", addresses)]
        self.primary = self.databases[0]
        self.highest_token = 0
        self.received = set()  # ids of all statements but the system's own
        self.runs = []
        self.signature_count = itertools.count(1)
        self.promotions = []  # (database, its log at that moment)
        self.on_promoted = None
        self._received = asyncio.Event()

    async def start(self, controllers):
        self.tasks = [asyncio.create_task(self._replicate())]
        for database in self.databases:
            try:
                await asyncio.start_server(
                    lambda r, w, d=database: Connection(d, r, w).serve(),
                    *database.address)
            except OSError as error:
                raise CannotRun(f"no address for a database: {error}")
            self.tasks.append(asyncio.create_task(
                database.send_heartbeats(controllers)))

    def on_received(self):
        self._received.set()

    def append(self, commit):
        """Appends a commit to the primary's log and sends it on."""
        primary = self.primary
        primary.log = primary.log + [(self.term, commit)]
        primary.applied = len(primary.log)
        self._send_log(primary)
        return len(primary.log)

    def _send_log(self, primary):
        loop = asyncio.get_running_loop()
        for database in self.databases:
            if database is not primary and not database.is_deaf:
                loop.call_later(database.network_delay_s, database.receive,
                                primary.log, self.term)

    async def _replicate(self):
        """Sends the log again to replicas that missed a part of it."""
        while True:
            await asyncio.sleep(0.05)
            if self.primary.is_up and any(
                    len(d.log) < len(self.primary.log)
                    for d in self.databases):
                self._send_log(self.primary)

    async def wait_until_replicated(self, number, term):
        """Waits until `sync_replicas` replicas have received the entry."""
        while self.sync_replicas:
            holders = sum(1 for d in self.databases
                          if d is not self.primary and d.is_up
                          and len(d.log) >= number)
            if holders >= self.sync_replicas or self.term != term:
                return
            self._received.clear()
            await self._received.wait()

    def promote(self, name, token):
        """POST /promotions. Takes effect `promote_s` later."""
        if token < self.highest_token:
            return 409
        self.highest_token = token
        candidate = next((d for d in self.databases if d.name == name), None)
        if candidate is None or not candidate.is_up:
            return 409
        if candidate is not self.primary:
            asyncio.get_running_loop().call_later(
                self.promote_s, self._lead, candidate)
        return 200

    def _lead(self, candidate):
        if not candidate.is_up or candidate is self.primary:
            return
        former = self.primary
        self.term += 1
        self.primary = candidate
        candidate.applied = len(candidate.log)
        for database in self.databases:
            if database is candidate:
                continue
            common = 0
            for left, right in zip(database.log, candidate.log):
                if left != right:
                    break
                common += 1
            database.log = database.log[:common]
            database.applied = min(database.applied, common)
        self.record.note(
            f"{self.name}: {candidate.name} leads term {self.term} with "
            f"{len(candidate.log)} log entries, instead of {former.name}")
        self.promotions.append((candidate, list(candidate.log)))
        for database in self.databases:
            database.wake.set()
        self._received.set()
        if self.on_promoted:
            self.on_promoted(candidate)


class Connection:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database, self.group = database, database.group
        self.reader, self.writer = reader, writer
        self.tenant = ""
        self.state = "I"
        self.begin_term = 0  # of a transaction that is not read-only
        self.writes = []
        self.prepared = {}

    async def serve(self):
        database = self.database
        if not database.is_up:
            self.writer.transport.abort()
            return
        database.writers.add(self.writer)
        try:
            if not await self._accept():
                return
            while True:
                line = await self._read_line()
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                statement, _, text = rest.partition(" ")
                self.group.received.add(statement)
                await self._handle(statement, text)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The peer has closed the connection, or a fault did.
        finally:
            database.writers.discard(self.writer)
            self.writer.close()

    async def _read_line(self):
        """A line ends with CR LF, and with nothing else."""
        data = await self.reader.readuntil(b"\r\n")
        return data[:-2].decode()

    def _send(self, *lines):
        if not self.database.is_up:
            return
        if random.random() < self.database.lost_answers:
            self.group.record.note(
                f"{self.database.name}: loses the answer {lines[-1]}")
            return
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def _accept(self):
        fields = (await self._read_line()).split(" ")
        if fields[0] != "STARTUP" or len(fields) < 3:
            return False
        if fields[1] != self.group.name or (
                len(fields) > 3 and fields[3] != self.database.name):
            self._send(f"ERROR MISROUTED {self.database.name}")
            return False
        if len(self.database.writers) > self.group.connection_limit:
            self._send(f"ERROR TOOMANY {self.database.name}")
            return False
        self.tenant = fields[2]
        async with self.database.slots:
            await asyncio.sleep(HANDSHAKE_S)
        self._send(f"READY I {self.database.position()}")
        return True

    def _ready(self):
        return f"READY {self.state} {self.database.position()}"

    def _succeed(self, signature="-", rows=()):
        self._send(*(f"DATAROW {row}" for row in rows),
                   f"COMPLETE {signature}", self._ready())

    def _fail(self, code):
        if self.state == "T":
            self.state = "E"
        self._send(f"ERROR {code} {self.database.name}", self._ready())

    def _end_transaction(self):
        self.state, self.begin_term, self.writes = "I", 0, []

    async def _handle(self, statement, text):
        database = self.database
        if text.startswith("AFTER "):
            _, required, text = text.split(" ", 2)
            required = tuple(int(part) for part in required.split("."))
            held = tuple(int(p) for p in database.position().split("."))
            if held < required:
                return self._fail("LAGGING")
        verb, _, rest = text.partition(" ")
        if verb == "ROLLBACK":
            self._end_transaction()
            return self._succeed()
        if self.state == "E":
            return self._fail("MALFORMED")
        if verb == "BEGIN":
            if self.state != "I":
                return self._fail("MALFORMED")
            if rest != "READ":
                if not database.is_primary():
                    return self._fail("READONLY")
                self.begin_term = self.group.term
            self.state = "T"
            return self._succeed()
        if verb in ("SET", "RESET"):
            return self._succeed()
        if verb == "STATUS":
            if database.slots.locked():
                return self._fail("BUSY")
            role = "primary" if database.is_primary() else "replica"
            lag = len(database.log) - database.applied
            return self._succeed(rows=[
                f"{role} {self.group.term} {database.received_position()} 0 "
                f"{lag} 0 {len(database.writers)}"])
        if verb not in ("READ", "WRITE", "COMMIT"):
            return self._fail("MALFORMED")
        if database.queued >= QUEUE:
            return self._fail("BUSY")
        database.queued += 1
        try:
            async with database.slots:
                await asyncio.sleep(database.draw_work_s())
                if not database.is_up:
                    return None
                outcome = self._execute(statement, text, verb)
        finally:
            database.queued -= 1
        if outcome is None:
            return None
        signature, rows, number, term = outcome
        if number:
            await self.group.wait_until_replicated(number, term)
            if term != self.group.term:
                self.writer.transport.abort()
                return None
        return self._succeed(signature, rows)

    def _execute(self, statement, text, verb):
        """Returns (signature, rows, number of a new log entry or 0, term)."""
        database = self.database
        lost_lead = not database.is_primary() or (
            self.begin_term and self.begin_term != self.group.term)
        if self.begin_term and lost_lead and not (
                verb == "COMMIT" and not self.writes):
            return self._fail("READONLY")
        if verb == "WRITE" and (
                lost_lead or (self.state == "T" and not self.begin_term)):
            return self._fail("READONLY")
        if verb == "COMMIT" and self.state != "T":
            return self._fail("MALFORMED")
        number, term, rows = 0, self.group.term, []
        run = Run(statement, text, self.tenant, database, database.applied)
        if verb == "COMMIT":
            if self.writes:
                number = self.group.append(statement)
            self._end_transaction()
        elif verb == "WRITE" and self.state == "T":
            self.writes.append(statement)
        elif verb == "WRITE":
            number = self.group.append(statement)
        else:
            rows = [f"row-{statement}"]
        self.group.runs.append(run)
        self.group.record.note(
            f"{database.name}: ran {statement} {text!r} for {self.tenant}, "
            f"log {database.position()}")
        return (f"s{next(self.group.signature_count)}.{statement}", rows,
                number, term)
