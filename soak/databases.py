"""Stand-in databases: groups of one primary and replicas that speak the
statement protocol, lag, lose answers, crash and are promoted. They record each
statement that they run, for the checks."""

import asyncio
import itertools
import random
import time

import wire
from net import http_call

EXECUTION_SLOTS = 3
CONNECTION_LIMIT = 40
EXECUTION_SECONDS = 0.004
REPLICATION_LAG_SECONDS = 0.01
HEARTBEAT_SECONDS = 0.5
PROMOTION_SECONDS = 0.3


class Execution:
    """One execution of a caller's statement by a database."""

    def __init__(self, statement, text, customer, endpoint, connection):
        self.statement_id = statement
        self.text = text
        self.customer = customer
        self.endpoint = endpoint
        self.connection = connection
        self.started = time.monotonic()
        # (term, number) of the log that a read saw or a commit appended.
        self.log_position = None
        self.signature = ""
        self.values = {}
        self.transaction = 0


class Database:
    """One member of a group. Faults set its flags and delays."""

    def __init__(self, group, name, zone, listen, address):
        self.group = group
        self.name = name
        self.zone = zone
        self.listen = listen  # (host, port)
        self.address = address  # (host, port) that heartbeats announce
        self.primary_since_term = 0  # 0 for a replica
        self.received_entries = 0  # number of the group's log entries
        self.is_up = True
        self.is_silent = False
        self.answer_loss_probability = 0.0
        self.startup_loss_probability = 0.0
        self.refusal_probability = 0.0  # of any statement, as not run
        self.replication_lag = REPLICATION_LAG_SECONDS
        self.started_ms = int(time.time() * 1000)
        self.heartbeat_sequence = itertools.count(1)
        self.slots = asyncio.Semaphore(EXECUTION_SLOTS)
        self.open_writers = set()

    def is_primary(self):
        return self.is_up and self.group.primary is self

    def log_position(self):
        """Returns (term, number) of the last entry that it holds."""
        number = self.received_entries
        return (self.group.term_at(number), number)

    def crash(self):
        self.is_up = False
        for writer in list(self.open_writers):
            writer.transport.abort()

    def recover(self):
        self.is_up = True


class Group:
    """A group of databases with one log of (term, id of the commit)."""

    def __init__(self, name, record, seed):
        self.name = name
        self.record = record
        self.random = random.Random(seed)
        self.databases = []
        self.primary = None
        self.term = 1
        self.entries = []
        self.rolled_back = set()  # ids of commits that a promotion discarded
        self.highest_fencing_token = 0
        self.execution_seconds = EXECUTION_SECONDS  # mean of a statement
        # Whether answers to statements that neither read nor change the log
        # have a position.
        self.tells_all_positions = True
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)

    def term_at(self, number):
        return self.entries[number - 1][0] if number else self.term

    def append(self, commit):
        self.entries.append((self.term, commit))
        self.primary.received_entries = len(self.entries)
        return self.primary.log_position()

    async def replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_LAG_SECONDS)
            target = len(self.entries)
            for database in self.databases:
                if (database.is_up and database is not self.primary
                        and self.primary.is_up
                        and database.received_entries < target):
                    asyncio.get_running_loop().call_later(
                        database.replication_lag, self._receive_entries,
                        database, target, self.term)

    def _receive_entries(self, database, target, term):
        if database.is_up and term == self.term:
            database.received_entries = max(database.received_entries, target)

    async def promote(self, name, fencing_token):
        """Orders a promotion and returns the HTTP status of the call.

        The new primary takes over PROMOTION_SECONDS later.
        """
        if fencing_token < self.highest_fencing_token:
            return 409
        self.highest_fencing_token = fencing_token
        candidate = next((d for d in self.databases if d.name == name), None)
        if candidate is None or not candidate.is_up:
            return 409
        if candidate is not self.primary:
            asyncio.get_running_loop().call_later(
                PROMOTION_SECONDS, self._make_primary, candidate)
        return 200

    def _make_primary(self, candidate):
        if not candidate.is_up or candidate is self.primary:
            return
        kept_entries = candidate.received_entries
        for _, commit in self.entries[kept_entries:]:
            self.rolled_back.add(commit)
        del self.entries[kept_entries:]
        self.term += 1
        self.primary = candidate
        for database in self.databases:
            database.received_entries = min(database.received_entries,
                                            kept_entries)
        self.record.log_event(
            f"{self.name}: {candidate.name} is primary of term {self.term}"
            f" after {kept_entries} entries")


async def send_heartbeats(database, controllers):
    """Sends heartbeats to one controller, to the next one after an error."""
    primary = None
    for index in itertools.cycle(range(len(controllers))):
        while database.is_up:
            host, port = controllers[index]
            primary = database.is_primary()
            status, _, _ = await http_call(
                host, port, "POST", wire.heartbeat_path(database.name),
                wire.heartbeat(database.group.name, "%s:%d" % database.address,
                               database.zone, primary,
                               next(database.heartbeat_sequence),
                               database.started_ms),
                timeout=1)
            if status // 100 != 2:
                break
            for _ in range(10):
                await asyncio.sleep(HEARTBEAT_SECONDS / 10)
                if database.is_primary() != primary:
                    break
        await asyncio.sleep(0.1)


