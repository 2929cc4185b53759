"""Writes whose responses are lost are repeated while the caller waits."""

import asyncio
from typing import Any

import pytest

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.retrying_store import RETRY_BUDGET, RetryingStore
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import MemoryStore
from tests.utils.virtual_time import run_virtual, virtual_now

KIND = 'kind'
EFFECT_DELAY = 2.0  # seconds until an unanswered write takes effect


class LossyStore(MemoryStore):
    """Never answers the first creates.

    They take effect 'now', 'late' or 'never', as ``effect`` says.
    """

    def __init__(self, silent: int, effect: str) -> None:
        """Don't answer the first ``silent`` creates."""
        super().__init__()
        self._silent = silent
        self._effect = effect

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object, or never answer."""
        if not self._silent:
            return await super().create(kind, name, content)
        self._silent -= 1
        self.calls.append('silent')
        if self._effect == 'now':
            self.write(kind, StoredObject(name, 0, content))
        if self._effect == 'late':
            asyncio.get_running_loop().call_later(
                EFFECT_DELAY,
                self._write_late,
                kind,
                StoredObject(name, 0, content),
            )
        await asyncio.Event().wait()
        return False

    def _write_late(self, kind: str, stored: StoredObject) -> None:
        if stored.name not in self.kinds.get(kind, {}):
            self.write(kind, stored)


class FailingStore(LossyStore):
    """Is down after the first create."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object, then go down."""
        try:
            return await super().create(kind, name, content)
        finally:
            self.down = True


def _create(store: MemoryStore) -> tuple[bool, float]:
    """Create an object; return whether it is new, and the time it took."""

    async def run() -> tuple[bool, float]:
        new = await RetryingStore(store, virtual_now).create(KIND, 'one', 1)
        return new, virtual_now()

    return run_virtual(run())


@pytest.mark.parametrize(
    ('effect', 'new'), [('now', False), ('late', True), ('never', True)]
)
def test_unanswered_create_is_repeated(effect: str, new: bool) -> None:
    store = LossyStore(1, effect)
    found, took = _create(store)
    assert found == new
    assert took < 1
    assert store.kinds[KIND]['one'].content == 1


def test_create_that_is_never_answered_raises_outcome_unknown() -> None:
    store = LossyStore(99, 'now')
    with pytest.raises(StoreOutcomeUnknownError):
        _create(store)
    assert store.calls.count('silent') > 1


def test_store_down_after_unanswered_create_raises_outcome_unknown() -> None:
    with pytest.raises(StoreOutcomeUnknownError):
        _create(FailingStore(1, 'late'))


def test_create_on_store_down_raises_unavailable_at_once() -> None:
    store = MemoryStore()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        _create(store)
    assert store.calls == ['create']


def test_unanswered_put_status_returns_false_after_taking_effect() -> None:
    store = MemoryStore()
    store.write(KIND, StoredObject('one', 0, 1))
    store.lose_responses = 1

    async def run() -> bool:
        found = store.kinds[KIND]['one']
        return await RetryingStore(store, virtual_now).put_status(
            KIND, found, 'done'
        )

    assert not run_virtual(run())
    assert store.kinds[KIND]['one'].status == 'done'


def test_create_ends_within_retry_budget() -> None:
    store = LossyStore(99, 'now')

    async def run() -> float:
        with pytest.raises(StoreOutcomeUnknownError):
            await RetryingStore(store, virtual_now).create(KIND, 'one', 1)
        return virtual_now()

    assert run_virtual(run()) <= RETRY_BUDGET
