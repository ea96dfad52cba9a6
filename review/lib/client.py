"""A caller's session, as PROTOCOL.md describes it."""

import asyncio
import itertools
import time

_statement_numbers = itertools.count(1)


class SessionEnded(Exception):
    """The connection has ended."""


class Answer:
    def __init__(self, statement, rows, signature, error, state, sent_at):
        self.statement = statement
        self.rows = rows
        self.signature = signature  # None after an error
        self.error = error  # None after a success
        self.state = state
        self.sent_at = sent_at
        self.answered_at = time.monotonic()

    def succeeded(self):
        return self.error is None


class Session:
    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None
        self.outstanding = None  # (statement id, sent at)

    async def open(self, address, database, key):
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        line = await self._read_line(2)
        if not line.startswith("READY"):
            raise SessionEnded(line)

    async def _read_line(self, timeout):
        data = await asyncio.wait_for(self.reader.readline(), timeout)
        if not data.endswith(b"\r\n"):
            raise SessionEnded("the connection has ended")
        return data[:-2].decode()

    async def query(self, text, timeout=8):
        statement = f"q{next(_statement_numbers):x}"
        sent_at = time.monotonic()
        self.outstanding = (statement, sent_at)
        self.record.note(f"{self.name}: sends {statement} {text!r}")
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            rows, signature, error = [], None, None
            while True:
                word, _, rest = (await self._read_line(timeout)).partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    error = rest
                elif word == "READY":
                    break
        except (OSError, SessionEnded):
            self.record.note(f"{self.name}: {statement} got no answer, the "
                             "connection has ended")
            raise SessionEnded(statement) from None
        self.outstanding = None
        self.record.note(f"{self.name}: {statement} answered "
                         f"{error or signature}")
        return Answer(statement, rows, signature, error, rest[:1], sent_at)

    def close(self):
        if self.writer is not None:
            self.writer.close()
