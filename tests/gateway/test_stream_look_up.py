"""Take-ups of streams while the store is asked where they began."""

import asyncio
import time

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.ports import Page
from gentiantrestle.gateway.streams.reading import StreamReader
from gentiantrestle.gateway.streams.resolving import OriginResolver
from gentiantrestle.gateway.streams.versions import VersionHistory
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.gateway.origins import make_sources
from tests.gateway.samples import make_request, make_route

READING = 'gentiantrestle.gateway.streams.reading'
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
    monkeypatch.setattr(f'{READING}.READ_TIMEOUT', READ_TIMEOUT)
    store = HangingStore()
    reader = StreamReader(store)
    reads = [reader.read() for _ in range(TAKE_UPS)]
    found = await asyncio.gather(*reads, return_exceptions=True)
    assert {type(exc) for exc in found} == {StoreUnavailableError}
    assert len(store.calls) <= 2


async def test_take_up_is_refused_before_its_deadline() -> None:
    now = time.monotonic
    sources = make_sources(HangingStore(), now)
    resolver = OriginResolver((), VersionHistory(now()), sources, now)
    deadline = now() + READ_TIMEOUT
    req = make_request('r1', now(), last_event=3, deadline=deadline)
    with pytest.raises(RefusedError):
        await resolver.resolve(req, make_route())
    assert now() < deadline
