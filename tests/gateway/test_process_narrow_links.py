"""A configuration of thousands of routes, and links that are narrow for it."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.fleet import has_applied_config
from tests.gateway.narrow_links import PREFIX, NarrowFleet, many_route_docs
from tests.gateway.wire_samples import job_doc
from tests.utils.http import until

ENTRIES = 2
ROUTES = 4200
# Of what entries of one region share, a fair part of each.
RATE = 400000  # bytes a second
RECOVER = 15.0  # seconds until entries that start serve again
ITEMS = 4
EVENTS = 20
JOB_TIME = 10.0  # seconds in which a small job ends
READS = '/gentiantrestle/lots/job1'


@pytest.fixture
async def narrow(tmp_path: Path) -> AsyncIterator[NarrowFleet]:
    """Start a fleet behind narrow links with few routes."""
    fleet = NarrowFleet(tmp_path, ENTRIES, RATE)
    try:
        await fleet.start_links()
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def _read(fleet: NarrowFleet, entry: int) -> tuple[int, int]:
    """Return the status of a read of the job, and the number of results."""
    reply = await fleet.request(entry, 'read', READS, method='GET')
    if reply.status != 200:
        return reply.status, 0
    return reply.status, len(reply.json()['results'])


async def test_large_configuration_does_not_stay_out_of_force_on_narrow_links(
    narrow: NarrowFleet,
) -> None:
    await narrow.configure(many_route_docs(ROUTES))
    for entry in range(ENTRIES):
        await until(
            lambda entry=entry: _has_applied(narrow, entry), timeout=RECOVER
        )
        path = f'/{PREFIX}{ROUTES - 1}/x'
        reply = await narrow.request(
            entry, f'last-{entry}', path, {'events': 2}
        )
        assert reply.status == 200


async def test_jobs_are_not_unreadable_after_a_restart_with_many_routes(
    narrow: NarrowFleet,
) -> None:
    reply = await narrow.request(
        0, 'job1', '/lists/j', job_doc('job1', ITEMS, EVENTS)
    )
    assert reply.status == 202
    await until(lambda: _is_done(narrow, 0), timeout=JOB_TIME)
    for entry in narrow.entries:
        await entry.end()
    await narrow.configure(many_route_docs(ROUTES))
    for entry in range(ENTRIES):
        await narrow.start_entry(entry)
    for entry in range(ENTRIES):
        await until(lambda entry=entry: narrow.is_ready(entry), timeout=RECOVER)
        assert await _read(narrow, entry) == (200, ITEMS)


async def _has_applied(fleet: NarrowFleet, entry: int) -> bool:
    return has_applied_config(fleet, entry, fleet.version)


async def _is_done(fleet: NarrowFleet, entry: int) -> bool:
    return await _read(fleet, entry) == (200, ITEMS)
