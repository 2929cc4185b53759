"""Client of the object API; its wire format is used only here."""

import asyncio
import re
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from urllib.parse import urlencode
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.http.client import (
    ClientRequest,
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.http.progress import transfer_timeout
from gentiantrestle.store.listing import (
    DECODE_ERRORS,
    ListDecoder,
    ListedObject,
    ObjectList,
    decode_document,
)
from gentiantrestle.store.requests import (
    ROOT,
    get_request,
    put_request,
    target_of,
)
from gentiantrestle.store.statuses import (
    NOT_FOUND,
    PRECONDITION_FAILED,
    is_final,
    leaves_unsure,
)

ABSENT = 0  # expected version of an object that must not exist yet
WRITE_TOKEN = 'token'
POOL_SIZE = 32  # connections
WATCH_WAIT = 10.0  # seconds
RETRY_DELAY = 0.1  # seconds; doubled with each attempt
MAX_WRITE_ATTEMPTS = 5
VERSION_PATTERN = re.compile(r'[0-9]{1,18}')
Document = dict[str, Any]
Decoded = TypeVar('Decoded')


class StoreUnavailableError(Exception):
    """The store did not answer; nothing was changed."""


class StoreRejectedError(StoreUnavailableError):
    """The store refuses what is written, whenever it is; nothing changed."""


class ObjectTooLargeError(StoreRejectedError):
    """The object is larger than the store takes; nothing changed."""


class StoreOutcomeUnknownError(Exception):
    """The store did not answer; the write may still take effect."""


class VersionedDocument(NamedTuple):
    """A document, and the version at which it was read or written."""

    version: int
    document: Document


class StoreReply(NamedTuple):
    """A response of the object API; ``version`` is 0 if it gives none."""

    status: int
    version: int
    body: bytes


class WriteConflict(NamedTuple):
    """A write whose version condition did not hold; always falsy."""

    name: str
    reason: str

    def __bool__(self) -> bool:
        """Return False, so that a conflict can be told from a write."""
        return False


class StoreClient:
    """Reads objects and writes them conditionally.

    Reads raise ``StoreUnavailableError`` if the store does not answer.
    """

    def __init__(self, ctx: Context) -> None:
        """Create separate connection pools for calls and for the watch."""
        self._ctx = ctx
        timeout = ctx.cfg.store_timeout
        address = ctx.cfg.store_address
        self._call_pool = ConnectionPool(address, POOL_SIZE, timeout)
        self._watch_pool = ConnectionPool(address, 1, timeout)
        self._decoder = ListDecoder()
        self.reachable = True

    async def get(self, name: str) -> VersionedDocument | None:
        """Read an object; None if it does not exist."""
        reply = await self._call('get', get_request(name))
        if reply.status == NOT_FOUND:
            return None
        document = _decode(name, decode_document, reply.body)
        return VersionedDocument(reply.version, document)

    async def list_names(self, prefix: str) -> list[ListedObject]:
        """List names and versions under a prefix."""
        return (await self._list([('prefix', prefix)]))['objects']

    async def list_documents(self, *prefixes: str) -> ObjectList:
        """List the objects under prefixes, with documents and revision."""
        query = [('prefix', prefix) for prefix in prefixes]
        return await self._list([*query, ('values', '1')])

    async def watch(self, after: int, *prefixes: str) -> ObjectList:
        """Wait for changes after a revision; empty if none arrive in time."""
        return await self._watch(after, WATCH_WAIT, prefixes)

    async def read_changes(self, after: int, *prefixes: str) -> ObjectList:
        """Read the changes after a revision without waiting."""
        return await self._watch(after, 0, prefixes)

    async def put(
        self,
        name: str,
        document: Document,
        expected: int,
    ) -> VersionedDocument | WriteConflict:
        """Write a document if its version is still ``expected``.

        If the response is lost, the same write is sent again under the same
        condition; on a conflict, the write token shows whether the first
        write took effect. Raises ``StoreUnavailableError`` if nothing was
        written and ``StoreOutcomeUnknownError`` if it may have been.
        """
        written = {**document, WRITE_TOKEN: uuid4().hex}
        req = put_request(name, written, expected)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            reply = await self._try_write(name, req, first=attempt == 0)
            if reply is None:
                await asyncio.sleep(RETRY_DELAY * 2**attempt)
                continue
            if reply.status != PRECONDITION_FAILED:
                return VersionedDocument(reply.version, written)
            return await self._resolve_conflict(name, written, lost=attempt > 0)
        raise StoreOutcomeUnknownError(name)

    async def delete(self, name: str) -> None:
        """Delete an object; idempotent.

        Raises ``StoreUnavailableError`` or ``StoreOutcomeUnknownError``.
        """
        await self._call('write', ClientRequest('DELETE', target_of(name)))

    def close(self) -> None:
        """Close idle connections."""
        self._call_pool.close()
        self._watch_pool.close()

    async def _try_write(
        self,
        name: str,
        req: ClientRequest,
        *,
        first: bool,
    ) -> 'StoreReply | None':
        """Send a write; return None if it has to be sent again."""
        try:
            return await self._call('write', req)
        except StoreUnavailableError:
            if first:
                raise
        except StoreOutcomeUnknownError:
            events.emit(events.WRITE_UNANSWERED, name=name)
        return None

    async def _resolve_conflict(
        self,
        name: str,
        written: Document,
        *,
        lost: bool,
    ) -> VersionedDocument | WriteConflict:
        if not lost:
            return WriteConflict(name, f'{name} was changed by another writer')
        try:
            found = await self.get(name)
        except StoreUnavailableError as exc:
            raise StoreOutcomeUnknownError(name) from exc
        is_ours = (
            found is not None
            and found.document.get(WRITE_TOKEN) == written[WRITE_TOKEN]
        )
        outcome = 'done' if is_ours else 'conflict'
        events.emit(events.WRITE_OUTCOME_RESOLVED, name=name, outcome=outcome)
        if is_ours:
            return found
        return WriteConflict(name, f'{name} was changed by another writer')

    async def _watch(
        self,
        after: int,
        wait: float,
        prefixes: tuple[str, ...],
    ) -> ObjectList:
        query = [('prefix', prefix) for prefix in prefixes]
        query += [('values', '1'), ('after', str(after)), ('wait', str(wait))]
        reply = await self._call(
            'watch' if wait else 'compare',
            ClientRequest('GET', f'/v1/watch?{urlencode(query)}'),
            pool=self._watch_pool if wait else self._call_pool,
            timeout=wait + self._ctx.cfg.store_timeout,
        )
        return _decode('changes', self._decoder.decode, reply.body)

    async def _list(self, query: list[tuple[str, str]]) -> ObjectList:
        target = f'{ROOT}?{urlencode(query)}'
        reply = await self._call('list', ClientRequest('GET', target))
        return _decode('a list', self._decoder.decode, reply.body)

    async def _call(
        self,
        verb: str,
        req: ClientRequest,
        *,
        pool: ConnectionPool | None = None,
        timeout: float | None = None,
    ) -> 'StoreReply':
        self._ctx.metrics.store_calls.inc({'verb': verb})
        stall = self._ctx.cfg.store_timeout
        zoned_req = req._replace(
            headers=(*req.headers, ('X-Zone', self._ctx.cfg.zone)),
        )
        try:
            async with transfer_timeout(timeout or stall, stall):
                response, body = await (pool or self._call_pool).fetch(
                    zoned_req, fresh=verb == 'write'
                )
        except NotSentError as exc:
            self._set_reachable(reachable=False, error=str(exc))
            raise StoreUnavailableError(str(exc)) from exc
        except (ConnectionLostError, TimeoutError) as exc:
            self._set_reachable(reachable=False, error=repr(exc))
            if verb == 'write':
                raise StoreOutcomeUnknownError(repr(exc)) from exc
            raise StoreUnavailableError(repr(exc)) from exc
        self._set_reachable(reachable=True)
        _check_status(req, response.status)
        return StoreReply(response.status, _version(response), body)

    def _set_reachable(self, *, reachable: bool, error: str = '') -> None:
        if reachable and not self.reachable:
            events.emit(events.STORE_RECOVERED)
        if self.reachable and not reachable:
            events.emit(events.STORE_UNREACHABLE, error=error)
        self.reachable = reachable


def _decode(
    name: str, decode: Callable[[bytes], Decoded], body: bytes
) -> Decoded:
    try:
        return decode(body)
    except DECODE_ERRORS as exc:
        events.emit(events.STORE_ANSWER_UNREADABLE, name=name, error=repr(exc))
        raise StoreUnavailableError(f'unreadable answer: {exc!r}') from exc


def _check_status(req: ClientRequest, status: int) -> None:
    """Log a status that settles nothing, and raise its error."""
    if is_final(req.method, status):
        return
    events.emit(
        events.STORE_UNEXPECTED_STATUS,
        status=status,
        call=f'{req.method} {req.target}',
        answer='',
    )
    if leaves_unsure(req.method, status):
        raise StoreOutcomeUnknownError(f'status {status}')
    raise StoreUnavailableError(f'status {status}')


def _version(response: ClientResponse) -> int:
    version = response.header('X-Version')
    return int(version) if VERSION_PATTERN.fullmatch(version) else 0
