"""A planned stop (SIGTERM) of one machine while sessions on it go on
working: each sends its next statement soon after an answer. No request that
was passed on to a database may end without its answer."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import run_case  # noqa: E402
from client import Session, SessionEnded  # noqa: E402
from databases import Group  # noqa: E402
from fleet import GRACE_PERIOD_S, Fleet, make_configuration  # noqa: E402

SESSIONS = 16
MIN_PAUSE_S, MAX_PAUSE_S = 0.005, 0.04
ROUTE_TIMEOUT_S = 1.0
# A database that is still at work late in the grace period excuses a cut only
# for requests that were sent this early.
EXCUSED_SEND_S = 3.0


async def use_session(fleet, number, cuts):
    """One session, until its connection ends. Notes a request that is cut."""
    session = Session(fleet.record, f"session{number}")
    rng = random.Random(number)
    try:
        await session.open(fleet.machines[0].socket_address("frontend"),
                           "quotes", "key-1")
        while True:
            item = f"item{rng.randrange(50)}"
            await session.query(f"WRITE {item} data" if rng.random() < 0.2
                                else f"READ {item}")
            await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if session.reader.at_eof():
                return  # Closed between two operations.
    except SessionEnded:
        if session.outstanding:
            cuts.append((time.monotonic(), *session.outstanding))
    finally:
        session.close()


async def main(record, trouble):
    fleet = record.fleet = Fleet(record, 3)
    group = Group("bookings-db", fleet.database_addresses, record,
                  work_s=0.04)
    await fleet.start([group], make_configuration(
        3, [("quotes", "read_your_writes", 2500, "bookings-db",
             int(ROUTE_TIMEOUT_S * 1000))],
        [("bookings-db", 23, 0)], [("tenant1", ["key-1"], 2000)]))
    cuts = []
    sessions = [asyncio.create_task(use_session(fleet, n, cuts))
                for n in range(SESSIONS)]
    await asyncio.sleep(3)
    entry = fleet.machines[0].entry
    stopped_at = time.monotonic()
    if trouble:
        record.note("SIGTERM to both processes of the machine")
        entry.send_signal(signal.SIGTERM)
        fleet.machines[0].controller.send_signal(signal.SIGTERM)
    while time.monotonic() - stopped_at < GRACE_PERIOD_S + 1:
        if trouble and not entry.is_running():
            record.note("the entry has ended")
            break
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    for session in sessions:
        session.cancel()
    violations = []
    for cut_at, statement, sent_at in cuts:
        sent_s, held_s = sent_at - stopped_at, cut_at - sent_at
        if statement not in group.received or held_s >= ROUTE_TIMEOUT_S:
            continue
        if 0 <= sent_s <= EXCUSED_SEND_S:
            continue
        violations.append(
            f"LOST: {statement}, sent {sent_s:.3f} s after the SIGTERM, was "
            f"passed on to a database; its connection ended "
            f"{held_s * 1000:.0f} ms after it was sent, without an answer")
    if len(group.runs) < 100:
        raise RuntimeError("too few statements ran")
    return violations


run_case(FOLDER, main)
