"""Stand-in for the platform's object store of gateways, with faults."""

import asyncio
from collections import deque
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from gentiantrestle.http.connection import ConnectionClosedError
from gentiantrestle.http.messages import Request, Response, json_response

ROOT = '/gentiantrestle/objects/'
RAW_ROOT = '/raw/'
MAX_BODY = 2097152  # bytes
MAX_OBJECT_SIZE = 1048576  # bytes
STATUS = 'status'
GONE = HTTPStatus.GONE
CONFLICT = HTTPStatus.CONFLICT
UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE


Key = tuple[str, str]
Document = dict[str, Any]
Change = tuple[int, str, Document, bool]


class ObjectsStandin:
    """Objects by kind and name, with one revision counter for all.

    ``POST /control`` replaces the faults: ``down`` refuses each call, ``slow``
    delays each by some seconds, ``lose`` holds back the answers of so many
    writes for ``silence`` seconds after they took effect, and ``compact``
    forgets the changes so far, so that older watches get 410; while ``mute`` is
    set, watches hear nothing; ``cut`` ends the watches that wait, unanswered.
    ``POST /raw/KIND/NAME`` stores the body as a spec without looking at it.
    """

    def __init__(self) -> None:
        """Start without objects and faults."""
        self._documents: dict[Key, Document] = {}
        self._history: deque[Change] = deque()
        self._revision = 1
        self._compacted_revision = 1
        self._changed = asyncio.Condition()
        self._cuts = 0
        self._faults: dict[str, Any] = {}
        self._calls: list[str] = []

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'ObjectsStandin':
        """Build the stand-in; it has no options."""
        return cls()

    async def run(self) -> None:
        """Return at once; there is no background work."""

    async def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path == '/control':
            await self._control(await req.read_json(MAX_BODY))
            return json_response({})
        if req.path == '/calls':
            return json_response(self._calls)
        self._calls.append(f'{req.method} {req.path}')
        if self._faults.get('down'):
            return json_response({}, UNAVAILABLE)
        await asyncio.sleep(self._faults.get('slow', 0))
        answer = await self._dispatch(req)
        if req.method != 'GET' and self._faults.get('lose', 0) > 0:
            self._faults['lose'] -= 1
            await asyncio.sleep(self._faults.get('silence', 5))
        return answer

    async def _control(self, faults: dict[str, Any]) -> None:
        self._faults = faults
        if faults.pop('compact', False):
            await self._compact()
        if faults.pop('cut', False):
            self._cuts += 1
            async with self._changed:
                self._changed.notify_all()

    async def _store_raw(self, req: Request) -> Response:
        kind, _, name = req.path.removeprefix(RAW_ROOT).partition('/')
        spec = msgspec.Raw(await req.read(MAX_BODY))
        await self._store((kind, name), {'spec': spec, STATUS: None})
        return json_response({})

    async def _dispatch(self, req: Request) -> Response:
        if req.method == 'GET':
            return await self._read(req)
        return await self._change(req)

    async def _change(self, req: Request) -> Response:
        if req.path.startswith(RAW_ROOT):
            return await self._store_raw(req)
        kind, _, rest = req.path.removeprefix(ROOT).partition('/')
        name, _, subresource = rest.partition('/')
        if req.method == 'DELETE':
            return await self._delete((kind, name))
        document = await req.read_json(MAX_BODY)
        if len(msgspec.json.encode(document)) > MAX_OBJECT_SIZE:
            return json_response({}, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if req.method == 'POST':
            return await self._create(kind, document)
        is_status = subresource == STATUS
        return await self._put((kind, name), document, is_status)

    async def _read(self, req: Request) -> Response:
        kind, _, name = req.path.removeprefix(ROOT).partition('/')
        if name:
            return self._get((kind, name))
        return await self._list(kind, dict(req.query))

    def _get(self, key: tuple[str, str]) -> Response:
        found = self._documents.get(key)
        if found is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        return json_response(found)

    async def _list(self, kind: str, query: dict[str, str]) -> Response:
        if 'watch' in query:
            return await self._watch(kind, query)
        documents = [
            document
            for key, document in sorted(self._documents.items())
            if key[0] == kind
        ]
        return json_response(
            {'items': documents, 'has-more': False, 'as-of': self._revision},
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> Response:
        after = int(query['watch'])
        if after < self._compacted_revision:
            return json_response({}, GONE)
        wait = int(query.get('wait-ms', 0)) / 1000
        cuts = self._cuts
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: self._cuts > cuts or self._heard_after(kind, after)
                )
        except TimeoutError:
            return json_response({'events': [], 'as-of': self._revision})
        if self._cuts > cuts:
            raise ConnectionClosedError('watch cut by the cut fault')
        changes = self._changes_after(kind, after)
        return json_response({'events': changes, 'as-of': self._revision})

    def _heard_after(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes that a waiting watch is told."""
        if self._faults.get('mute'):
            return []
        return self._changes_after(kind, after)

    def _changes_after(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {'object': document, 'deleted': deleted}
            for revision, changed_kind, document, deleted in self._history
            if revision > after and changed_kind == kind
        ]

    async def _create(self, kind: str, document: dict[str, Any]) -> Response:
        key = (kind, document['metadata']['name'])
        existing = self._documents.get(key)
        if existing is not None:
            return json_response(existing, CONFLICT)
        created = {'metadata': {}, 'spec': document.get('spec'), STATUS: None}
        await self._store(key, created)
        return json_response(self._documents[key], HTTPStatus.CREATED)

    async def _put(
        self, key: tuple[str, str], document: dict[str, Any], is_status: bool
    ) -> Response:
        existing = self._documents.get(key)
        if existing is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        expected = document.get('metadata', {}).get('revision')
        if expected not in {None, existing['metadata']['revision']}:
            return json_response(existing, CONFLICT)
        field = STATUS if is_status else 'spec'
        if existing[field] != document[field]:
            await self._store(key, {**existing, field: document[field]})
        return json_response(self._documents[key])

    async def _delete(self, key: tuple[str, str]) -> Response:
        found = self._documents.pop(key, None)
        if found is not None:
            await self._record_change(key, found, deleted=True)
        return json_response({})

    async def _store(
        self, key: tuple[str, str], document: dict[str, Any]
    ) -> None:
        metadata = {
            'name': key[1],
            'revision': self._revision + 1,
            'created': self._revision + 1,
            'finalizers': [],
            'deleting': False,
        }
        self._documents[key] = {**document, 'metadata': metadata}
        await self._record_change(key, self._documents[key], deleted=False)

    async def _record_change(
        self, key: tuple[str, str], document: dict[str, Any], *, deleted: bool
    ) -> None:
        self._revision += 1
        metadata = {**document['metadata'], 'revision': self._revision}
        snapshot = {**document, 'metadata': metadata}
        self._history.append((self._revision, key[0], snapshot, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _compact(self) -> None:
        self._history.clear()
        self._revision += 1
        self._compacted_revision = self._revision
