"""A service with sync-replicas 1. One replica is replaced as planned (it
drains), the other one receives nothing for a while, and the primary crashes
meanwhile. Each acknowledged commit has to be in the log of the database that is
promoted."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import run_case  # noqa: E402
from client import Session, SessionEnded  # noqa: E402
from databases import Group  # noqa: E402
from fleet import Fleet, make_configuration  # noqa: E402

WRITERS = 4
PAUSE_S = 0.03
DEAF_AFTER_S = 1.0  # after the draining was acknowledged
CRASH_AFTER_S = 2.0  # after the replica became deaf
DEAF_S = 6.0


async def write(fleet, number, acknowledged, stop):
    """One session after another writes; notes the acknowledged commits."""
    address = fleet.machines[number % 3].socket_address("frontend")
    while not stop.is_set():
        session = Session(fleet.record, f"writer{number}")
        try:
            await session.open(address, "bookings", "key-1")
            while not stop.is_set():
                answer = await session.query(f"WRITE item{number} data")
                if answer.succeeded():
                    acknowledged.append(answer.statement)
                await asyncio.sleep(PAUSE_S)
        except (OSError, SessionEnded, asyncio.TimeoutError):
            await asyncio.sleep(PAUSE_S)
        finally:
            session.close()


async def main(record, trouble):
    fleet = record.fleet = Fleet(record, 3)
    group = Group("bookings-db", fleet.database_addresses, record,
                  sync_replicas=1)
    primary, draining, deaf = group.databases
    await fleet.start([group], make_configuration(
        3, [("bookings", "primary", None, "bookings-db", 1000)],
        [("bookings-db", 23, 1)], [("tenant1", ["key-1"], 500)]))
    violations, acknowledged, stop = [], [], asyncio.Event()

    def check_log(promoted):
        log = {commit for _, commit in promoted.log}
        lost = [commit for commit in acknowledged if commit not in log]
        record.note(f"{len(acknowledged)} commits acknowledged, {len(lost)} of "
                    f"them not in the log of {promoted.name}")
        violations.extend(
            f"LOST: {commit} was acknowledged and is not in the log of "
            f"{promoted.name}" for commit in lost)

    group.on_promoted = check_log
    writers = [asyncio.create_task(write(fleet, n, acknowledged, stop))
               for n in range(WRITERS)]
    await asyncio.sleep(2)
    if trouble:
        draining.start_to_drain()
        while draining.drain_acknowledged_at is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(DEAF_AFTER_S)
        record.note(f"{deaf.name} receives nothing from now on")
        deaf.is_deaf = True
        await asyncio.sleep(CRASH_AFTER_S)
        record.note(f"{primary.name} crashes; {len(acknowledged)} commits "
                    f"acknowledged; {draining.name} has received "
                    f"{draining.received_position()}, {deaf.name} "
                    f"{deaf.received_position()}")
        primary.crash()
        await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
        deaf.is_deaf = False
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*writers)
    if not acknowledged:
        raise RuntimeError("no commit was acknowledged")
    return violations


run_case(FOLDER, main)
