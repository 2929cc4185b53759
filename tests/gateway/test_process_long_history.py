"""All entries lose power at once after a long history, on narrow links."""

import asyncio
import base64
import random
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.gateway.fleet import (
    ENTRIES,
    UNREACHABLE,
    UPSTREAMS,
    has_applied_config,
)
from tests.gateway.links import LinkFleet
from tests.gateway.wire_samples import job_doc, route_doc, route_docs
from tests.utils.http import until

SEED = 60
VERSIONS = 200  # of the configuration
JOBS = 200
MAX_ITEMS = 6  # of a job
ROUTES = 4249
CHANGES = 3  # of these routes
# A copy of the configuration fits into the time for a change of it twice.
LINK_RATE = 524288  # bytes a second
UNREACHED = (OSError, *UNREACHABLE)
FINISH_TIME = 18.0  # seconds from the start of the entries to the last read
APPLY_TIME = 4.0  # seconds until a change is in force everywhere
JOB = '/gentiantrestle/lots/{name}?after=0'
LARGE_ITEMS = 4  # of a large job
ITEM_SIZE = 160000  # bytes of the body of such an item


class History:
    """Versions of the configuration and jobs, in a drawn order."""

    def __init__(self, fleet: LinkFleet, rng: random.Random) -> None:
        """Choose what will be done; nothing is done yet."""
        self._fleet = fleet
        self._rng = rng
        self.jobs = {
            f'job{number}': rng.randint(1, MAX_ITEMS) for number in range(JOBS)
        }
        self.results: dict[str, list[Any]] = {}

    async def make(self) -> None:
        """Change the configuration and submit jobs; wait for their results."""
        steps = [*self.jobs, *range(VERSIONS)]
        self._rng.shuffle(steps)
        for step in steps:
            if isinstance(step, str):
                await self._submit(step)
            else:
                await self._fleet.configure(_routes(5000 + step, 0))
        for name, count in self.jobs.items():
            self.results[name] = await until(
                lambda job=name, least=count: self.read(0, job, least)
            )

    async def find_unread(self, timeout: float) -> list[tuple[int, str]]:
        """Read all jobs at all entries; return what can't be read in time.

        Callers are sent to an entry once it is ready.
        """
        left = [(entry, name) for entry in range(ENTRIES) for name in self.jobs]
        unread = set(left)
        self._rng.shuffle(left)

        async def read_all(entry: int) -> None:
            await until(lambda: self._fleet.is_ready(entry), timeout)
            for at, name in left:
                if at == entry:
                    await self._read_again(entry, name, unread)

        try:
            async with asyncio.timeout(timeout):
                await asyncio.gather(*map(read_all, range(ENTRIES)))
        except TimeoutError:
            return sorted(unread)
        return []

    async def read(self, entry: int, name: str, least: int) -> list[Any]:
        """Return a job's results; none where there are fewer or no answer."""
        path = JOB.format(name=name)
        try:
            reply = await self._fleet.request(entry, 'r', path, method='GET')
        except UNREACHED:
            return []
        assert reply.status in {200, 503}
        rows = reply.json()['results'] if reply.status == 200 else []
        return rows if len(rows) >= least else []

    async def _read_again(
        self, entry: int, name: str, unread: set[tuple[int, str]]
    ) -> None:
        """Read a job until it is as it was."""
        known = self.results[name]
        rows = await until(lambda: self.read(entry, name, len(known)))
        assert rows == known
        unread.discard((entry, name))

    async def _submit(self, name: str) -> None:
        entry = self._rng.randrange(ENTRIES)
        job = job_doc(name, self.jobs[name], 1)
        reply = await self._fleet.request(entry, name, '/lists/j', job)
        assert reply.status == 202


def _routes(timeout_ms: int, extra: int) -> list[dict[str, Any]]:
    """Return routes of which one has a timeout, and ``extra`` unused ones."""
    return [
        *route_docs(),
        route_doc(name='varied', path_prefix='/varied/', timeout_ms=timeout_ms),
        *(
            route_doc(name=f'r{number}', path_prefix=f'/r{number}/')
            for number in range(extra)
        ),
    ]


async def _submit_large_job(fleet: LinkFleet) -> int:
    """Return the status of the answer."""
    body = {'events': 2, 'pause': 1, 'pad': 'x' * ITEM_SIZE}
    encoded = base64.b64encode(msgspec.json.encode(body)).decode()
    job = job_doc('large', LARGE_ITEMS, 2, body=encoded)
    return (await fleet.request(0, 'large', '/lists/j', job)).status


async def _configure_everywhere(fleet: LinkFleet, timeout_ms: int) -> None:
    """Put a configuration of thousands of routes in force."""
    await fleet.configure(_routes(timeout_ms, ROUTES))
    await until(lambda: _lacking(fleet) == [])


async def _lose_power(fleet: LinkFleet) -> None:
    """Kill all entries at once and start them again."""
    for child in fleet.entries:
        child.process.send_signal(signal.SIGKILL)
    for number, child in enumerate(fleet.entries):
        await child.process.wait()
        await fleet.start_entry(number)


def _lacking(fleet: LinkFleet) -> list[int]:
    """Return the entries that haven't applied the last configuration."""
    return [
        entry
        for entry in range(ENTRIES)
        if not has_applied_config(fleet, entry, fleet.version)
    ]


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[LinkFleet]:
    """Start a fleet with links; kill its processes after the test."""
    started = LinkFleet(tmp_path, ENTRIES, UPSTREAMS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def test_jobs_of_a_long_history_are_read_after_all_lost_power(
    fleet: LinkFleet,
) -> None:
    history = History(fleet, random.Random(SEED))
    await history.make()
    await _configure_everywhere(fleet, 5000)
    fleet.bound(LINK_RATE)
    await _lose_power(fleet)
    assert await history.find_unread(FINISH_TIME) == []


async def test_changes_of_a_large_configuration_arrive_over_narrow_links(
    fleet: LinkFleet,
) -> None:
    await _configure_everywhere(fleet, 5000)
    fleet.bound(LINK_RATE)
    for timeout_ms in range(5001, 5001 + CHANGES):
        await fleet.configure(_routes(timeout_ms, ROUTES))
        await asyncio.sleep(APPLY_TIME)
        assert _lacking(fleet) == []


async def test_large_job_is_run_after_all_lost_power_on_narrow_links(
    fleet: LinkFleet,
) -> None:
    assert await _submit_large_job(fleet) == 202
    fleet.bound(LINK_RATE)
    await _lose_power(fleet)
    history = History(fleet, random.Random(SEED))
    await until(lambda: history.read(0, 'large', LARGE_ITEMS), FINISH_TIME)


async def test_large_job_is_accepted_over_a_narrow_link(
    fleet: LinkFleet,
) -> None:
    fleet.bound(LINK_RATE)

    async def is_accepted() -> bool:
        return await _submit_large_job(fleet) == 202

    await until(is_accepted, FINISH_TIME)
