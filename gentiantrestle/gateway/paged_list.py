"""Reads all objects of a kind page by page."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.gateway.ports import ObjectStore, Page, StoredObject

# Of an interrupted list; later, most of it may have changed.
PAGES_KEPT = 10.0  # seconds from one page to the next


class Listing(NamedTuple):
    """All objects of a kind.

    Changes after ``revision``, that of the first page, are still to be read.
    ``asked_at`` is the time of the call for that page.
    """

    found: tuple[StoredObject, ...]
    revision: int
    asked_at: float


class PagedList:
    """Goes on after a failed call with the page that it was for.

    A long list over a slow link would else begin anew each time.
    """

    def __init__(self, store: ObjectStore, kind: str) -> None:
        """Read the objects of ``kind``."""
        self._store = store
        self._kind = kind
        self._found: list[StoredObject] = []
        self._first: tuple[int, float] | None = None
        self._read_at = float(0)

    async def read(self, now: Callable[[], float]) -> Listing:
        """Read the pages that are missing, and return the whole list.

        Raises ``StoreUnavailableError``.
        """
        if now() - self._read_at > PAGES_KEPT:
            self.forget()
        while await self._read_page(now):
            self._read_at = now()
        revision, asked_at = self._first
        listing = Listing(tuple(self._found), revision, asked_at)
        self.forget()
        return listing

    def forget(self) -> None:
        """Begin the next list with its first page."""
        self._found = []
        self._first = None

    async def _read_page(self, now: Callable[[], float]) -> bool:
        """Read the next page; return whether there are more."""
        asked_at = now()
        after = self._found[-1].name if self._found else ''
        page: Page = await self._store.list_page(self._kind, after)
        self._found.extend(page.entries)
        # With the first page's revision, changes made while the other pages
        # are read are seen again by the watch, and none is missed.
        self._first = self._first or (page.revision, asked_at)
        return page.more and bool(page.entries)
