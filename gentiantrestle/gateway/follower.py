"""Keeps up with one kind of objects in the store by list and watch."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.paged_list import PagedList
from gentiantrestle.gateway.ports import (
    HistoryGoneError,
    ObjectStore,
    StoredObject,
)
from gentiantrestle.gateway.state.clocks import boottime
from gentiantrestle.gateway.state.silent_range import SilentRange
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.store.watch_proof import WatchProof, proven_time

# A watch is one call however long it waits. A connection that has fallen silent
# is noticed after this and the client's slack. Nothing is required of an
# instance for 4 s then, and other instances still have to copy.
WATCH_WAIT = 1.8  # seconds
FIRST_WAIT = 0.05  # seconds; the first watch only shows that the store answers
FIRST_BACKOFF = 0.1  # seconds
MAX_BACKOFF = 1.0  # seconds
# New lists after a dropped history are spread over this time.
RELIST_SPREAD = 0.3  # seconds
NO_REVISION = 0  # not a revision of the store: everything has to be listed
# Time between checks whether another instance has told what is being read.
FIRST_READ_CHECK = 0.05  # seconds


class WatchGate(asyncio.Event):
    """Set while the store is to be watched."""

    @classmethod
    def always_open(cls) -> 'WatchGate':
        """Return a gate that is set from the start."""
        gate = cls()
        gate.set()
        return gate

    def switch(self, *, is_open: bool) -> None:
        """Set or clear the gate."""
        if is_open:
            self.set()
        else:
            self.clear()


def _ignore(confirmed_at: float) -> None:
    """Do nothing; the default of kinds that needn't be confirmed."""


class StoreHandlers(NamedTuple):
    """Callbacks of a follower."""

    # Called with all objects of the kind, and the revision of the list.
    replace: Callable[[Iterable[StoredObject], int], None]
    # Called with changed objects, and the revision that they lead to.
    change: Callable[[Iterable[StoredObject], int], None]
    # Called when the store did not answer.
    disconnected: Callable[[], None]
    # Returns the revision up to which all changes are known, from the store
    # or from other instances; NO_REVISION if none is.
    known_revision: Callable[[], int]
    # Called once an answer was applied, with a time of ``boottime`` up to
    # which it tells all changes.
    confirm: Callable[[float], None] = _ignore
    # Returns how long a watch may wait so that it is confirmed often enough,
    # in s; 0 if that isn't needed.
    confirm_wait: Callable[[], float] = float


class WatchSpec(NamedTuple):
    """Which kind is followed, and how."""

    kind: str
    # Pause after changes, so that a series of them is read with one call.
    pause: float  # seconds
    max_wait: float = WATCH_WAIT  # seconds that one watch waits
    # Read once at the start even if another instance watches: callers wait
    # for it.
    read_at_start: bool = False


