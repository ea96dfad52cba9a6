"""Reads are older than their bound where BEGIN is answered without a
position."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
sys.dont_write_bytecode = True
import stand_ins  # noqa: E402

MAX_STALENESS_SECONDS = 1.5  # max-staleness-ms
DEAF_SECONDS = 6.0


async def case(record, deployment):
    service = deployment.add_service("dbsvc")
    # "The position is TERM.NUMBER of the database's log, or `-`": a position
    # for statements that read or change the log, "-" for the others.
    service.tells_position = lambda request: not any(
        f" {verb}" in request for verb in (
            "BEGIN", "SET ", "PREPARE ", "RESET", "ROLLBACK", "DEALLOCATE "))
    await deployment.start()
    await deployment.put(stand_ins.configuration(
        3, [service], [("bookings", "primary", "dbsvc", 1000),
                       ("schedule", "bounded_staleness", "dbsvc", 2000)],
        [("alpha", ["key-alpha"])]))
    await deployment.wait_until_ready()
    await asyncio.sleep(4.5)

    commits = []  # (time of the acknowledgement, number in the log)
    reads = []  # (time before the first byte, id)

    async def write():
        session = stand_ins.Session(record, "writer")
        await session.open(deployment.machines[0].caller_address(),
                           "bookings", "key-alpha")
        while True:
            await asyncio.sleep(0.1)
            code, _, _ = await session.ask("WRITE a x")
            if code == "COMPLETE":
                number = next(n for n, entry in enumerate(service.log, 1)
                              if entry[0] == session.last_id)
                commits.append((record.now(), number))

    async def read(number):
        chance = random.Random(number)
        session = stand_ins.Session(record, f"reader{number}")
        await session.open(deployment.machines[1].caller_address(),
                           "schedule", "key-alpha")
        while True:
            await asyncio.sleep(chance.uniform(0.05, 0.15))
            sent_at = record.now()
            code, _, _ = await session.ask("READ a")
            if code == "COMPLETE":
                reads.append((sent_at, session.last_id))

    tasks = [asyncio.ensure_future(write())] + [
        asyncio.ensure_future(read(number)) for number in range(4)]
    await asyncio.sleep(4)
    if stand_ins.trouble():
        record.say(f"the replicas receive nothing for {DEAF_SECONDS} s")
        service.lag_seconds = DEAF_SECONDS
    await asyncio.sleep(DEAF_SECONDS)
    service.lag_seconds = 0.02
    await asyncio.sleep(1)
    for task in tasks:
        if task.done():
            raise stand_ins.CannotRun(f"a client ended: {task}")
        task.cancel()

    stale = 0
    oldest = 0.0
    for sent_at, identifier in reads:
        _, held = service.positions[identifier]
        missed = [at for at, number in commits if number > held
                  and at < sent_at - MAX_STALENESS_SECONDS]
        if missed:
            stale += 1
            oldest = max(oldest, sent_at - min(missed))
    record.say(f"{len(reads)} reads and {len(commits)} commits; {stale} reads "
               f"lack a commit that was acknowledged more than "
               f"{MAX_STALENESS_SECONDS} s before, at most {oldest:.1f} s")
    return stale > 0


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case)
