"""Slots that a request keeps between two of its attempts."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.request_slots import OWED_INTERVAL, RequestSlots
from gentiantrestle.gateway.retry_policy import MAX_REFUSALS, RequestProgress
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.slot_request import SlotRequest
from gentiantrestle.gateway.slots.timing import AnswerTiming
from gentiantrestle.quarantine.culprits import MIN_CRASHES, Culprit
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import (
    ANSWER_TIME,
    EARLY_INTERVAL,
    RequestGuard,
)
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)

KEPT = SlotLease(1, make_upstream('u-1'), '', 0)
OTHER = SlotLease(2, make_upstream('u-2'), '', 0)
CULPRIT = Culprit(frozenset(('t',)), 0, 0)
PROGRESS = RequestProgress(True, 2, response_started=True)


class Held:
    """The slots of a request that keeps one, and what was given back."""

    def __init__(
        self,
        culprit: Culprit | None = None,
        guard: RequestGuard | None = None,
    ) -> None:
        self.released: list[SlotLease] = []
        guard = guard or SimpleNamespace(
            find_refused=lambda traits, wall: culprit,
            may_be_cleared=lambda traits, wall: False,
        )
        context = SimpleNamespace(
            passing=None,
            admission=SimpleNamespace(
                release=self._release, acquire=self._acquire
            ),
            clock=Clock(time.monotonic, time.time),
            guard=guard,
        )
        now = time.monotonic()
        req = make_request('r1', now)
        self._slots = RequestSlots(context, req, make_route(), ('t',))
        self._slots.keep(KEPT)

    async def take(self, refusals: int = 0) -> SlotLease:
        """Take the slot of the next attempt."""
        progress = PROGRESS._replace(refusals=refusals)
        return await self._slots.take(ENGINES, '', progress)

    async def _acquire(self, wanted: SlotRequest) -> SlotLease:
        return OTHER

    def _release(
        self, lease: SlotLease, health: SlotOutcome, timing: AnswerTiming
    ) -> None:
        self.released.append(lease)


async def test_kept_slot_is_taken_by_the_next_attempt() -> None:
    held = Held()
    assert await held.take() == KEPT
    assert not held.released


async def test_kept_slot_of_a_quarantined_request_is_released() -> None:
    held = Held(CULPRIT)
    with pytest.raises(RefusedError):
        await held.take()
    assert held.released == [KEPT]


async def test_kept_slot_is_released_when_the_caller_leaves() -> None:
    held = Held()
    taking = asyncio.create_task(held.take(MAX_REFUSALS))
    await asyncio.sleep(0)
    taking.cancel()
    with pytest.raises(asyncio.CancelledError):
        await taking
    assert held.released == [KEPT]


def blaming_guard(age: float) -> RequestGuard:
    """Return a guard that has blamed the request for ``age`` s."""
    guard = RequestGuard(Evidence(), lambda key: False)
    for number in range(MIN_CRASHES):
        traits = frozenset(('t',))
        guard.evidence.add_crash(f'u{number}/1', traits, time.time() - age)
    return guard


async def test_answer_that_has_begun_is_not_cut_for_a_fresh_blame() -> None:
    guard = blaming_guard(0)
    held = Held(guard=guard)
    taking = asyncio.create_task(held.take())
    await asyncio.sleep(0.1)
    assert held.released == [KEPT]
    guard.evidence.note_sound(('t',), time.time())
    assert await taking == OTHER


async def test_answer_that_has_begun_is_cut_at_once_for_an_old_blame() -> None:
    held = Held(guard=blaming_guard(EARLY_INTERVAL + ANSWER_TIME + 1))
    with pytest.raises(RefusedError):
        async with asyncio.timeout(OWED_INTERVAL):
            await held.take()
