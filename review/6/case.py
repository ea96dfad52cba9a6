"""A write runs in another client's transaction, is acknowledged and lost."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
sys.dont_write_bytecode = True
import stand_ins  # noqa: E402

GREY_SHARE = 0.45
GREY_SECONDS = 6.5


async def client(record, address, number, acknowledged):
    chance = random.Random(number)
    session = None
    while True:
        await asyncio.sleep(chance.uniform(0.02, 0.1))
        try:
            if session is None:
                session = stand_ins.Session(record, f"client{number}")
                await session.open(address, "bookings", "key-alpha")
            if chance.random() < 0.5:
                await session.ask("READ a")
            else:
                code, _, _ = await session.ask("WRITE a x")
                if code == "COMPLETE":
                    acknowledged.append((record.now(), session.last_id))
        except stand_ins.Broken:
            session = None


async def case(record, deployment):
    # One of nine databases is grey: the primary of the first service. The
    # others stand by.
    service = deployment.add_service("dbsvc")
    others = [deployment.add_service(name) for name in ("other1", "other2")]
    chance = random.Random(3)
    grey = False
    primary = service.primary
    primary.sheds = lambda request: grey and chance.random() < GREY_SHARE
    await deployment.start()
    await deployment.put(stand_ins.configuration(
        3, [service] + others, [("bookings", "primary", "dbsvc", 1000)],
        [("alpha", ["key-alpha"])]))
    await deployment.wait_until_ready()
    acknowledged = []
    for number in range(9):
        machine = deployment.machines[number % 3]
        asyncio.ensure_future(client(record, machine.caller_address(), number,
                                     acknowledged))
    await asyncio.sleep(4)
    if stand_ins.trouble():
        record.say(f"{primary.name} answers {GREY_SHARE:.0%} of its requests "
                   f"with BUSY for {GREY_SECONDS} s")
        grey = True
    await asyncio.sleep(GREY_SECONDS)
    grey = False
    record.say(f"{primary.name} answers all requests again")
    await asyncio.sleep(4)
    for at, statement, owner in service.foreign[:5]:
        record.say(f"{statement} ran at {at:.3f} s in the transaction of "
                   f"{owner}")
    committed = {write for _, writes in service.log for write in writes}
    lost = [i for at, i in acknowledged if i not in committed
            and at < record.now() - 1]
    record.say(f"{len(service.foreign)} statements ran in another client's "
               f"transaction; {len(lost)} of {len(acknowledged)} acknowledged "
               f"writes are in no log: {lost[:5]}; promotions: "
               f"{service.term - 1}")
    return bool(service.foreign)


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case)