class Backoff:
    """Exponential pauses with jitter between failed calls, in s."""

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
    """Lists and watches one kind; passes what it reads to the handlers."""

    def __init__(
        self,
        store: ObjectStore,
        spec: WatchSpec,
        handlers: StoreHandlers,
        rng: random.Random,
        gate: WatchGate,
    ) -> None:
        """Follow ``spec.kind`` while ``gate`` is set."""
        self._store = store
        self._kind = spec.kind
        self._list = PagedList(store, spec.kind)
        self._spec = spec
        self._handlers = handlers
        self._rng = rng
        self._gate = gate
        self._backoff = Backoff(rng)
        self._failure_backoff = Backoff(rng)
        self._revision: int | None = None
        self._has_listed = False
        self._proof = WatchProof()
        self._silent = SilentRange()
        self.connected = False
        self.now = boottime

    @property
    def is_open(self) -> bool:
        """Return whether the store is to be watched."""
        return self._gate.is_set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._gate.is_set() and not self._needs_first_read:
                self._reset()
                await self._gate.wait()
            if self._gate.is_set():
                pause = await self._try_step()
            else:
                pause = await self._read_first()
            if pause:
                await asyncio.sleep(pause)

    async def _try_step(self) -> float:
        """Take one step; return the pause in s after a failure, or 0."""
        try:
            await self._step()
        except StoreUnavailableError as exc:
            self._note_disconnected(exc)
            return self._backoff.next_pause()
        except HistoryGoneError:
            events.emit(events.HISTORY_GONE, kind=self._kind)
            self._revision = NO_REVISION
            return self._rng.random() * RELIST_SPREAD
        except Exception as exc:  # noqa: BLE001 (logged, and listed again)
            events.emit(
                events.FOLLOWER_FAILED, kind=self._kind, error=repr(exc)
            )
            self._revision = NO_REVISION
            return self._failure_backoff.next_pause()
        return 0

    async def _read_first(self) -> float:
        """Read once; give up when another instance has told the same.

        A large list on a narrow link would hold up all else there.
        """
        reading = asyncio.create_task(self._try_step())
        try:
            while not reading.done():
                await asyncio.wait({reading}, timeout=FIRST_READ_CHECK)
                if not self._needs_first_read and not self._gate.is_set():
                    return 0
            return reading.result()
        finally:
            reading.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            self._revision = self._handlers.known_revision()
            self._silent.begin(self._revision)
        if self._revision == NO_REVISION:
            await self._read_list()
            return
        await self._watch(self._revision)

    async def _watch(self, revision: int) -> None:
        max_wait = self._max_wait()
        asked_at = self.now()
        page = await self._store.watch(self._kind, revision, max_wait)
        heard_for = min(self.now() - asked_at, max_wait)
        self._note_connected()
        if page.entries:
            self._note_told(page.entries, page.revision)
            self._handlers.change(page.entries, page.revision)
            self._handlers.confirm(asked_at)
            self._failure_backoff.reset()
            await asyncio.sleep(self._spec.pause)
            return
        self._silent.extend(page.revision)
        self._revision = self._proof.next_revision(
            revision, page.revision, heard_for
        )
        if self._handlers.confirm_wait():
            self._handlers.confirm(proven_time(asked_at, heard_for))

    def _max_wait(self) -> float:
        if not self.connected:
            return FIRST_WAIT
        max_wait = self._spec.max_wait
        return min(max_wait, self._handlers.confirm_wait() or max_wait)

    async def _read_list(self) -> None:
        found, revision, asked_at = await self._list.read(self.now)
        self._has_listed = True
        self._note_connected()
        self._note_told(found, revision)
        self._handlers.replace(found, revision)
        self._handlers.confirm(asked_at)
        self._failure_backoff.reset()

    def _note_told(self, found: Iterable[StoredObject], revision: int) -> None:
        """Note an answer that tells all up to ``revision``."""
        for stored in self._silent.unheard(found):
            events.emit(
                events.CHANGE_UNHEARD,
                kind=self._kind,
                name=stored.name,
                revision=stored.revision,
                watched=self._silent.watched,
                answered=self._silent.answered,
            )
        self._silent.begin(revision)
        self._proof.reset()
        self._revision = revision

    @property
    def _needs_first_read(self) -> bool:
        """Whether this kind must still be read before anything is served.

        Where the store had nothing, those that watch it tell the others: the
        same large object sent to each instance would fill links for seconds.
        """
        return (
            self._spec.read_at_start
            and not self._has_listed
            and self._handlers.known_revision() == NO_REVISION
        )

    def _reset(self) -> None:
        """Have the next step start from the revision known by then."""
        self._revision = None
        self._list.forget()
        self._proof.reset()
        self.connected = False

    def _note_disconnected(self, exc: Exception) -> None:
        if self.connected:
            events.emit(events.WATCH_LOST, kind=self._kind, error=repr(exc))
        self.connected = False
        self._handlers.disconnected()

    def _note_connected(self) -> None:
        self._backoff.reset()
        if not self.connected:
            events.emit(
                events.WATCH_CONNECTED,
                kind=self._kind,
                revision=self._revision or 0,
            )
        self.connected = True
