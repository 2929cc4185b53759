"""Adapter to the object API; a new wire format replaces this module."""

import asyncio
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import quote, urlencode
from uuid import uuid4

import msgspec

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.http.client import Call, LostError, NotSentError, Pool

ABSENT = 0
TOKEN = 'token'
ROOT = '/v1/objects'
POOL_SIZE = 32
WATCH_WAIT = 10.0  # seconds
SETTLE_PAUSE = 0.1  # seconds
SETTLE_TRIES = 5
NOT_FOUND = 404
PRECONDITION_FAILED = 412
Document = dict[str, Any]


class StoreUnavailableError(Exception):
    """The store did not answer; nothing was changed."""


class StoreUnsureError(Exception):
    """The store did not answer; the change may yet take effect."""


class Versioned(NamedTuple):
    """A document and the version it was read or written at."""

    version: int
    document: Document


class Reply(NamedTuple):
    """What the object API answered."""

    status: int
    version: int
    body: bytes


class Conflict(NamedTuple):
    """A falsy sentinel: the condition of a write did not hold."""

    name: str
    reason: str

    def __bool__(self) -> bool:
        """Read as false."""
        return False


class Listed(TypedDict):
    """One object in a list or watch answer."""

    name: str
    version: int
    body: NotRequired[Document]
    deleted: NotRequired[bool]


class Listing(TypedDict):
    """What a list or a watch answers."""

    revision: int
    objects: list[Listed]  # noqa: WPS110 (the object API's word)


class StoreClient:
    """Reads and conditional writes, with lost answers settled."""

    def __init__(self, ctx: Context) -> None:
        """Keep separate connections for calls and for the watch."""
        self._ctx = ctx
        timeout = ctx.cfg.store_timeout
        address = ctx.cfg.store_address
        self._calls = Pool(address, POOL_SIZE, timeout)
        self._watches = Pool(address, 1, timeout)
        self.reachable = True

    async def get(self, name: str) -> Versioned | None:
        """Read one object, or nothing where none exists."""
        reply = await self._call('get', _get(name))
        if reply.status == NOT_FOUND:
            return None
        return Versioned(reply.version, msgspec.json.decode(reply.body))

    async def list_names(self, prefix: str) -> list[Listed]:
        """List names and versions below a prefix."""
        return (await self._list([('prefix', prefix)]))['objects']

    async def list_documents(self, *prefixes: str) -> Listing:
        """List whole documents below prefixes, with the revision."""
        query = [('prefix', prefix) for prefix in prefixes]
        return await self._list([*query, ('values', '1')])

    async def watch(self, after: int, *prefixes: str) -> Listing:
        """Wait for changes after a revision; empty when none came."""
        return await self._watch(after, WATCH_WAIT, prefixes)

    async def changes(self, after: int, *prefixes: str) -> Listing:
        """Read the changes after a revision without waiting for any."""
        return await self._watch(after, 0, prefixes)

    async def put(
        self,
        name: str,
        document: Document,
        expected: int,
    ) -> Versioned | Conflict:
        """Write if the version is still the expected one.

        A lost answer is settled by sending the same write again under the
        same condition and, on a conflict, by comparing the write token.
        """
        written = {**document, TOKEN: uuid4().hex}
        call = _put(name, written, expected)
        for attempt in range(SETTLE_TRIES):
            sent = await self._try_write(name, call, first=attempt == 0)
            if sent is None:
                await asyncio.sleep(SETTLE_PAUSE * 2**attempt)
                continue
            if sent.status != PRECONDITION_FAILED:
                return Versioned(sent.version, written)
            return await self._settle(name, written, lost=attempt > 0)
        raise StoreUnsureError(name)

    async def delete(self, name: str) -> None:
        """Delete an object; deleting twice is the same as once."""
        await self._call('write', Call('DELETE', _target(name)))

    def close(self) -> None:
        """Close idle connections."""
        self._calls.close()
        self._watches.close()

    async def _try_write(
        self,
        name: str,
        call: Call,
        *,
        first: bool,
    ) -> 'Reply | None':
        """Send a write; nothing comes back when its answer is lost."""
        try:
            return await self._call('write', call)
        except StoreUnavailableError:
            if first:
                raise
        except StoreUnsureError:
            events.emit(events.WRITE_UNANSWERED, name=name)
        return None

    async def _settle(
        self,
        name: str,
        written: Document,
        *,
        lost: bool,
    ) -> Versioned | Conflict:
        if not lost:
            return Conflict(name, f'{name} was changed by another writer')
        try:
            found = await self.get(name)
        except StoreUnavailableError as exc:
            raise StoreUnsureError(name) from exc
        mine = found is not None and found.document[TOKEN] == written[TOKEN]
        outcome = 'done' if mine else 'conflict'
        events.emit(events.WRITE_OUTCOME_RESOLVED, name=name, outcome=outcome)
        if mine:
            return found
        return Conflict(name, f'{name} was changed by another writer')

    async def _watch(
        self,
        after: int,
        wait: float,
        prefixes: tuple[str, ...],
    ) -> Listing:
        query = [('prefix', prefix) for prefix in prefixes]
        query += [('values', '1'), ('after', str(after)), ('wait', str(wait))]
        reply = await self._call(
            'watch' if wait else 'compare',
            Call('GET', f'/v1/watch?{urlencode(query)}'),
            pool=self._watches if wait else self._calls,
            timeout=wait + self._ctx.cfg.store_timeout,
        )
        return msgspec.json.decode(reply.body, type=Listing)

    async def _list(self, query: list[tuple[str, str]]) -> Listing:
        target = f'{ROOT}?{urlencode(query)}'
        reply = await self._call('list', Call('GET', target))
        return msgspec.json.decode(reply.body, type=Listing)

    async def _call(
        self,
        verb: str,
        call: Call,
        *,
        pool: Pool | None = None,
        timeout: float | None = None,
    ) -> 'Reply':
        self._ctx.metrics.store_calls.inc({'verb': verb})
        zoned = call._replace(
            headers=(*call.headers, ('X-Zone', self._ctx.cfg.zone)),
        )
        try:
            async with asyncio.timeout(timeout or self._ctx.cfg.store_timeout):
                answer, body = await (pool or self._calls).fetch(zoned)
        except NotSentError as exc:
            self._note(reachable=False, error=str(exc))
            raise StoreUnavailableError(str(exc)) from exc
        except (LostError, TimeoutError) as exc:
            self._note(reachable=False, error=repr(exc))
            if verb == 'write':
                raise StoreUnsureError(repr(exc)) from exc
            raise StoreUnavailableError(repr(exc)) from exc
        self._note(reachable=True)
        version = int(answer.header('X-Version') or 0)
        return Reply(answer.status, version, body)

    def _note(self, *, reachable: bool, error: str = '') -> None:
        if reachable and not self.reachable:
            events.emit(events.STORE_RECOVERED)
        if self.reachable and not reachable:
            events.emit(events.STORE_UNREACHABLE, error=error)
        self.reachable = reachable


def _target(name: str) -> str:
    return f'{ROOT}/{quote(name)}'


def _get(name: str) -> Call:
    return Call('GET', _target(name))


def _put(name: str, document: Document, expected: int) -> Call:
    condition = ('If-Match', str(expected))
    if expected == ABSENT:
        condition = ('If-None-Match', '*')
    body = msgspec.json.encode(document)
    return Call('PUT', _target(name), (condition,), body)
