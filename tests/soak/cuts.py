"""Entries that lose their path to all upstreams, and nothing else.

In the first phase some do for a while; one is cut off during the whole calm
phase.
"""

import asyncio
import random
import time

from tests.gateway.paths import Mode
from tests.soak.releases import TROUBLE_FAULTS
from tests.soak.soak_fleet import SoakFleet

STRANDED = 'stranded'
CUTS = (Mode.SILENT, Mode.REFUSING, Mode.REFUSING_NEW)
MIN_CUT, MAX_CUT = 0.5, 5.0  # seconds


async def cut_entries(fleet: SoakFleet, rng: random.Random) -> None:
    """Cut some entries off from the upstreams, then connect them again."""
    count = rng.randint(1, len(fleet.entries) - 1)
    entries = rng.sample(range(len(fleet.entries)), count)
    await fleet.grid.cut(rng.choice(CUTS), entries)
    await asyncio.sleep(rng.uniform(MIN_CUT, MAX_CUT))
    await fleet.grid.cut(Mode.SOUND, entries)


async def cut_one_off(fleet: SoakFleet, rng: random.Random) -> None:
    """Cut one entry off until ``end_cuts``."""
    entry = rng.randrange(len(fleet.entries))
    await fleet.grid.cut(rng.choice(CUTS), (entry,))
    fleet.history.cut_off[entry] = time.time()


async def end_cuts(fleet: SoakFleet) -> None:
    """Connect all entries again, in plays that cut some off."""
    if fleet.grid is not None:
        await fleet.grid.cut(Mode.SOUND)


TROUBLE_FAULTS[STRANDED][cut_entries.__name__] = cut_entries
