"""Whether this instance reaches the store, as its calls show.

Where only some instances have lost the store, the others finish their jobs.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any, NamedTuple, Self, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.ports import (
    HistoryGoneError,
    ObjectStore,
    Page,
    StoredObject,
)
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from gentiantrestle.supervisor import Child

# Listed beside the services that an instance doesn't reach.
STORE = '(store)'
# Calls have failed for so long, and none has succeeded meanwhile.
LOST_AFTER = 2.0  # seconds
PROBE_INTERVAL = 1.0  # seconds between reads while calls fail
PROBED_NAME = 'reach-probe'  # no such object exists
Found = TypeVar('Found')


class StoreReach:
    """Judges by its calls whether this instance reaches the store."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Start with the store reached; ``now`` is monotonic, in s."""
        self._now = now
        self._failing_since: float | None = None
        self._failed_at = float(0)
        # Returns whether this instance watches the store and reaches it.
        self.is_watching: Callable[[], bool] = bool

    @property
    def is_in_doubt(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since is not None

    @property
    def is_lost(self) -> bool:
        """Return whether calls have failed for ``LOST_AFTER`` s."""
        since = self._failing_since
        return since is not None and self._failed_at - since >= LOST_AFTER

    def answers_some(self, peers: Iterable[Peer]) -> bool:
        """Return whether the store answers this or another instance now.

        Only watchers can tell; they say so in their rows.
        """
        return self.is_watching() or any(peer.store_reached for peer in peers)

    def note(self, *, reached: bool) -> None:
        """Note how a call of the store ended."""
        now = self._now()
        if reached:
            self._failing_since = None
            return
        self._failed_at = now
        if self._failing_since is None:
            self._failing_since = now


class NotingStore:
    """An object store whose calls tell whether it is reached.

    Errors are passed on as they are.
    """

    def __init__(self, store: ObjectStore, reach: StoreReach) -> None:
        """Pass calls on to ``store``; note in ``reach`` how they end."""
        self._store = store
        self._reach = reach
        self.max_content_size = store.max_content_size

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List one page of a kind after a name."""
        return await self._note(self._store.list_page(kind, after, stale=stale))

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait up to ``wait`` s for changes of a kind after a revision."""
        return await self._note(self._store.watch(kind, revision, wait))

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        return await self._note(self._store.get(kind, name))

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; False where one exists."""
        return await self._note(self._store.create(kind, name, content))

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False where the object has changed."""
        return await self._note(self._store.put_status(kind, stored, status))

    async def replace(
        self, kind: str, stored: StoredObject, content: Any
    ) -> StoredObject | None:
        """Replace a content; None where the object has changed or is gone."""
        return await self._note(self._store.replace(kind, stored, content))

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._note(self._store.delete(kind, name))

    async def _note(self, call: Awaitable[Found]) -> Found:
        try:
            found = await call
        except (StoreRejectedError, HistoryGoneError):
            self._reach.note(reached=True)
            raise
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self._reach.note(reached=False)
            raise
        self._reach.note(reached=True)
        return found


class StoreProber:
    """Reads from the store while it is in doubt whether it is reached.

    Without calls in between, an instance that runs no jobs would not notice
    that the store is back.
    """

    def __init__(
        self,
        store: ObjectStore,
        reach: StoreReach,
        alive_peers: Callable[[], Iterable[Peer]],
    ) -> None:
        """Read from ``store``, whose calls are noted in ``reach``."""
        self._store = store
        self._reach = reach
        self._alive_peers = alive_peers

    def children(self) -> Iterator[Child]:
        """Yield the task that the supervisor runs."""
        yield Child('store reach', self.run)

    async def run(self) -> None:
        """Probe until cancelled; a store that answers nobody is left alone."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            if self._reach.is_in_doubt and self._reach.answers_some(
                self._alive_peers()
            ):
                await self._probe()

    async def _probe(self) -> None:
        try:
            await self._store.get(JOB_KIND, PROBED_NAME)
        except StoreUnavailableError as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=PROBED_NAME, error=repr(exc)
            )


class StoreContact(NamedTuple):
    """A store, and what its calls show."""

    store: NotingStore
    reach: StoreReach
    prober: StoreProber

    @classmethod
    def from_store(
        cls,
        store: ObjectStore,
        now: Callable[[], float],
        alive_peers: Callable[[], Iterable[Peer]],
    ) -> Self:
        """Note the calls of ``store``; ``now`` is monotonic, in s."""
        reach = StoreReach(now)
        noting = NotingStore(store, reach)
        return cls(noting, reach, StoreProber(noting, reach, alive_peers))
