"""Simulated callers: sessions that read, write and run transactions, and check
the answers."""

import asyncio
import random
import time

import wire
from record import Operation, SentStatement

ANSWER_TIMEOUT_SECONDS = 6
MEAN_PAUSE_SECONDS = 0.1


class SessionLost(Exception):
    """The session ended before a statement was answered."""


class StatementRefused(Exception):
    """The statement was answered with an error code."""


class Caller:
    """Runs one session after another, each through a random entry and route."""

    max_operations = 30  # of a session
    mean_pause_seconds = MEAN_PAUSE_SECONDS
    notes_cuts = False  # of statements whose session ended without an answer

    def __init__(self, name, testbed, seed):
        self.name = name
        self.testbed = testbed
        self.record = testbed.record
        self.random = random.Random(seed)
        self.statement_count = 0

    async def run(self):
        while not self.testbed.stopping:
            try:
                await self.run_session()
            except (SessionLost, OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                self.record.failed += 1
            await asyncio.sleep(
                self.random.uniform(0, 4 * self.mean_pause_seconds))

    async def run_session(self):
        self.entry = self.random.choice(self.testbed.entries)
        self.route = self.random.choice(self.testbed.routes)
        self.group = self.testbed.groups[self.route[3]]
        self.customer, self.key = self.random.choice(self.testbed.caller_keys())
        self.session_values, self.prepared_statements = {}, {}
        self.last_own_commit = None  # (number in the log, id of the commit)
        reader, self.writer = await asyncio.open_connection(*self.entry.proxy)
        self.reader = reader
        try:
            self.writer.write(
                f"STARTUP {self.route[0]} {self.key}\r\n".encode())
            response = await self.read_line(2.5)
            if not response.startswith("READY"):
                self.record.refused += 1
                return
            for _ in range(self.random.randint(1, self.max_operations)):
                if self.testbed.stopping:
                    break
                await self.run_operation()
                await asyncio.sleep(
                    self.random.expovariate(1 / self.mean_pause_seconds))
            self.writer.write(b"TERMINATE\r\n")
        except StatementRefused:
            self.record.refused += 1
        finally:
            self.writer.close()

    async def read_line(self, timeout_seconds=ANSWER_TIMEOUT_SECONDS):
        data = await asyncio.wait_for(self.reader.readline(),
                                      timeout_seconds)
        if not data.endswith(b"\n"):
            raise SessionLost()
        return data.decode().rstrip("\r\n")

    async def send_odd_bytes(self):
        """Sends data that some receivers take for the end of a line."""
        self.statement_count += 1
        statement = f"{self.name}-{self.statement_count}"
        line_end = self.random.choice(["\n", "\r", "\0", "\n\r"])
        self.writer.write(
            f"QUERY {statement} WRITE 1 data{line_end}QUERY {statement}x WRITE"
            " 2 smuggled\r\n".encode())
        response = await self.read_line()
        if not response.startswith("ERROR MALFORMED"):
            self.record.add_violation(
                "smuggled", f"{statement} was answered {response}")
        await self.read_line()

    def begin_operation(self):
        self.current_operation = Operation(
            self.name, self.customer, self.key, self.route,
            self.session_values,
            [self.entry.name] + self.testbed.controller_names)

    async def run_operation(self):
        self.begin_operation()
        draw = self.random.random()
        if draw < 0.01:
            return await self.send_odd_bytes()
        if draw < 0.1:
            value = str(self.random.randint(1, 3))
            await self.run_statement(f"SET mode {value}")
            self.session_values["mode"] = value
            return
        if draw < 0.2:
            access = self.random.choice(["READ", "WRITE"])
            shape = f"q{self.random.randint(1, 4)}"
            await self.run_statement(f"PREPARE s1 {access} {shape}")
            self.prepared_statements["s1"] = (access, shape)
            return
        if draw < 0.75:
            await self.run_statement(
                self.choose_statement(self.random.random() < 0.25))
        else:
            await self.run_transaction()
        self.record.completed += 1

    def choose_statement(self, writes):
        item = self.random.randint(1, 50)
        prepared = self.prepared_statements.get("s1")
        if prepared and (prepared[0] == "WRITE") == writes:
            return f"EXECUTE s1 {item}" + (" data" if writes else "")
        return f"WRITE {item} data" if writes else f"READ {item}"

    async def run_transaction(self):
        read_only = self.random.random() < 0.3
        await self.run_statement("BEGIN READ" if read_only else "BEGIN")
        for _ in range(self.random.randint(1, 4)):
            writes = not read_only and self.random.random() < 0.4
            await self.run_statement(self.choose_statement(writes))
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(0, 0.2))
        if self.random.random() < 0.03:
            raise SessionLost()  # disconnects inside the transaction
        await self.run_statement(
            "ROLLBACK" if self.random.random() < 0.1 else "COMMIT")

    def expected_execution(self, text):
        """Returns (verb, shape, rest) with which a database runs the text."""
        verb, _, rest = text.partition(" ")
        if verb != "EXECUTE":
            return verb, None, rest
        name, _, rest = rest.partition(" ")
        return verb, self.prepared_statements[name][1], rest

    async def run_statement(self, text):
        """Sends a statement and checks its answer; raises on an error code."""
        self.statement_count += 1
        statement = f"{self.name}-{self.statement_count}"
        self.record.sent_statements[statement] = SentStatement(
            self.current_operation, text, self.expected_execution(text))
        self.writer.write(f"QUERY {statement} {text}\r\n".encode())
        sent_at = time.monotonic()
        rows, error, signature = [], None, None
        while True:
            try:
                line = await self.read_line()
            except (SessionLost, OSError, asyncio.TimeoutError):
                if self.notes_cuts:
                    self.record.on_cut(statement, self.entry.name, sent_at)
                raise
            response_type, _, rest = line.partition(" ")
            if response_type == "DATAROW":
                rows.append(rest)
            elif response_type == "COMPLETE":
                signature = rest
            elif response_type == "ERROR":
                error = rest.split(" ")[0]
            elif response_type == "READY":
                break
            else:
                self.record.add_violation(
                    "mixed", f"{statement}: unknown response {response_type}")
        self.record.check_key(self.current_operation, error or "done",
                              self.current_operation.instances)
        if error:
            self.record.on_error(statement, error, self.group)
            raise StatementRefused(error)
        self.on_success(statement, text, rows, signature)

    def on_success(self, statement, text, rows, signature):
        verb = text.split(" ")[0]
        if verb not in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            self.record.sent_statements[statement].result = "done"
            return
        if signature == "-" and verb == "COMMIT":
            return  # The transaction had no statements.
        execution = self.record.on_answered(
            statement, self.group, rows, signature, self.last_own_commit)
        if execution and execution.statement_id in (
                entry[1] for entry in self.group.entries[
                    execution.log_position[1] - 1:execution.log_position[1]]):
            self.last_own_commit = (execution.log_position[1],
                                    execution.statement_id)
            self.record.on_commit_acknowledged(
                self.group, execution.log_position[1], execution.statement_id)


async def send_above_rate(testbed, customer, key, end_time):
    """Runs sessions of one customer at many times its rate."""
    caller = Caller(f"loud{customer}-{time.monotonic():.0f}", testbed, 1)
    tasks = []
    while time.monotonic() < end_time and not testbed.stopping:
        tasks = [task for task in tasks if not task.done()]
        if len(tasks) < 12:
            tasks.append(asyncio.create_task(
                _run_one_session(caller, customer, key)))
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()


async def _run_one_session(parent, customer, key):
    caller = Caller(f"{parent.name}-{parent.random.getrandbits(40)}",
                    parent.testbed, parent.random.random())
    caller.testbed = _SingleCustomerTestbed(parent.testbed, customer, key)
    try:
        await caller.run_session()
    except (SessionLost, OSError, asyncio.IncompleteReadError,
            asyncio.TimeoutError):
        caller.record.failed += 1


class _SingleCustomerTestbed:
    """A testbed whose callers use the key of one customer only."""

    def __init__(self, testbed, customer, key):
        self._testbed = testbed
        self._caller_keys = [(customer, key)]

    def caller_keys(self):
        return self._caller_keys

    def __getattr__(self, name):
        return getattr(self._testbed, name)
