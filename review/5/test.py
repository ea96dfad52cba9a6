"""A primary is replaced as planned (it drains) while transactions are open on it
that only read. Their clients commit later, which the former primary accepts,
since nothing was written. Meanwhile replicas apply late. A read on a
bounded-staleness route has to see each commit that was acknowledged more than
the route's max-staleness-ms before it."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import run_case  # noqa: E402
from client import Session, SessionEnded  # noqa: E402
from databases import Group  # noqa: E402
from fleet import Fleet, make_configuration  # noqa: E402

MAX_STALENESS_S = 1.5
WRITE_PAUSE_S = 0.02
OFFICERS = 8  # clients with a transaction each
READ_PAUSE_S = 0.02
DRAIN_AFTER_S = 0.1  # after the transaction's read
LAG_AFTER_S = 0.15  # after the promotion took effect
LAG_FACTOR = 120
LAG_S = 6.0
# The commits come this long after the transactions' reads: after less than the
# 3 s of transaction-idle-ms.
FIRST_COMMIT_AFTER_S, COMMIT_GAP_S = 1.9, 0.1


async def write(fleet, group, commits, stop):
    """Writes through the second machine; notes the acknowledged commits."""
    while not stop.is_set():
        session = Session(fleet.record, "writer")
        try:
            await session.open(fleet.machines[1].socket_address("frontend"),
                               "bookings", "key-1")
            while not stop.is_set():
                answer = await session.query("WRITE item1 data")
                if answer.succeeded():
                    commits.append((answer.answered_at, answer.statement))
                await asyncio.sleep(WRITE_PAUSE_S)
        except (OSError, SessionEnded, asyncio.TimeoutError):
            await asyncio.sleep(WRITE_PAUSE_S)
        finally:
            session.close()


async def read(fleet, reads, stop):
    """Reads through the third machine, on the route that may be stale."""
    while not stop.is_set():
        session = Session(fleet.record, "reader")
        try:
            await session.open(fleet.machines[2].socket_address("frontend"),
                               "schedule", "key-1")
            while not stop.is_set():
                answer = await session.query("READ item1")
                if answer.succeeded():
                    reads.append((answer.sent_at, answer.statement))
                await asyncio.sleep(READ_PAUSE_S)
        except (OSError, SessionEnded, asyncio.TimeoutError):
            await asyncio.sleep(READ_PAUSE_S)
        finally:
            session.close()


async def read_in_transaction(fleet, number, read):
    """A transaction that is open on the primary when it is replaced."""
    session = Session(fleet.record, f"officer{number}")
    await session.open(fleet.machines[2].socket_address("frontend"),
                       "bookings", "key-1")
    await session.query("BEGIN")
    await session.query("READ item1")
    read.release()
    await asyncio.sleep(FIRST_COMMIT_AFTER_S + number * COMMIT_GAP_S)
    await session.query("COMMIT")
    session.close()


async def main(record, trouble):
    fleet = record.fleet = Fleet(record, 9)
    groups = [Group(f"bookings-db{n}", fleet.database_addresses[n * 3:n * 3 + 3],
                    record) for n in range(3)]
    group = groups[0]
    await fleet.start(groups, make_configuration(
        3, [("bookings", "primary", None, group.name, 1000),
            ("schedule", "bounded_staleness", int(MAX_STALENESS_S * 1000),
             group.name, 2000)],
        [(each.name, 23, 0) for each in groups],
        [("tenant1", ["key-1"], 1000)]))
    commits, reads, stop = [], [], asyncio.Event()
    loop = asyncio.get_running_loop()

    def set_lag(factor):
        # Half of the six replicas.
        for database in [*group.databases, groups[1].databases[1]]:
            if not database.is_primary():
                database.lag_factor = factor
                record.note(f"{database.name} applies {factor} times as late")

    def on_promoted(_):
        loop.call_later(LAG_AFTER_S, set_lag, LAG_FACTOR)
        loop.call_later(LAG_AFTER_S + LAG_S, set_lag, 1)

    group.on_promoted = on_promoted
    tasks = [asyncio.create_task(write(fleet, group, commits, stop)),
             asyncio.create_task(read(fleet, reads, stop))]
    await asyncio.sleep(2)
    read_done = asyncio.Semaphore(0)
    officers = [asyncio.create_task(read_in_transaction(fleet, n, read_done))
                for n in range(OFFICERS)]
    for _ in officers:
        await read_done.acquire()
    if trouble:
        await asyncio.sleep(DRAIN_AFTER_S)
        group.databases[0].start_to_drain()
    await asyncio.gather(*officers)
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    final = {commit: n + 1 for n, (_, commit) in enumerate(group.primary.log)}
    runs = {run.statement: run for run in group.runs}
    violations = []
    for sent_at, statement in reads:
        run = runs[statement]
        needed = [(final[commit], acknowledged_at, commit)
                  for acknowledged_at, commit in commits
                  if acknowledged_at < sent_at - MAX_STALENESS_S
                  and commit in final]
        missing = [item for item in needed if item[0] > run.position]
        if missing:
            oldest = min(missing)
            violations.append(
                f"STALE: {statement} ran at {run.database.name} on {run.position}"
                f" log entries; {len(missing)} more were acknowledged over "
                f"{MAX_STALENESS_S} s before it was sent, the first one, "
                f"{oldest[2]}, {sent_at - oldest[1]:.3f} s before")
    if len(reads) < 50 or len(commits) < 50:
        raise RuntimeError("too few statements succeeded")
    return violations


run_case(FOLDER, main)
