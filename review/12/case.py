"""A database that joins while another one is being promoted receives without a
fence."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

from databases import Service  # noqa: E402
from deployment import Deployment, Writers, run  # noqa: E402

PROMOTE_SECONDS = 0.6
GAP_SECONDS = 1.0  # the pages: gap_s (1)
START_SECONDS = 0.7  # from the start of the new one to the drain of the old one
COPY_SECONDS = 0.1
WRITERS = 45


async def case(folder, record, trouble):
    service = Service("coop-fieldbase", 1, PROMOTE_SECONDS, record)
    deployment = Deployment(folder, record, service, [("pumps", "primary")])
    zones = {"db-p": ("ibadan-a", 0.0002), "db-n": ("ibadan-a", 0.0002),
             "db-f": ("oyo-b", 0.0039)}
    for number, (name, (zone, link_seconds)) in enumerate(zones.items()):
        service.add(name, zone, deployment.database_address(number),
                    link_seconds)
    primary, near, far = service.databases
    # Reads keep its slots busy.
    far.status_seconds = 0.06

    async def replace(old, number):
        """The new one starts first, the old one drains."""
        new = service.add(old.name + "-new", old.zone,
                          deployment.database_address(number),
                          old.link_seconds)
        new.copy_seconds = COPY_SECONDS
        await new.start()
        record.event(f"{new.name} starts")
        await asyncio.sleep(START_SECONDS)
        old.set_draining()
        record.event(f"{old.name} drains, at {old.position()}")

    try:
        await deployment.start()
        writers = Writers(deployment, "pumps", WRITERS, 0.06)
        await asyncio.sleep(5)
        steps = [asyncio.create_task(replace(primary, 3))]
        await asyncio.sleep(GAP_SECONDS)
        if trouble:
            steps.append(asyncio.create_task(replace(near, 4)))
        for _ in range(60):
            await asyncio.sleep(0.1)
            if service.promotions:
                break
        await asyncio.sleep(1)
        writers.stop()
        await asyncio.gather(*steps)
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
