"""Fixtures shared by tests of several folders."""

from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import TypeAlias

import pytest

from tests.utils.fleet import Fleet

StartFleet: TypeAlias = Callable[..., Awaitable[Fleet]]


@pytest.fixture
async def start_fleet(
    tmp_path: Path,
) -> AsyncIterator[StartFleet]:
    """Return a function that starts a fleet; stop all fleets at the end."""
    fleets: list[Fleet] = []

    async def start(
        *zones: str,
        engine_words: tuple[str, ...] = (),
        daemon_flags: tuple[str, ...] = (),
    ) -> Fleet:
        fleet = Fleet(tmp_path, zones or ('a1', 'a1', 'a1'))
        fleet.engine_words += engine_words
        fleet.daemon_flags = daemon_flags
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.stop()
