"""Attempts on silent upstreams, and the slots sought meanwhile."""

import asyncio
from contextlib import suppress

import pytest

from gentiantrestle.gateway.retry_policy import RequestProgress
from gentiantrestle.gateway.silence import (
    SEARCH_INTERVAL,
    Silence,
    SlotSearch,
    WatchedAttempt,
    silence_limit,
)
from gentiantrestle.gateway.slots.client import SlotLease
from tests.gateway.samples import make_route, make_upstream

LIMIT = 0.1  # seconds
SEARCH_TIME = 0.1  # seconds
OTHER = SlotLease(1, make_upstream('u-1'), '', 0)


class Play:
    """An attempt that is silent for a while, and a search for a slot."""

    def __init__(self, silence: float, found: SlotLease | None = OTHER) -> None:
        self._time = silence
        self._found = found
        self.silence = Silence(LIMIT)
        self.searches = 0
        self.released: list[SlotLease] = []
        self.completed = False

    async def run(self) -> SlotLease | None:
        """Run the attempt."""
        search = SlotSearch(self._find, self.released.append)
        now = asyncio.get_running_loop().time
        return await WatchedAttempt(self.silence, search, now).run(
            self._attempt()
        )

    async def _attempt(self) -> None:
        now = asyncio.get_running_loop().time
        self.silence.begin(now())
        await asyncio.sleep(self._time)
        self.silence.begin(now())
        await asyncio.sleep(LIMIT / 2)
        self.completed = True

    async def _find(self) -> SlotLease | None:
        self.searches += 1
        # A grant that has arrived isn't undone by a cancellation.
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(SEARCH_TIME)
        return self._found


async def test_silent_attempt_is_given_up_for_another_upstream() -> None:
    play = Play(silence=9)
    assert await play.run() == OTHER
    assert not play.released


async def test_attempt_goes_on_while_there_is_no_other_upstream() -> None:
    play = Play(silence=LIMIT + 2 * SEARCH_INTERVAL, found=None)
    assert await play.run() is None
    assert play.completed
    assert play.searches > 1


async def test_attempt_that_speaks_while_a_slot_is_sought_goes_on() -> None:
    play = Play(silence=LIMIT + SEARCH_TIME / 2)
    assert await play.run() is None
    assert play.completed
    assert play.released == [OTHER]


async def test_slot_that_was_sought_is_released_when_the_caller_leaves() -> (
    None
):
    play = Play(silence=9)
    task = asyncio.create_task(play.run())
    await asyncio.sleep(LIMIT + SEARCH_TIME / 2)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert play.released == [OTHER]


@pytest.mark.parametrize(
    ('runs', 'idempotent', 'limited'),
    [(0, True, True), (1, True, False), (0, False, False)],
)
def test_last_attempt_may_be_silent_until_the_deadline(
    runs: int, idempotent: bool, limited: bool
) -> None:
    progress = RequestProgress(idempotent, 2, runs)
    limit = silence_limit(make_route(), progress, 5)
    assert (limit is not None) == limited
