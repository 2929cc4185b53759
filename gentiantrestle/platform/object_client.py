"""Client of the platform's object store."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from gentiantrestle import events
from gentiantrestle.gateway.ports import HistoryGoneError, Page, StoredObject
from gentiantrestle.http.client import (
    ClientRequest,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.http.progress import transfer_timeout
from gentiantrestle.models import Address
from gentiantrestle.platform.object_decoder import (
    ObjectDecoder,
    StoreAnswerError,
)
from gentiantrestle.platform.settings import DEFAULT_OBJECT_SIZE
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from gentiantrestle.store.statuses import leaves_unsure

ROOT = '/gentiantrestle/objects'
READ = 'read'
WATCH = 'watch'
WRITE = 'write'
POOL_SIZE = 32  # connections for each of these
# The store answers in 4 ms, and takes some 60 times as long when it is slow.
CALL_TIMEOUT = 1.5  # seconds without progress
MAX_LOGGED = 200  # bytes of an unexpected response
WATCH_SLACK = 0.7  # seconds that a watch may take beyond its wait
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
REJECTED_STATUSES = frozenset((429, 503))  # the store did nothing
TOO_LARGE = 413
# The same write will be refused again.
UNACCEPTABLE_STATUSES = frozenset((400, 422))
# Of an object: what the store adds to the content.
METADATA_RESERVE = 8192  # bytes
Answer = TypeVar('Answer')
FINAL_STATUSES = frozenset((OK, CREATED, 204, NOT_FOUND, CONFLICT, GONE))


class ObjectClient:
    """Client of the object store; a watch occupies one connection.

    Raises ``StoreUnavailableError`` if nothing was changed, and
    ``StoreOutcomeUnknownError`` if a write may still take effect. Nothing
    larger than the store takes is sent.
    """

    def __init__(
        self, address: Address, max_object_size: int = DEFAULT_OBJECT_SIZE
    ) -> None:
        """Prepare for calls; connections are opened on demand.

        ``max_object_size`` is what the store takes as one object, in bytes.
        """
        self._max_object_size = max_object_size
        self.max_content_size = max_object_size - METADATA_RESERVE
        # Reads may take long: they hold up neither watches nor writes.
        self._pools = {
            use: ConnectionPool(address, POOL_SIZE, CALL_TIMEOUT)
            for use in (READ, WATCH, WRITE)
        }
        self._decoder = ObjectDecoder()
        self.calls = 0

    async def list_page(
        self,
        kind: str,
        after: str,
        *,
        stale: bool = False,
    ) -> Page:
        """List a page of a kind after a name; ``stale`` accepts old data."""
        query = {'after': after} if after else {}
        if stale:
            query['stale-ok'] = '1'
        body = (await self._call('GET', _path(kind), query))[1]
        return _decode_answer(kind, self._decoder.decode_list, body)

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait up to ``wait`` s for changes of a kind after a revision.

        Raises ``HistoryGoneError`` if the store has dropped that history.
        """
        query = {WATCH: revision, 'wait-ms': int(wait * 1000)}
        status, body = await self._call(
            'GET',
            _path(kind),
            query,
            timeout=max(wait + WATCH_SLACK, CALL_TIMEOUT),
        )
        if status == GONE:
            raise HistoryGoneError(kind)
        return _decode_answer(kind, self._decoder.decode_changes, body)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read an object; None if it does not exist."""
        status, body = await self._call('GET', _path(kind, name))
        if status == NOT_FOUND:
            return None
        return _decode_answer(name, self._decoder.decode_object, body)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; return False if it exists."""
        document = {'metadata': {'name': name}, 'spec': content}
        status, _ = await self._call('POST', _path(kind), body=document)
        if status in {NOT_FOUND, GONE}:
            raise _status_error('POST', status)
        return status != CONFLICT

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status; return False if the object changed or is gone."""
        document = {
            'metadata': {'name': stored.name, 'revision': stored.revision},
            'status': status,
        }
        path = f'{_path(kind, stored.name)}/status'
        status_code, _ = await self._call('PUT', path, body=document)
        return status_code not in {CONFLICT, NOT_FOUND, GONE}

    async def replace(
        self, kind: str, stored: StoredObject, content: Any
    ) -> StoredObject | None:
        """Replace an object's content; None if it has changed or is gone."""
        document = {
            'metadata': {
                'name': stored.name,
                'revision': stored.revision,
                'finalizers': [],
            },
            'spec': content,
        }
        path = _path(kind, stored.name)
        status_code, body = await self._call('PUT', path, body=document)
        if status_code in {CONFLICT, NOT_FOUND, GONE}:
            return None
        return _decode_answer(stored.name, self._decoder.decode_object, body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; idempotent."""
        await self._call('DELETE', _path(kind, name))

    def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: Any = None,
        timeout: float = CALL_TIMEOUT,
    ) -> tuple[int, bytes]:
        self.calls += 1
        target = f'{path}?{urlencode(query)}' if query else path
        req = self._build_request(method, target, body)
        use = _use_of(method, query)
        try:
            async with transfer_timeout(timeout, CALL_TIMEOUT):
                response, received = await self._pools[use].fetch(
                    req, fresh=use == WRITE
                )
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except (ConnectionLostError, TimeoutError) as exc:
            raise _lost_call_error(method, exc) from exc
        if response.status in FINAL_STATUSES:
            return response.status, received
        if response.status not in REJECTED_STATUSES:
            events.emit(
                events.STORE_UNEXPECTED_STATUS,
                status=response.status,
                call=f'{method} {path}',
                answer=received[:MAX_LOGGED].decode(errors='replace'),
            )
        raise _status_error(method, response.status)

    def _build_request(
        self, method: str, target: str, body: Any
    ) -> ClientRequest:
        if body is None:
            return ClientRequest(method, target)
        encoded = msgspec.json.encode(body)
        if len(encoded) > self._max_object_size:
            raise ObjectTooLargeError(f'{target}: {len(encoded)} bytes')
        return ClientRequest(
            method, target, (('Content-Type', 'application/json'),), encoded
        )


def _use_of(method: str, query: dict[str, Any] | None) -> str:
    """Return what a call is for."""
    if method != 'GET':
        return WRITE
    return WATCH if query and WATCH in query else READ


def _lost_call_error(method: str, exc: Exception) -> Exception:
    if method == 'GET':
        return StoreUnavailableError(repr(exc))
    return StoreOutcomeUnknownError(repr(exc))


def _status_error(method: str, status: int) -> Exception:
    """Return the error of a status that confirms nothing."""
    reason = f'status {status}'
    if leaves_unsure(method, status):
        return StoreOutcomeUnknownError(reason)
    if status == TOO_LARGE:
        return ObjectTooLargeError(reason)
    if status in UNACCEPTABLE_STATUSES:
        return StoreRejectedError(reason)
    return StoreUnavailableError(reason)


def _path(kind: str, name: str = '') -> str:
    path = f'{ROOT}/{quote(kind)}'
    return f'{path}/{quote(name)}' if name else path


def _decode_answer(
    name: str, decode: Callable[[bytes], Answer], body: bytes
) -> Answer:
    try:
        return decode(body)
    except StoreAnswerError as exc:
        events.emit(events.STORE_ANSWER_UNREADABLE, name=name, error=str(exc))
        raise StoreUnavailableError(f'unreadable answer: {exc}') from exc
