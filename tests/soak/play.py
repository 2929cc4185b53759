"""One play of the soak.

A play has a phase of faults and a calm phase of planned operations only. Then
the accepted jobs are read to their end.
"""

import asyncio
import random
import signal
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from tests.soak.accounts import BOUNDS, Keyring, send_wrong_keys
from tests.soak.callers import Callers
from tests.soak.cuts import cut_one_off, end_cuts
from tests.soak.faults import FAULTS, PLANNED, Fault
from tests.soak.history import History
from tests.soak.proxy import Proxy
from tests.soak.releases import TROUBLE_FAULTS, with_kills
from tests.soak.soak_fleet import ENTRIES, UPSTREAMS, SoakFleet
from tests.soak.troubles import (
    TROUBLES,
    Trouble,
    restart_upstreams,
    send_crashing,
)

FAULT_TIME = 10.0  # seconds
# No guarantee holds for an instance this soon after a fault that affected it.
SETTLE_TIME = 6.0  # seconds
PLANNED_TIME = 5.0  # seconds
# Accepted jobs must be complete this long after the last operation.
FINISH_TIME = 18.0  # seconds
MAX_GAP = 0.9  # seconds between the starts of two faults
TROUBLE_SHARE = 0.4  # of the faults that are those of the play's trouble
FIRST_VERSION = 'v1'
ONLINE_PER_ENTRY = 4  # online callers for each entry
RESUMED_PER_ENTRY = 3  # callers that take up each stream


class Size(NamedTuple):
    """Numbers of processes of a play."""

    entries: int = ENTRIES
    upstreams: int = UPSTREAMS


DEFAULT_SIZE = Size()


def play(
    seed: int, folder: Path, size: Size = DEFAULT_SIZE, trouble: str = ''
) -> History:
    """Play one seed; return what callers and upstreams observed.

    Logs and settings of the processes are written to ``folder``. ``trouble``
    names one of ``TROUBLES``, or none.
    """
    return asyncio.run(_play(seed, folder, size, trouble))


async def _play(seed: int, folder: Path, size: Size, trouble: str) -> History:
    rng = random.Random(seed)
    cause = TROUBLES.get(trouble, Trouble())
    fleet = SoakFleet(
        folder,
        size.entries,
        size.upstreams,
        cause.new_link or Proxy,
        size.upstreams if cause.releases else 0,
    )
    fleet.upstream_words = cause.words
    if cause.releases:
        numbers = range(len(fleet.upstreams))
        fleet.versions = dict.fromkeys(numbers, FIRST_VERSION)
    if cause.cuts:
        fleet.add_paths()
    if cause.accounts:
        fleet.keyring = Keyring()
        fleet.accounts = fleet.keyring.documents()
        fleet.bounds = BOUNDS
    # A proxy accepts connections for an upstream that has ended.
    fleet.direct = bool(trouble) and cause.new_link is None
    try:
        await fleet.start()
        await fleet.add_version()
        await _run_phases(fleet, rng, trouble)
    finally:
        await fleet.stop()
    return fleet.history


async def _run_phases(
    fleet: SoakFleet, rng: random.Random, trouble: str
) -> None:
    callers = Callers(fleet, random.Random(rng.random()))
    work = [
        callers.online for _ in range(ONLINE_PER_ENTRY * len(fleet.entries))
    ]
    work += [callers.jobs, callers.jobs, callers.probes]
    keeper = asyncio.create_task(_keep_upstreams(fleet, trouble))
    cause = TROUBLES.get(trouble, Trouble())
    if cause.crash is not None:
        work.append(lambda: send_crashing(callers, cause.crash))
    if cause.accounts:
        work.append(lambda: send_wrong_keys(callers, fleet))
    if cause.releases:
        work += (
            [callers.resumed_streams] * RESUMED_PER_ENTRY * len(fleet.entries)
        )
    tasks = [asyncio.create_task(caller()) for caller in work]
    special = TROUBLE_FAULTS.get(trouble, {})
    await _inject_faults(fleet, rng, FAULTS, with_kills(special), FAULT_TIME)
    await _clear_faults(fleet)
    await _run_calm_phase(fleet, rng, {} if cause.cuts else special)
    callers.stopping = True
    fleet.history.loaded_until = time.time()
    await asyncio.gather(*tasks)
    await end_cuts(fleet)
    await _read_accepted_jobs(fleet, callers)
    keeper.cancel()


async def _run_calm_phase(
    fleet: SoakFleet, rng: random.Random, special: Mapping[str, Fault]
) -> None:
    if fleet.grid is not None:
        await cut_one_off(fleet, rng)
    await asyncio.sleep(SETTLE_TIME)
    fleet.history.calm_from = time.time()
    await _inject_faults(fleet, rng, PLANNED, special, PLANNED_TIME)
    await _resume_entries(fleet)


async def _keep_upstreams(fleet: SoakFleet, trouble: str) -> None:
    if trouble:
        await restart_upstreams(fleet)


async def _inject_faults(
    fleet: SoakFleet,
    rng: random.Random,
    faults: Mapping[str, Fault],
    special: Mapping[str, Fault],
    seconds: float,
) -> None:
    """Start random faults for some seconds, then wait until all are over.

    ``special`` are those of the play's trouble, if any.
    """
    end = time.monotonic() + seconds
    running: list[asyncio.Task[None]] = []
    while time.monotonic() < end:
        drawn = faults
        if special and rng.random() < TROUBLE_SHARE:
            drawn = special
        name = rng.choice(sorted(drawn))
        fleet.history.faults.append((time.time(), name))
        running.append(asyncio.create_task(drawn[name](fleet, rng)))
        await asyncio.sleep(rng.uniform(0.1, MAX_GAP))
    await asyncio.gather(*running)


async def _clear_faults(fleet: SoakFleet) -> None:
    """Clear all faults, and start or resume the processes."""
    for link in fleet.links:
        link.clear_faults()
    fleet.skew_clocks(0)
    await fleet.set_store_faults()
    for number in fleet.active:
        await fleet.start_upstream(number)
        await fleet.set_faults(number)
        await fleet.register(number)
    await _resume_entries(fleet)


async def _resume_entries(fleet: SoakFleet) -> None:
    for number, child in enumerate(fleet.entries):
        await fleet.start_entry(number)
        with suppress(ProcessLookupError):
            child.process.send_signal(signal.SIGCONT)


async def _read_accepted_jobs(fleet: SoakFleet, callers: Callers) -> None:
    """Read every accepted job to its end, for ``FINISH_TIME`` at most."""
    history = fleet.history
    unread = sorted(history.accepted() - history.cancel_requests)
    end = time.monotonic() + FINISH_TIME
    while unread and time.monotonic() < end:
        unread = [name for name in unread if not await callers.read_all(name)]
        await asyncio.sleep(0.1)
