"""Admission: waiting requests go in turn, and none is forgotten."""

import asyncio

import pytest

from gentiantrestle.config import Settings
from gentiantrestle.context import Context
from gentiantrestle.daemon.online.admission import Admission, Wanted
from gentiantrestle.daemon.upstreams.routing import Candidate, Snapshot
from gentiantrestle.daemon.upstreams.service import Upstream
from gentiantrestle.errors import RefusedError
from gentiantrestle.models import Address, DeploymentDoc

DEPLOYMENT = DeploymentDoc(model='m', version='1', upstreams=['u'])


class Loads:
    """Hears of changes and does nothing."""

    def note(self, name: str) -> None:
        """Heed no change."""


class OneUpstream:
    """A fleet of one upstream with a number of slots."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.loads = Loads()
        self.upstream = Upstream('u', Address('127.0.0.1', 1))

    def find(self, name: str) -> Upstream:
        """Return the upstream."""
        return self.upstream

    def share(self, name: str, now: float) -> int:
        """Return all slots."""
        return self.slots

    def total_slots(self, deployment: DeploymentDoc) -> int:
        """Return all slots."""
        return self.slots

    def snapshot(
        self,
        deployment: DeploymentDoc,
        now: float,
        prompt: str,
        excluded: frozenset[str],
    ) -> Snapshot:
        """Show the upstream as it is."""
        own = self.upstream.online
        one = Candidate('u', 'a', 'r', self.slots, own, 0, 0, 0, 1, usable=True)
        return Snapshot([one], 'a', 'r')


def _admission(slots: int, **settings: str) -> Admission:
    cfg = Settings.from_sources(
        {
            'instance': 'i',
            'zone': 'a',
            'region': 'r',
            'store': '127.0.0.1:1',
            **settings,
        },
        {},
    )
    return Admission(Context.from_config(cfg), OneUpstream(slots))


async def test_every_client_is_tried_when_one_is_over_its_share() -> None:
    """The loud one holds its share; the quiet one gets the free slot."""
    admission = _admission(4)
    loud = Wanted('loud', DEPLOYMENT)
    quiet = Wanted('quiet', DEPLOYMENT)
    held = [await admission.enter(loud) for _ in range(4)]
    waiting = asyncio.create_task(admission.enter(loud))
    await asyncio.sleep(0)
    heard = asyncio.create_task(admission.enter(quiet))
    await asyncio.sleep(0)
    assert admission.waiting == 2
    admission.leave('loud', held.pop(), 1)
    await heard
    assert not waiting.done()
    admission.leave('loud', held.pop(), 1)
    await waiting
    assert admission.waiting == 0


async def test_a_wait_ends_as_not_run() -> None:
    admission = _admission(1, queue_wait='0.05')
    wanted = Wanted('c', DEPLOYMENT)
    await admission.enter(wanted)
    with pytest.raises(RefusedError) as caught:
        await admission.enter(wanted)
    assert caught.value.refusal.kind.name == 'overloaded'
    assert caught.value.refusal.retry_after
    assert admission.waiting == 0


async def test_a_caller_that_leaves_gives_its_slot_back() -> None:
    admission = _admission(1)
    wanted = Wanted('c', DEPLOYMENT)
    held = await admission.enter(wanted)
    waiting = asyncio.create_task(admission.enter(wanted))
    await asyncio.sleep(0)
    admission.leave('c', held, 1)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert held.online == 0
