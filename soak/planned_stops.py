"""Planned stops of instances under busy sessions, with no other fault: no
statement may lose its answer."""

import asyncio
import signal

import wire
from callers import Caller
from net import cancel_all

BUSY_CALLER_COUNT = 24
STOP_COUNT = 2
# Long enough for statements to be running whenever a process ends.
EXECUTION_SECONDS = 0.04


class BusyCaller(Caller):
    """Sends its next statement soon after an answer, in sessions that end only
    when the entry closes them."""

    max_operations = 1_000_000
    mean_pause_seconds = 0.015
    notes_cuts = True


async def run_planned_stops(testbed, random):
    """Stops instances, both programs of each, in turn or overlapping."""
    testbed.record.log_event("planned stops begin")
    usual_seconds = {group: group.execution_seconds
                     for group in testbed.groups.values()}
    for group in usual_seconds:
        group.execution_seconds = EXECUTION_SECONDS
    callers = [asyncio.create_task(
        BusyCaller(f"b{n}", testbed, random.random()).run())
        for n in range(BUSY_CALLER_COUNT)]
    await asyncio.sleep(1)
    stops = []
    for instance in random.sample(testbed.instances, STOP_COUNT):
        stops.append(asyncio.create_task(stop_and_restart(testbed, instance)))
        await asyncio.sleep(random.uniform(0.5, 7))
    await asyncio.gather(*stops)
    await cancel_all(callers)
    await asyncio.sleep(1)
    testbed.record.check_cuts()
    for group, seconds in usual_seconds.items():
        group.execution_seconds = seconds
    testbed.record.log_event("planned stops have ended")


async def stop_and_restart(testbed, instance):
    testbed.record.log_event(f"planned stop of {instance.name}")
    testbed.record.mark_disturbed(instance.name)
    ended = await asyncio.gather(*(
        process.stop(signal.SIGTERM, wire.STOP_GRACE_SECONDS + 1)
        for process in instance.processes()))
    if not all(ended):
        testbed.record.add_violation(
            "stop", f"{instance.name} did not stop within the grace period")
    testbed.record.mark_disturbed(instance.name)
    for process in instance.processes():
        process.start()
