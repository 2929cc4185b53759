"""Reads from the store what tells where streams can have begun.

Calls at one time share a read, and each gets what the store had after it was
made.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.ports import Adapter, ObjectStore, StoredObject
from gentiantrestle.gateway.streams.records import (
    STREAM_KIND,
    StoredStreams,
    read_stored,
)
from gentiantrestle.gateway.streams.rounds import Rounds
from gentiantrestle.gateway.streams.versions import (
    ServiceVersion,
    Versions,
    group_versions,
)
from gentiantrestle.store.client import StoreUnavailableError

READ_TIMEOUT = 0.6  # seconds
Found = TypeVar('Found')


class SharedRead(Generic[Found]):
    """A read that calls at one time share."""

    def __init__(self, kind: str, read: Callable[[], Awaitable[Found]]) -> None:
        """Call ``read``, which reads objects of ``kind``, when needed."""
        self._kind = kind
        self._read = read
        self._rounds = Rounds(self._try_read)

    async def read(self) -> Found:
        """Return what a read brings that began after this call.

        Raises ``StoreUnavailableError``.
        """
        found = await self._rounds.get()
        if found is None:
            raise StoreUnavailableError(self._kind)
        return found

    async def _try_read(self, wanted: frozenset[str]) -> Found | None:
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                return await self._read()
        except (StoreUnavailableError, TimeoutError) as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=self._kind, error=repr(exc)
            )
        return None


class StreamReader(SharedRead[StoredStreams]):
    """Reads what the store has about streams."""

    def __init__(self, store: ObjectStore) -> None:
        """Read from ``store``; nothing has been read yet."""
        super().__init__(STREAM_KIND, self._read_streams)
        self._store = store

    async def _read_streams(self) -> StoredStreams:
        return read_stored(await _list_all(self._store, STREAM_KIND))


class VersionReader(SharedRead[Versions]):
    """Reads the versions of the upstreams that are listed now.

    The list isn't put in force: entries that lapsed while the store was out are
    missing, and their upstreams are still in use.
    """

    def __init__(self, adapter: Adapter) -> None:
        """Read from the store of ``adapter``; nothing has been read yet."""
        super().__init__(adapter.kinds.upstreams, self._read_versions)
        self._adapter = adapter

    async def _read_versions(self) -> Versions:
        found = await _list_all(
            self._adapter.store, self._adapter.kinds.upstreams
        )
        decoded = map(self._adapter.decoder.read_upstream, found)
        return group_versions(
            ServiceVersion(upstream.service, upstream.version)
            for upstream in decoded
            if upstream is not None
        )


async def _list_all(store: ObjectStore, kind: str) -> list[StoredObject]:
    page = await store.list_page(kind, '')
    found = list(page.entries)
    while page.more and page.entries:
        page = await store.list_page(kind, found[-1].name)
        found.extend(page.entries)
    return found
