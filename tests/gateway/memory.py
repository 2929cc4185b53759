"""An object store in memory that can fail like the platform's."""

import asyncio
from typing import Any

import msgspec

from gentiantrestle.gateway.ports import HistoryGoneError, Page, StoredObject
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

CALL_TIMEOUT = 1.5  # seconds until a silent call is given up


class MemoryStore:
    """Objects by kind and name under one revision counter."""

    def __init__(self, max_content_size: int = 1000000) -> None:
        """Start empty and without faults.

        ``max_content_size`` is in bytes of compact JSON. ``real_size_limit``
        is what it refuses, and may be less.
        """
        self.max_content_size = max_content_size
        self.real_size_limit = max_content_size
        self.revision = 1
        self.kinds: dict[str, dict[str, StoredObject]] = {}
        self.down = False
        self.lose_responses = 0
        self.calls: list[str] = []
        self.compacted = 0
        self._changes: list[tuple[str, StoredObject]] = []

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List everything in one page."""
        self._start_call('list')
        found = tuple(self.kinds.get(kind, {}).values())
        return Page(found, self.revision)

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Return the changes since a revision, or wait the whole time."""
        self._start_call('watch')
        if revision < self.compacted:
            raise HistoryGoneError(kind)
        found = self._since(kind, revision)
        if not found:
            await asyncio.sleep(wait)
            found = self._since(kind, revision)
        return Page(found, self.revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        self._start_call('get')
        return self.kinds.get(kind, {}).get(name)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; return False if it exists."""
        self._start_call('create')
        self._check_size(content)
        if name in self.kinds.setdefault(kind, {}):
            return False
        self.write(kind, StoredObject(name, 0, content))
        self._finish_call()
        return True

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status; return False if the revision has changed."""
        self._start_call('status')
        known = self.kinds.get(kind, {}).get(stored.name)
        if known is None or known.revision != stored.revision:
            return False
        self.write(kind, known._replace(status=status))
        self._finish_call()
        return True

    async def replace(
        self, kind: str, stored: StoredObject, content: Any
    ) -> StoredObject | None:
        """Replace a content; return None if the revision has changed."""
        self._start_call('replace')
        self._check_size(content)
        known = self.kinds.get(kind, {}).get(stored.name)
        if known is None or known.revision != stored.revision:
            return None
        self.write(kind, known._replace(content=content))
        self._finish_call()
        return self.kinds[kind][stored.name]

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._start_call('delete')
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            gone = gone._replace(revision=self.revision, deleted=True)
            self._changes.append((kind, gone))

    def write(self, kind: str, stored: StoredObject) -> None:
        """Put an object, with the next revision."""
        self.revision += 1
        stored = stored._replace(revision=self.revision)
        self.kinds.setdefault(kind, {})[stored.name] = stored
        self._changes.append((kind, stored))

    def compact(self) -> None:
        """Drop the history of changes."""
        self.compacted = self.revision + 1
        self._changes.clear()

    def _since(self, kind: str, revision: int) -> tuple[StoredObject, ...]:
        return tuple(
            stored
            for changed, stored in self._changes
            if changed == kind and stored.revision > revision
        )

    def _start_call(self, verb: str) -> None:
        self.calls.append(verb)
        if self.down:
            raise StoreUnavailableError('down')

    def _check_size(self, content: Any) -> None:
        size = len(msgspec.json.encode(content))
        if size > self.real_size_limit:
            raise ObjectTooLargeError(f'{size} bytes')

    def _finish_call(self) -> None:
        if self.lose_responses:
            self.lose_responses -= 1
            raise StoreOutcomeUnknownError('lost')


class StorePath:
    """Passes calls on to a store, but while the path is silent."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.max_content_size = store.max_content_size
        self.silent = False
        self.calls = 0

    def is_answering(self) -> bool:
        """Return whether calls are answered, as a watch would show."""
        return not self.silent

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List one page."""
        await self._pass(StoreUnavailableError)
        return await self._store.list_page(kind, after, stale=stale)

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait for changes."""
        await self._pass(StoreUnavailableError)
        return await self._store.watch(kind, revision, wait)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await self._pass(StoreUnavailableError)
        return await self._store.get(kind, name)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object."""
        await self._pass(StoreOutcomeUnknownError)
        return await self._store.create(kind, name, content)

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status."""
        await self._pass(StoreOutcomeUnknownError)
        return await self._store.put_status(kind, stored, status)

    async def _pass(self, error: type[Exception]) -> None:
        self.calls += 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT)
            raise error('silent')
