"""Calls of the platform's object store."""

import asyncio
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from gentiantrestle import events
from gentiantrestle.gateway.ports import HistoryGoneError, Page, StoredObject
from gentiantrestle.http.client import Call, LostError, NotSentError, Pool
from gentiantrestle.models import Address
from gentiantrestle.store.client import (
    StoreUnavailableError,
    StoreUnsureError,
)

ROOT = '/gentiantrestle/objects'
POOL_SIZE = 32
# The store answers in 4 ms; on slow days some 60 times later.
CALL_TIMEOUT = 1.5  # seconds
MAX_SHOWN = 200  # bytes of an odd answer in the log
WATCH_SLACK = 1.5  # seconds beyond a watch's own wait
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
NOT_DONE = frozenset((429, 503))  # the store did nothing
ENDED = frozenset((OK, CREATED, 204, NOT_FOUND, CONFLICT, GONE))


class ObjectClient:
    """Client of the object store; one connection a watch."""

    def __init__(self, address: Address) -> None:
        """Connect when the first call is made."""
        self._pool = Pool(address, POOL_SIZE, CALL_TIMEOUT)
        self.calls = 0

    async def list_page(
        self,
        kind: str,
        after: str,
        *,
        stale: bool = False,
    ) -> Page:
        """List one page of a kind after a name."""
        query = {'after': after} if after else {}
        if stale:
            query['stale-ok'] = '1'
        body = (await self._call('GET', _path(kind), query))[1]
        return Page(
            tuple(_stored(one) for one in body.get('items', ())),
            body['as-of'],
            bool(body.get('has-more')),
        )

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait up to ``wait`` s for changes of a kind after a revision."""
        query = {'watch': revision, 'wait-ms': int(wait * 1000)}
        status, body = await self._call(
            'GET', _path(kind), query, timeout=wait + WATCH_SLACK
        )
        if status == GONE:
            raise HistoryGoneError(kind)
        found = tuple(
            _stored(one['object'], deleted=bool(one.get('deleted')))
            for one in body['events']
        )
        return Page(found, body['as-of'])

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        status, body = await self._call('GET', _path(kind, name))
        return None if status == NOT_FOUND else _stored(body)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; False where one exists."""
        document = {'metadata': {'name': name}, 'spec': content}
        status, _ = await self._call('POST', _path(kind), body=document)
        return status != CONFLICT

    async def put_status(
        self, kind: str, found: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False where the object has changed since."""
        document = {
            'metadata': {'name': found.name, 'revision': found.revision},
            'status': status,
        }
        path = f'{_path(kind, found.name)}/status'
        answered, _ = await self._call('PUT', path, body=document)
        return answered not in {CONFLICT, NOT_FOUND}

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; deleting twice is the same as once."""
        await self._call('DELETE', _path(kind, name))

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: Any = None,
        timeout: float = CALL_TIMEOUT,
    ) -> tuple[int, Any]:
        self.calls += 1
        target = f'{path}?{urlencode(query)}' if query else path
        call = _encode(method, target, body)
        try:
            async with asyncio.timeout(timeout):
                answer, received = await self._pool.fetch(call)
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except (LostError, TimeoutError) as exc:
            raise _lost(method, exc) from exc
        if answer.status in ENDED:
            return answer.status, msgspec.json.decode(received or b'null')
        if answer.status not in NOT_DONE:
            events.emit(
                events.STORE_UNEXPECTED_STATUS,
                status=answer.status,
                call=f'{method} {path}',
                answer=received[:MAX_SHOWN].decode(errors='replace'),
            )
        raise StoreUnavailableError(f'status {answer.status}')


def _lost(method: str, exc: Exception) -> Exception:
    if method == 'GET':
        return StoreUnavailableError(repr(exc))
    return StoreUnsureError(repr(exc))


def _path(kind: str, name: str = '') -> str:
    path = f'{ROOT}/{quote(kind)}'
    return f'{path}/{quote(name)}' if name else path


def _encode(method: str, target: str, body: Any) -> Call:
    if body is None:
        return Call(method, target)
    return Call(
        method,
        target,
        (('Content-Type', 'application/json'),),
        msgspec.json.encode(body),
    )


def _stored(told: dict[str, Any], *, deleted: bool = False) -> StoredObject:
    metadata = told['metadata']
    return StoredObject(
        metadata['name'],
        metadata['revision'],
        told.get('spec'),
        told.get('status'),
        # An object that waits for its finalizers is as good as gone.
        deleted or bool(metadata.get('deleting')),
    )
