"""Writes whose answers are lost are settled while the caller waits."""

import asyncio
from typing import Any

import pytest

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.retrying_store import SETTLE_TIME, RetryingStore
from gentiantrestle.store.client import (
    StoreUnavailableError,
    StoreUnsureError,
)
from tests.gateway.memory import MemoryStore
from tests.utils.virtual import play, virtual_now

KIND = 'kind'
LATE = 2.0  # seconds until a write that was not answered takes effect


class LossyStore(MemoryStore):
    """Answers some creates never; they take effect now, later or not."""

    def __init__(self, silent: int, effect: str) -> None:
        """Leave the first ``silent`` creates without an answer."""
        super().__init__()
        self._silent = silent
        self._effect = effect

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object, or fall silent."""
        if not self._silent:
            return await super().create(kind, name, content)
        self._silent -= 1
        self.calls.append('silent')
        if self._effect == 'now':
            self.write(kind, StoredObject(name, 0, content))
        if self._effect == 'late':
            asyncio.get_running_loop().call_later(
                LATE, self._write_late, kind, StoredObject(name, 0, content)
            )
        await asyncio.Event().wait()
        return False

    def _write_late(self, kind: str, stored: StoredObject) -> None:
        if stored.name not in self.kinds.get(kind, {}):
            self.write(kind, stored)


class DyingStore(LossyStore):
    """Goes down after the first create."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object, then be down."""
        try:
            return await super().create(kind, name, content)
        finally:
            self.down = True


def _create(store: MemoryStore) -> tuple[bool, float]:
    """Create an object; return the outcome and the time it took."""

    async def run() -> tuple[bool, float]:
        new = await RetryingStore(store, virtual_now).create(KIND, 'one', 1)
        return new, virtual_now()

    return play(run())


@pytest.mark.parametrize(
    ('effect', 'new'), [('now', False), ('late', True), ('never', True)]
)
def test_a_create_without_answer_is_settled(effect: str, new: bool) -> None:
    store = LossyStore(1, effect)
    found, took = _create(store)
    assert found == new
    assert took < 1
    assert store.kinds[KIND]['one'].content == 1


def test_a_create_that_is_never_answered_stays_unsure() -> None:
    store = LossyStore(99, 'now')
    with pytest.raises(StoreUnsureError):
        _create(store)
    assert store.calls.count('silent') > 1


def test_what_may_have_taken_effect_is_never_called_not_done() -> None:
    with pytest.raises(StoreUnsureError):
        _create(DyingStore(1, 'late'))


def test_a_store_that_refuses_is_told_of_at_once() -> None:
    store = MemoryStore()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        _create(store)
    assert store.calls == ['create']


def test_a_status_without_answer_is_left_to_who_reads_it_back() -> None:
    store = MemoryStore()
    store.write(KIND, StoredObject('one', 0, 1))
    store.lose_answers = 1

    async def run() -> bool:
        found = store.kinds[KIND]['one']
        return await RetryingStore(store, virtual_now).put_status(
            KIND, found, 'done'
        )

    assert not play(run())
    assert store.kinds[KIND]['one'].status == 'done'


def test_the_caller_is_answered_within_the_time_to_settle() -> None:
    store = LossyStore(99, 'now')

    async def run() -> float:
        with pytest.raises(StoreUnsureError):
            await RetryingStore(store, virtual_now).create(KIND, 'one', 1)
        return virtual_now()

    assert play(run()) <= SETTLE_TIME
