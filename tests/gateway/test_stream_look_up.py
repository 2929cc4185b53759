"""Take-ups of streams while the store is asked where they began."""

import asyncio
import time

import pytest

from gentiantrestle.gateway.ports import Page
from gentiantrestle.gateway.streams.resolving import StreamReader
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore

RESOLVING = 'gentiantrestle.gateway.streams.resolving'
PATIENCE = 2.0  # seconds
READ_TIMEOUT = 0.1  # seconds
TAKE_UPS = 10


class HangingStore(MemoryStore):
    """A store that answers no call."""

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """Note the call and wait."""
        self.calls.append('list')
        await asyncio.sleep(PATIENCE)
        raise StoreUnavailableError(kind)


async def test_take_ups_share_a_call_that_the_store_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(f'{RESOLVING}.READ_TIMEOUT', READ_TIMEOUT)
    store = HangingStore()
    reader = StreamReader(store, time.monotonic)
    reads = [reader.read() for _ in range(TAKE_UPS)]
    found = await asyncio.gather(*reads, return_exceptions=True)
    assert {type(exc) for exc in found} == {StoreUnavailableError}
    assert len(store.calls) <= 2
