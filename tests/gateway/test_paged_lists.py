"""Lists of several pages whose calls fail now and then."""

import asyncio
import random
from collections.abc import Iterable

from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.ports import Page, StoredObject
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.utils.virtual_time import run_virtual, virtual_now

KIND = 'kind'
NAMES = ('a', 'b', 'c', 'd', 'e')
OUTAGE = 60.0  # seconds


class _PagedStore(MemoryStore):
    """Lists one object a page; each third call for a page fails."""

    def __init__(self) -> None:
        super().__init__()
        for name in NAMES:
            self.write(KIND, StoredObject(name, 0, 1))
        self.asked: list[str] = []
        self.delete_at_first_failure = ''
        self.outage = float(0)

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """Return the object that follows a name."""
        self.asked.append(after)
        if len(self.asked) % 3 == 0:
            await self._fail()
        kept = sorted(self.kinds[kind].items())
        found = [stored for name, stored in kept if name > after]
        return Page(tuple(found[:1]), self.revision, len(found) > 1)

    async def _fail(self) -> None:
        if self.delete_at_first_failure:
            await self.delete(KIND, self.delete_at_first_failure)
            self.delete_at_first_failure = ''
        pause, self.outage = self.outage, 0
        await asyncio.sleep(pause)
        raise StoreUnavailableError('third call')


class _Copy:
    """The names that a follower has, and how often it was given a list."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.lists: list[set[str]] = []
        self.confirmed: list[float] = []

    def handlers(self) -> StoreHandlers:
        return StoreHandlers(
            self._replace,
            self._change,
            lambda: None,
            lambda: 0,
            self.confirmed.append,
        )

    def _replace(self, found: Iterable[StoredObject], revision: int) -> None:
        self.names = {stored.name for stored in found}
        self.lists.append(set(self.names))

    def _change(self, found: Iterable[StoredObject], revision: int) -> None:
        for stored in found:
            self.names.discard(stored.name)
            if not stored.deleted:
                self.names.add(stored.name)


def _follow(store: _PagedStore, seconds: float = 20) -> _Copy:
    async def run() -> _Copy:
        copy = _Copy()
        follower = Follower(
            store,
            WatchSpec(KIND, 0),
            copy.handlers(),
            random.Random(1),
            WatchGate.always_open(),
        )
        follower.now = virtual_now
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return copy

    return run_virtual(run())


def test_list_whose_pages_fail_now_and_then_is_read_to_its_end() -> None:
    store = _PagedStore()
    copy = _follow(store)
    assert copy.lists == [set(NAMES)]
    assert store.asked == ['', 'a', 'b', 'b', 'c', 'd', 'd']


def test_object_deleted_between_two_pages_is_told_afterwards() -> None:
    store = _PagedStore()
    store.delete_at_first_failure = 'a'
    copy = _follow(store)
    assert copy.lists == [set(NAMES)]
    assert copy.names == set(NAMES) - {'a'}


def test_list_confirms_the_time_of_its_first_page_only() -> None:
    store = _PagedStore()
    copy = _follow(store, 0.9)
    assert copy.lists
    assert copy.confirmed == [0]


def test_pages_from_before_an_outage_are_read_again() -> None:
    store = _PagedStore()
    store.outage = OUTAGE
    _follow(store, OUTAGE + 20)
    assert store.asked[:4] == ['', 'a', 'b', '']
