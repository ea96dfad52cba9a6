"""A withdrawn key goes on running statements, and commits."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
sys.dont_write_bytecode = True
import stand_ins  # noqa: E402

CONFIG_APPLY_SECONDS = 3.0  # config-apply-ms
PAUSE_SECONDS = 1.5  # transaction-idle-ms is 3,000
STATEMENTS = 12  # "a transaction of up to 12 statements with pauses"


async def case(record, deployment):
    service = deployment.add_service("dbsvc")
    await deployment.start()

    def config(version, keys):
        return stand_ins.configuration(
            version, [service], [("bookings", "primary", "dbsvc", 1000)],
            [("alpha", keys), ("beta", ["key-of-beta"])])

    await deployment.put(config(3, ["key-1", "key-2"]))
    await deployment.wait_until_ready()
    address = deployment.machines[1].caller_address()
    session = stand_ins.Session(record, "client")
    await session.open(address, "bookings", "key-1")
    sent = {}  # by id of the statement: when it was sent

    async def ask(text):
        sent_at = record.now()
        answer = await session.ask(text)
        sent[session.last_id] = sent_at
        return answer

    await asyncio.sleep(4.5)  # in touch for longer than contact-window-ms
    await ask("BEGIN")
    await ask("WRITE a x")
    if stand_ins.trouble():
        # The key is taken away; its tenant keeps another one.
        await deployment.put(config(5, ["key-2"]))
    acknowledged_at = record.now()
    for number in range(STATEMENTS - 3):
        await asyncio.sleep(PAUSE_SECONDS)
        code, _, _ = await ask(f"WRITE b{number} x")
        if code != "COMPLETE":
            break
    await asyncio.sleep(PAUSE_SECONDS)
    code, _, _ = await ask("COMMIT")
    record.say(f"COMMIT {sent[session.last_id] - acknowledged_at:.1f} s after "
               f"the acknowledgement: {code}")
    late = [run for run in service.runs if run[3] in sent
            and sent[run[3]] > acknowledged_at + CONFIG_APPLY_SECONDS]
    for _, database, tenant, identifier, text in late:
        record.say(f"{sent[identifier] - acknowledged_at:5.1f} s after the "
                   f"acknowledgement: {database} runs {text} of {tenant}")
    other = stand_ins.Session(record, "other")
    try:
        await other.open(address, "bookings", "key-1")
        record.say("a new session with the key is accepted")
        new_session = True
    except stand_ins.Broken as refusal:
        record.say(f"a new session with the key: {refusal}")
        new_session = False
    if not stand_ins.trouble():
        # Nothing was withdrawn: all has to run.
        if code != "COMPLETE" or not new_session:
            raise stand_ins.CannotRun("the key does not work")
        return False
    return bool(late)


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case)
