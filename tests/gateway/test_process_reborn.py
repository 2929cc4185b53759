"""Upstreams that end and start again while an entry stands still."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest

from gentiantrestle.http.client import ConnectionLostError
from tests.gateway.fleet import GatewayFleet
from tests.gateway.reborn_upstream import EVENTS, RebornUpstream, event
from tests.gateway.wire_samples import expected_output, job_doc
from tests.utils.http import until

STAND_STILL = 1.4  # seconds
BEGUN_TIME = 0.1  # seconds in which the first event reaches the entry
BAD_GATEWAY = 502
NEW_RUN = 2


class Scene(NamedTuple):
    """One entry before one upstream."""

    fleet: GatewayFleet
    upstream: RebornUpstream

    async def restart_unseen(self) -> None:
        """Let the upstream end with an answer, and start again, unseen."""
        await until(lambda: self.upstream.run.answers)
        await asyncio.sleep(BEGUN_TIME)
        entry = self.fleet.entries[0].process
        entry.send_signal(signal.SIGSTOP)
        try:
            await self.upstream.start_again()
            self.upstream.run.holds = False
            await asyncio.sleep(STAND_STILL)
        finally:
            entry.send_signal(signal.SIGCONT)


@asynccontextmanager
async def reborn_upstream(
    fleet: GatewayFleet,
) -> AsyncIterator[RebornUpstream]:
    """Take the place of the fleet's only upstream."""
    address = fleet.upstreams[0]
    await fleet.standins[address].end()
    upstream = RebornUpstream(address)
    await upstream.start()
    yield upstream
    await upstream.run.end()


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    """Start an entry; the upstream's answers have no length."""
    fleet = GatewayFleet(tmp_path, 1, 1)
    try:
        await fleet.start()
        async with reborn_upstream(fleet) as upstream:
            yield Scene(fleet, upstream)
    finally:
        await fleet.stop()


# MIXED: a stream that a crash had cut was ended as complete.
async def test_stream_cut_by_an_unseen_crash_does_not_look_complete(
    scene: Scene,
) -> None:
    asking = asyncio.create_task(
        scene.fleet.request(0, 'r1', '/once/1', body={})
    )
    await scene.restart_unseen()
    with pytest.raises(ConnectionLostError):
        await asking


async def test_resumable_stream_cut_by_an_unseen_crash_goes_on(
    scene: Scene,
) -> None:
    asking = asyncio.create_task(scene.fleet.request(0, 'r1', body={}))
    await scene.restart_unseen()
    await scene.fleet.register(0, born=NEW_RUN)
    reply = await asking
    assert reply.body == b''.join(map(event, range(1, EVENTS + 1)))


# The request may have run: the answer must not say that it hasn't.
async def test_answer_to_run_once_cut_by_an_unseen_crash_is_an_error(
    scene: Scene,
) -> None:
    asking = asyncio.create_task(
        scene.fleet.request(0, 'r1', '/pay/1', body={})
    )
    await scene.restart_unseen()
    assert (await asking).status == BAD_GATEWAY


# MIXED: an item was listed as completed with a part of its output.
async def test_item_cut_by_an_unseen_crash_is_completed_whole(
    scene: Scene,
) -> None:
    await scene.fleet.request(0, 'j', '/lists/1', job_doc('j', 1, 2, id='r1'))
    await scene.restart_unseen()
    await scene.fleet.register(0, born=NEW_RUN)

    async def outputs() -> list[str]:
        reply = await scene.fleet.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        return [item['output'] for item in reply.json()['results']]

    assert await until(outputs) == [expected_output('r1', EVENTS)]
