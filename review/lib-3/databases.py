"""Stand-in databases: a service of one primary and replicas with logs of their
own, which speak the wire protocol of PROTOCOL.md, replicate over links with a
delay, and are promoted by the platform's stand-in."""

import asyncio
import itertools
import json
import time

from net import http_call

CONNECTION_LIMIT = 36
HEARTBEAT_SECONDS = 1.2


class Database:
    """One database. Its log is a list of (term, id of the commit)."""

    def __init__(self, service, name, zone, address, link_seconds):
        self.service = service
        self.name = name
        self.zone = zone
        self.address = address  # (host, port)
        self.link_seconds = link_seconds  # one way, to every other database
        self.log = []
        self.newest_term = 1
        self.held_term = 0  # of the last PAUSE; 0: receives
        self.is_up = False
        self.is_deaf = False  # receives nothing from the primary
        self.is_draining = False
        self.copy_seconds = 0.0  # that an empty one needs for the log
        self.sequence = itertools.count(1)
        self.writers = set()
        self.state_changed = asyncio.Event()
        self.received_changed = asyncio.Event()
        self.status_seconds = 0.0  # that STATUS waits for a slot and takes
        # Called with the command before it runs: returns None, or the seconds
        # after which it is carried out without an answer.
        self.on_command = lambda command: None

    def is_primary(self):
        return self.service.primary is self and self.is_up

    def position(self):
        term = self.log[-1][0] if self.log else 1
        return f"{term}.{len(self.log)}"

    async def start(self):
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.server = await asyncio.start_server(
            lambda r, w: Connection(self, r, w).serve(), *self.address)
        self.tasks = [asyncio.create_task(self.send_heartbeats()),
                      asyncio.create_task(self.receive())]

    def stop(self):
        """A crash: connections break, and nothing is said."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def restart_empty(self, copy_seconds):
        """Starts again under its id, with nothing of before. Once the primary
        is up it copies the log, which takes copy_seconds."""
        self.log, self.newest_term, self.held_term = [], 0, 0
        self.copy_seconds = copy_seconds
        await self.start()

    def set_draining(self):
        self.is_draining = True
        self.state_changed.set()

    async def send_heartbeats(self):
        controllers = itertools.cycle(self.service.controllers)
        controller = next(controllers)
        while True:
            self.state_changed.clear()
            body = json.dumps({
                "service": self.service.name,
                "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "capacity-slots": 3,
                "state": "draining" if self.is_draining else "ready",
                "cold-remaining-ms": 0,
                "db-role": "primary" if self.is_primary() else "replica",
                "born": self.born, "sequence": next(self.sequence)})
            status, _, _ = await http_call(
                *controller, "POST",
                f"/goldcrestcross/instances/{self.name}/heartbeat", body, 1)
            if status // 100 != 2:
                controller = next(controllers)
                await asyncio.sleep(0.1)
                continue
            try:
                await asyncio.wait_for(self.state_changed.wait(),
                                       HEARTBEAT_SECONDS)
            except asyncio.TimeoutError:
                pass

    async def receive(self):
        """Takes the primary's log, each entry link_seconds after it was
        appended there."""
        while True:
            primary = self.service.primary
            if (primary is self or not primary.is_up or self.held_term
                    or self.is_deaf):
                await asyncio.sleep(0.001)
                continue
            if self.copy_seconds > 0:
                self.copy_seconds -= 0.1
                await asyncio.sleep(0.1)
                continue
            sent = list(primary.log[len(self.log):])
            if not sent:
                primary.appended.clear()
                try:
                    await asyncio.wait_for(primary.appended.wait(), 0.01)
                except asyncio.TimeoutError:
                    pass
                continue
            asyncio.get_running_loop().call_later(
                self.link_seconds, self.take, primary, self.service.term,
                len(self.log), sent)
            await asyncio.sleep(self.link_seconds)

    def take(self, primary, term, start, entries):
        """The entries arrive. What is on its way when the replica is held, or
        another primary leads, is lost."""
        if (term != self.service.term or self.held_term or self.is_deaf
                or not self.is_up or start != len(self.log)):
            return
        self.log.extend(entries)
        self.newest_term = self.service.term
        self.service.on_received()


class Service:
    """A service: its databases, its primary, and who was promoted when."""

    def __init__(self, name, sync_replicas, promote_seconds, record):
        self.name = name
        self.sync_replicas = sync_replicas
        self.promote_seconds = promote_seconds
        self.record = record
        self.databases = []
        self.controllers = []  # (host, port), for heartbeats
        self.primary = None
        self.term = 1
        self.fence = 0
        self.waiting = []  # (number in the log, future) of commits
        self.promotions = []  # (database, its log then)

    def add(self, name, zone, address, link_seconds):
        database = Database(self, name, zone, address, link_seconds)
        database.appended = asyncio.Event()
        self.databases.append(database)
        if self.primary is None:
            self.primary = database
        return database

    async def commit(self, database, commit_id):
        """Appends a commit and waits for its receipt by enough replicas.

        Returns False if the database has lost the lead meanwhile.
        """
        term = self.term
        database.log.append((term, commit_id))
        number = len(database.log)
        database.appended.set()
        if self.sync_replicas == 0:
            return True
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((number, done))
        self.on_received()
        return await done and term == self.term

    def on_received(self):
        received = sorted((len(d.log) for d in self.databases
                           if d is not self.primary and d.is_up
                           and not d.held_term), reverse=True)
        if len(received) < self.sync_replicas:
            return
        acknowledged = received[self.sync_replicas - 1]
        left = []
        for number, done in self.waiting:
            if number > acknowledged:
                left.append((number, done))
            elif not done.done():
                done.set_result(True)
        self.waiting = left

    async def handle_platform_call(self, method, path, headers, body):
        """POST /promotions."""
        if (method, path) != ("POST", "/promotions"):
            return 404, ""
        order = json.loads(body)
        fence = int(headers["goldcrestcross-fencing-token"])
        database = next((d for d in self.databases
                         if d.name == order["id"]), None)
        status = 200
        if (order["service"] != self.name or fence < self.fence
                or database is None or not database.is_up):
            status = 409
        self.record.event(f"platform: promote {order['id']}, fencing token"
                          f" {fence}: {status}")
        if status == 200:
            self.fence = fence
            if database is not self.primary:
                asyncio.get_running_loop().call_later(
                    self.promote_seconds, self.make_primary, database, fence)
        return status, "{}"

    def make_primary(self, database, fence):
        if fence < self.fence or not database.is_up or (
                database is self.primary):
            return
        self.promotions.append((database, list(database.log)))
        old, self.primary = self.primary, database
        self.term += 1
        for _, done in self.waiting:
            if not done.done():
                done.set_result(False)
        self.waiting = []
        for other in self.databases:
            # Those that were ahead are rolled back.
            same = 0
            for mine, theirs in zip(other.log, database.log):
                if mine != theirs:
                    break
                same += 1
            dropped = len(other.log) - same
            del other.log[same:]
            other.held_term = 0
            other.newest_term = self.term
            other.state_changed.set()
            if dropped:
                self.record.event(f"{other.name} is rolled back by {dropped}"
                                  " commits")
        self.record.event(
            f"{database.name} leads term {self.term} with {len(database.log)}"
            f" commits; {old.name} led before")


class Connection:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.service = database.service
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.write_term = 0  # term in which a plain transaction began
        self.writes = []
        self.prepared = {}

    async def serve(self):
        database = self.database
        database.writers.add(self.writer)
        try:
            if not await self.accept_startup():
                return
            while line := await self.read_line():
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                statement, _, text = rest.partition(" ")
                await self.handle(statement, text)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            database.writers.discard(self.writer)
            self.writer.close()

    async def read_line(self):
        data = await self.reader.readline()
        return data.decode().rstrip("\r\n")

    async def accept_startup(self):
        fields = (await self.read_line()).split(" ")
        if fields[0] != "STARTUP":
            return False
        error = None
        if fields[1] != self.service.name or (
                len(fields) > 3 and fields[3] != self.database.name):
            error = "MISROUTED"
        elif len(self.database.writers) > CONNECTION_LIMIT:
            error = "TOOMANY"
        if error:
            self.write(f"ERROR {error} {self.database.name}")
            return False
        self.write(f"READY I {self.database.position()}")
        return True

    def write(self, *lines):
        if self.database.is_up:
            self.writer.write("".join(f"{x}\r\n" for x in lines).encode())

    def succeed(self, signature="-", rows=()):
        self.write(*(f"DATAROW {row}" for row in rows),
                   f"COMPLETE {signature}",
                   f"READY {self.state} {self.database.position()}")

    def fail(self, code, fails_transaction=True):
        if self.state == "T" and fails_transaction:
            self.state = "E"
        self.write(f"ERROR {code} {self.database.name}",
                   f"READY {self.state} {self.database.position()}")

    def status_row(self):
        database = self.database
        role = "primary" if database.is_primary() else "replica"
        return (f"{role} {database.newest_term} {database.position()}"
                f" {database.held_term} 0 0 {len(database.writers)}")

    def hold(self, verb, argument):
        database = self.database
        if verb == "RESUME":
            database.held_term = 0
        elif not database.is_primary() and int(argument) > max(
                database.newest_term, database.held_term):
            database.held_term = int(argument)
        self.service.record.event(
            f"{database.name}: {verb} {argument}".rstrip()
            + f", at {database.position()}")

    async def handle(self, statement, text):
        verb, _, rest = text.partition(" ")
        required = None
        if verb == "AFTER":
            asked, _, text = rest.partition(" ")
            term, number = asked.split(".")
            required = (int(term), int(number))
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME"):
            return await self.handle_command(verb, rest)
        term, number = self.database.position().split(".")
        if required and required > (int(term), int(number)):
            return self.fail("LAGGING")
        if verb == "ROLLBACK":
            self.end_transaction()
            return self.succeed()
        if self.state == "E":
            return self.fail("MALFORMED")
        if verb == "BEGIN":
            if rest != "READ":
                if not self.database.is_primary():
                    return self.fail("READONLY")
                self.write_term = self.service.term
            self.state = "T"
            return self.succeed()
        if verb in ("SET", "RESET"):
            return self.succeed()
        if verb == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self.prepared[name] = access
            return self.succeed()
        await self.execute(statement, verb, rest)

    async def handle_command(self, verb, rest):
        late_seconds = self.database.on_command(f"{verb} {rest}".rstrip())
        if late_seconds is not None:
            self.service.record.event(
                f"{self.database.name}: {verb} is left unanswered, to be"
                f" carried out {late_seconds:.1f} s later")
            asyncio.get_running_loop().call_later(late_seconds, self.hold, verb,
                                                  rest)
            return
        if verb != "STATUS":
            self.hold(verb, rest)
        elif self.database.status_seconds:
            await asyncio.sleep(self.database.status_seconds)
        self.succeed(rows=[self.status_row()])

    def end_transaction(self):
        self.state, self.write_term, self.writes = "I", 0, []

    async def execute(self, statement, verb, rest):
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            access = self.prepared.get(rest.split(" ")[0])
            if access is None:
                return self.fail("NOSTMT")
            writes = access == "WRITE"
        lost_lead = not self.database.is_primary() or (
            self.write_term and self.write_term != self.service.term)
        if self.write_term and lost_lead and not (
                verb == "COMMIT" and not self.writes):
            return self.fail("READONLY")
        if writes and (lost_lead or (self.state == "T"
                                     and not self.write_term)):
            return self.fail("READONLY")
        signature = f"{self.database.name}.{statement}"
        if verb == "COMMIT":
            commits = bool(self.writes)
            self.end_transaction()
        else:
            commits = writes and self.state == "I"
            if writes and not commits:
                self.writes.append(statement)
        if commits and not await self.service.commit(self.database, statement):
            return self.writer.transport.abort()  # The lead was lost meanwhile.
        rows = [] if writes or verb == "COMMIT" else [f"row-{statement}"]
        self.succeed(signature, rows)