class Connection:
    """One connection to a database, with its session and its transaction."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.group = database.group
        self.reader = reader
        self.writer = writer
        self.number = next(self.group.connection_numbers)
        self.customer = ""
        self.state = "I"  # "I": idle, "T": in a transaction, "E": it failed
        self.write_term = 0  # term in which a read-write transaction began
        self.transaction_writes = []
        self.transaction = 0
        self.values = {}
        self.prepared = {}

    async def serve(self):
        database = self.database
        if not database.is_up:
            self.writer.transport.abort()
            return
        database.open_writers.add(self.writer)
        try:
            if not await self.accept_startup():
                return
            while line := await self.read_line():
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    break
                statement, _, text = rest.partition(" ")
                await self.handle_query(statement, text)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The connection was closed, perhaps by a fault.
        finally:
            database.open_writers.discard(self.writer)
            self.writer.close()

    async def read_line(self):
        data = await self.reader.readline()
        while self.database.is_silent:
            await asyncio.sleep(0.05)
        return data.decode().rstrip("\r\n")

    def send_lines(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def accept_startup(self):
        fields = (await self.read_line()).split(" ")
        if fields[0] != "STARTUP":
            return False
        error = None
        if fields[1] != self.group.name or (
                len(fields) > 3 and fields[3] != self.database.name):
            error = "MISROUTED"
        elif len(self.database.open_writers) > CONNECTION_LIMIT:
            error = "TOOMANY"
        if error:
            self.send_lines(f"ERROR {error} refused")
            return False
        async with self.database.slots:
            await asyncio.sleep(0.003)
        self.customer = fields[2]
        if self.group.random.random() >= (
                self.database.startup_loss_probability):
            self.send_lines(f"READY I {self.encoded_position()}")
        return True

    def encoded_position(self):
        return wire.encode_position(*self.database.log_position())

    def send_success(self, signature="-", rows=(), uses_log=True):
        position = "-"
        if uses_log or self.group.tells_all_positions:
            position = self.encoded_position()
        self.send_lines(*(f"DATAROW {row}" for row in rows),
                        f"COMPLETE {signature}",
                        f"READY {self.state} {position}")

    def send_error(self, code):
        if self.state == "T":
            self.state = "E"
        self.send_lines(f"ERROR {code} {self.database.name}",
                        f"READY {self.state} {self.encoded_position()}")

    def end_transaction(self):
        self.state, self.transaction_writes = "I", []
        self.write_term = self.transaction = 0

    async def handle_query(self, statement, text):
        if self.group.random.random() < self.database.refusal_probability:
            return self.send_lines(
                f"ERROR BUSY {self.database.name}",
                f"READY {self.state} {self.encoded_position()}")
        required_position, text = wire.split_after_prefix(text)
        verb, _, rest = text.partition(" ")
        if (required_position
                and required_position > self.database.log_position()):
            return self.send_error("LAGGING")
        if verb == "ROLLBACK":
            self.end_transaction()
            return self.send_success(uses_log=False)
        if self.state == "E":
            return self.send_error("MALFORMED")
        if verb == "BEGIN":
            if rest != "READ":
                if not self.database.is_primary():
                    return self.send_error("READONLY")
                self.write_term = self.group.term
            self.state = "T"
            self.transaction = next(self.group.transaction_numbers)
            return self.send_success(uses_log=False)
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.send_success(uses_log=False)
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return self.send_success(uses_log=False)
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return self.send_success(uses_log=False)
        if verb == "STATUS":
            term, number = self.database.log_position()
            role = "primary" if self.database.is_primary() else "replica"
            return self.send_success(rows=[
                f"{role} {self.group.term} {wire.encode_position(term, number)}"
                f" {self.write_term} 0 0 {len(self.database.open_writers)}"])
        await self.execute_in_slot(statement, text, verb, rest)

    async def execute_in_slot(self, statement, text, verb, rest):
        if self.database.slots.locked() and self.group.random.random() < 0.2:
            return self.send_error("BUSY")
        async with self.database.slots:
            await asyncio.sleep(
                self.group.execution_seconds * self.group.random.uniform(.3, 3))
            self.execute(statement, text, verb, rest)

    def execute(self, statement, text, verb, rest):
        shape = None
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.send_error("NOSTMT")
            access, shape = self.prepared[name]
            writes = access == "WRITE"
        lost_primary_role = not self.database.is_primary() or (
            self.write_term and self.write_term != self.group.term)
        read_only = self.state == "T" and not self.write_term
        if self.write_term and lost_primary_role and not (
                verb == "COMMIT" and not self.transaction_writes):
            return self.send_error("READONLY")
        if writes and (lost_primary_role or read_only):
            return self.send_error("READONLY")
        execution = Execution(statement, (verb, shape, rest), self.customer,
                              self.database.name, self.number)
        execution.log_position = self.database.log_position()
        execution.values = dict(self.values)
        execution.transaction = self.transaction
        execution.signature = (f"{self.database.name}.{statement}"
                               f".{execution.log_position[1]}")
        rows = []
        if verb == "COMMIT":
            if self.transaction_writes:
                execution.log_position = self.group.append(statement)
                self.group.record.on_committed(self.group, statement,
                                               self.transaction_writes)
            self.end_transaction()
        elif writes and self.state == "T":
            self.transaction_writes.append(statement)
        elif writes:
            execution.log_position = self.group.append(statement)
            self.group.record.on_committed(self.group, statement, [statement])
        else:
            rows = [f"row-{statement}"]
        self.group.record.on_executed(execution)
        if self.group.random.random() < self.database.answer_loss_probability:
            return self.writer.transport.abort()
        return self.send_success(execution.signature, rows)
