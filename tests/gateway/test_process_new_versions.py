"""Streams that begin at the first upstream of a new software version."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gentiantrestle.gateway.streams.origins import RETENTION
from tests.gateway.test_process_silent_store import LinkedFleet
from tests.gateway.test_process_versions import joined_streams
from tests.gateway.versions import (
    ENTRIES,
    NEW,
    NEW_UPSTREAMS,
    OLD,
    Caller,
    VersionScene,
)

FIRST, SECOND, THIRD = range(ENTRIES)
KNOWN_TIME = RETENTION + 2  # seconds in which there is one version
CUT_TIME = 0.5  # seconds from a cut to what follows
# For a moment, a stream and its take-up both hold one of 16 slots.
STREAMS = 8
FEW = 4  # streams that begin at one time
MAX_ROUNDS = 5


class LinkedScene(VersionScene):
    """Its entries reach the store through a link each."""

    def __init__(self, folder: Path) -> None:
        """Choose the versions; nothing is started yet."""
        super().__init__(folder)
        versions = self.fleet.versions
        self.fleet: LinkedFleet = LinkedFleet(folder, len(versions))
        self.fleet.versions = versions

    async def cut_off(self, *entries: int) -> None:
        """Cut entries off from the store: connections are reset."""
        for number in entries:
            await self.fleet.links[number].stop()
        await asyncio.sleep(CUT_TIME)

    async def begin_at_new(self) -> list[Caller]:
        """Begin streams at the first entry until some are of the new version.

        The other entries have hardly heard of it by then.
        """
        for _ in range(MAX_ROUNDS):
            callers = await self.begin(FEW, (FIRST,))
            begun = [caller for caller in callers if caller.version == NEW]
            if begun:
                return begun
        pytest.fail('no stream began at the new version')


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[LinkedScene]:
    """Start a fleet; its upstreams have had one version for long."""
    chosen = LinkedScene(tmp_path)
    try:
        await chosen.start()
        await chosen.remove(*NEW_UPSTREAMS)
        await asyncio.sleep(KNOWN_TIME)
        yield chosen
    finally:
        await chosen.stop()


# ORDER: who couldn't reach the store took its old list for the newest one.
async def test_stream_of_a_new_version_is_not_joined_without_the_store(
    scene: LinkedScene,
) -> None:
    await scene.cut_off(SECOND, THIRD)
    await scene.add(*NEW_UPSTREAMS)
    begun = await scene.begin_at_new()
    await asyncio.gather(*(caller.take_up(THIRD) for caller in begun))
    assert not joined_streams(begun)


# ORDER: the store is reached, but others had not saved the new version yet.
async def test_stream_of_a_new_version_is_not_joined_after_a_kill(
    scene: LinkedScene,
) -> None:
    await scene.add(*NEW_UPSTREAMS)
    begun = await scene.begin_at_new()
    await scene.kill(FIRST)
    await asyncio.gather(*(caller.take_up(THIRD) for caller in begun))
    assert not joined_streams(begun)


@pytest.mark.parametrize(
    'cut', [(SECOND, THIRD), (FIRST, SECOND, THIRD)], ids=['two', 'all']
)
async def test_streams_of_one_version_go_on_where_the_store_is_not_reached(
    scene: LinkedScene, cut: tuple[int, ...]
) -> None:
    await scene.cut_off(*cut)
    callers = await scene.begin(STREAMS, (FIRST,))
    await asyncio.gather(*(caller.take_up(THIRD) for caller in callers))
    assert {caller.version for caller in callers} == {OLD}
    assert [caller for caller in callers if not caller.went_on] == []


async def test_streams_of_one_version_go_on_after_a_kill_beside_a_cut(
    scene: LinkedScene,
) -> None:
    await scene.cut_off(THIRD)
    # The slots of a killed entry are free later.
    callers = await scene.begin(FEW, (FIRST,))
    await scene.kill(FIRST)
    await asyncio.gather(*(caller.take_up(THIRD) for caller in callers))
    assert [caller for caller in callers if not caller.went_on] == []
