"""A late RESUME lets a fenced replica receive while another one is promoted."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

from databases import Service  # noqa: E402
from deployment import Deployment, Writers, run  # noqa: E402

LATE_SECONDS = 4.0  # the pages: 2 to 12 s
DRAIN_AFTER_SECONDS = 3.6
PROMOTE_SECONDS = 0.6
WRITERS = 45


async def case(folder, record, trouble):
    service = Service("coop-fieldbase", 1, PROMOTE_SECONDS, record)
    deployment = Deployment(folder, record, service, [("pumps", "primary")])
    # The primary and one replica are in one zone, the other replica is not.
    primary = service.add("db-p", "ibadan-a", deployment.database_address(0),
                          0.0002)
    far = service.add("db-f", "oyo-b", deployment.database_address(1), 0.0039)
    near = service.add("db-n", "ibadan-a", deployment.database_address(2),
                       0.0002)
    resumed = asyncio.Event()

    def on_near_command(command):
        if command != "RESUME" or resumed.is_set():
            return None
        resumed.set()
        return LATE_SECONDS if trouble else None

    near.on_command = on_near_command
    # Reads keep its slots busy.
    far.status_seconds = 0.06
    try:
        await deployment.start()
        writers = Writers(deployment, "pumps", WRITERS, 0.06)
        await asyncio.wait_for(resumed.wait(), 60)
        await asyncio.sleep(DRAIN_AFTER_SECONDS)
        record.event(f"{primary.name} drains, {len(writers.acknowledged)}"
                     " writes were acknowledged")
        primary.set_draining()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if service.promotions:
                break
        await asyncio.sleep(1)
        writers.stop()
    finally:
        deployment.stop()
    if not service.promotions:
        record.event("nobody was promoted")
        return True
    promoted, log = service.promotions[0]
    kept = {commit for _, commit in log}
    # Commits after the promotion are in the log of the new primary.
    kept |= {commit for _, commit in promoted.log}
    lost = sorted(set(writers.acknowledged) - kept)
    record.event(f"{writers.sent} writes sent, {len(writers.acknowledged)}"
                 f" acknowledged; {promoted.name} was promoted with"
                 f" {len(log)}; lost: {len(lost)} {' '.join(lost)}")
    return not lost


run(case, HERE)
