"""Follows one kind of the store's objects by list and watch."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.ports import (
    HistoryGoneError,
    ObjectStore,
    StoredObject,
)
from gentiantrestle.store.client import StoreUnavailableError

# A waiting watch is one call, however long it waits; one that has gone silent
# must be found out within the 4 s in which nothing is asked of an instance.
WATCH_WAIT = 2.5  # seconds
FIRST_WAIT = 0.05  # seconds: the first watch is to show that the store answers
FIRST_BACKOFF = 0.1  # seconds
MAX_BACKOFF = 1.0  # seconds
# Lists after a dropped history are spread over this time.
RELIST_SPREAD = 0.3  # seconds
LIST_ANEW = 0  # no revision of the store


class WatchGate(asyncio.Event):
    """Open while the store is to be asked."""

    @classmethod
    def always_open(cls) -> 'WatchGate':
        """Return one that is never closed."""
        gate = cls()
        gate.set()
        return gate


class StoreHandlers(NamedTuple):
    """What a follower does with what it reads."""

    replace: Callable[[Iterable[StoredObject], int], None]
    change: Callable[[Iterable[StoredObject], int], None]
    lost: Callable[[], None]
    # Up to which revision all changes are known, from whomever; 0 for none.
    known: Callable[[], int]


class WatchSpec(NamedTuple):
    """What is followed; after changes a rest makes a series one call."""

    kind: str
    rest: float  # seconds
    wait: float = WATCH_WAIT  # seconds
    # Read once at the start, whoever watches: callers wait for it.
    read_at_start: bool = False


class Backoff:
    """Growing pauses with jitter between failed calls, in s."""

    def __init__(self, rng: random.Random) -> None:
        """Start with the shortest pause."""
        self._rng = rng
        self._pause = FIRST_BACKOFF

    def reset(self) -> None:
        """Start over after a success."""
        self._pause = FIRST_BACKOFF

    def next_pause(self) -> float:
        """Return the next pause in s."""
        pause = self._pause
        self._pause = min(MAX_BACKOFF, pause * 2)
        return pause * (0.5 + self._rng.random())


class Follower:
    """Keeps a copy of one kind up to date."""

    def __init__(
        self,
        store: ObjectStore,
        subject: WatchSpec,
        sink: StoreHandlers,
        rng: random.Random,
        gate: WatchGate,
    ) -> None:
        """Ask nothing of the store while ``gate`` is closed."""
        self._store = store
        self._kind = subject.kind
        self._subject = subject
        self._sink = sink
        self._rng = rng
        self._gate = gate
        self._backoff = Backoff(rng)
        self._revision: int | None = None
        self.connected = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._gate.is_set() and not self._starts_with_it:
                self._forget()
                await self._gate.wait()
            try:
                await self._step()
            except StoreUnavailableError as exc:
                self._note_lost(exc)
                await asyncio.sleep(self._backoff.next_pause())
            except HistoryGoneError:
                events.emit(events.HISTORY_GONE, kind=self._kind)
                self._revision = LIST_ANEW
                await asyncio.sleep(self._rng.random() * RELIST_SPREAD)

    async def _step(self) -> None:
        if self._revision is None:
            self._revision = self._sink.known()
        if self._revision == LIST_ANEW:
            await self._list()
            return
        wait = self._subject.wait if self.connected else FIRST_WAIT
        page = await self._store.watch(self._kind, self._revision, wait)
        self._note_back()
        self._revision = page.revision
        if page.entries:
            self._sink.change(page.entries, page.revision)
            await asyncio.sleep(self._subject.rest)

    async def _list(self) -> None:
        found: list[StoredObject] = []
        page = await self._store.list_page(self._kind, '')
        found.extend(page.entries)
        # The first page's revision: later changes are seen again, none lost.
        revision = page.revision
        while page.more and page.entries:
            page = await self._store.list_page(self._kind, found[-1].name)
            found.extend(page.entries)
        self._note_back()
        self._sink.replace(found, revision)
        self._revision = revision

    @property
    def _starts_with_it(self) -> bool:
        """Tell whether this kind has to be read before anything is served."""
        return self._subject.read_at_start and self._sink.known() == LIST_ANEW

    def _forget(self) -> None:
        """Go on at what is known by then when there is duty again."""
        self._revision = None
        self.connected = False

    def _note_lost(self, exc: Exception) -> None:
        if self.connected:
            events.emit(events.FOLLOW_LOST, kind=self._kind, error=repr(exc))
        self.connected = False
        self._sink.lost()

    def _note_back(self) -> None:
        self._backoff.reset()
        if not self.connected:
            events.emit(
                events.FOLLOW_BACK,
                kind=self._kind,
                revision=self._revision or 0,
            )
        self.connected = True
