"""A planned restart of the placer, in a deployment whose hosts send no notes."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standing import IDS, Deployment  # noqa: E402
from standins import CannotRun, Owner, play  # noqa: E402


async def case(record, trouble, temporary, started):
    # yes_at=running: no note 1. use_notes=false: no notes 2 and 3. says_pressure=false: no notes 4 and 5.
    fleet = Deployment(record, temporary, started, family_info__yes_at='running', family_info__use_notes=False)
    await fleet.start()
    await fleet.place()
    await asyncio.sleep(1)
    if trouble:
        fleet.placer.signal(signal.SIGTERM)
        if await fleet.placer.ended(8) != 0:
            raise CannotRun('the placer did not end on SIGTERM')
        await fleet.placer.start()
        fleet.owner = await Owner(record, 'owner').connect(fleet.placer.address)
        for label in IDS:
            fleet.hand_over(label)
    fleet.watch()
    await asyncio.sleep(10)
    await fleet.end_tasks()
    return fleet.close()


play(HERE, case)
