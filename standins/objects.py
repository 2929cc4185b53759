"""Stand-in for the users' object store: kinds, revisions, watches, faults."""

import asyncio
from collections import deque
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from gentiantrestle.http.messages import Request, Response, json_response

ROOT = '/gentiantrestle/objects/'
MAX_BODY = 2097152  # bytes
STATUS = 'status'
GONE = HTTPStatus.GONE
CONFLICT = HTTPStatus.CONFLICT
REFUSED = HTTPStatus.SERVICE_UNAVAILABLE


Key = tuple[str, str]
Document = dict[str, Any]
Change = tuple[int, str, Document, bool]


class ObjectsStandin:
    """Objects by kind and name under one revision; ``/control`` harms it."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self._found: dict[Key, Document] = {}
        self._history: deque[Change] = deque()
        self._revision = 1
        self._oldest = 1
        self._changed = asyncio.Condition()
        self._faults: dict[str, Any] = {}
        self._calls: list[str] = []

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'ObjectsStandin':
        """Build; there are no options."""
        return cls()

    async def run(self) -> None:
        """Do nothing beside requests."""

    async def handle(self, req: Request) -> Response:
        """Answer one call."""
        if req.path == '/control':
            self._faults = await req.read_json(MAX_BODY)
            if self._faults.pop('compact', False):
                await self._compact()
            return json_response({})
        if req.path == '/calls':
            return json_response(self._calls)
        self._calls.append(f'{req.method} {req.path}')
        if self._faults.get('down'):
            return json_response({}, REFUSED)
        await asyncio.sleep(self._faults.get('slow', 0))
        answer = await self._dispatch(req)
        if req.method != 'GET' and self._faults.get('lose', 0) > 0:
            self._faults['lose'] -= 1
            await asyncio.sleep(self._faults.get('silence', 5))
        return answer

    async def _dispatch(self, req: Request) -> Response:
        kind, _, rest = req.path.removeprefix(ROOT).partition('/')
        name, _, part = rest.partition('/')
        if req.method == 'GET' and name:
            return self._answer((kind, name))
        if req.method == 'GET':
            return await self._list(kind, dict(req.query))
        if req.method == 'DELETE':
            return await self._delete((kind, name))
        told = await req.read_json(MAX_BODY)
        if req.method == 'POST':
            return await self._create(kind, told)
        return await self._put((kind, name), told, part == STATUS)

    def _answer(self, key: tuple[str, str]) -> Response:
        found = self._found.get(key)
        if found is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        return json_response(found)

    async def _list(self, kind: str, query: dict[str, str]) -> Response:
        if 'watch' in query:
            return await self._watch(kind, query)
        found = [
            one for key, one in sorted(self._found.items()) if key[0] == kind
        ]
        return json_response(
            {'items': found, 'has-more': False, 'as-of': self._revision},
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> Response:
        after = int(query['watch'])
        if after < self._oldest:
            return json_response({}, GONE)
        wait = int(query.get('wait-ms', 0)) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._since(kind, after))
        except TimeoutError:
            return json_response({'events': [], 'as-of': self._revision})
        found = self._since(kind, after)
        return json_response({'events': found, 'as-of': self._revision})

    def _since(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {'object': one, 'deleted': deleted}
            for revision, changed, one, deleted in self._history
            if revision > after and changed == kind
        ]

    async def _create(self, kind: str, told: dict[str, Any]) -> Response:
        key = (kind, told['metadata']['name'])
        known = self._found.get(key)
        if known is not None:
            return json_response(known, CONFLICT)
        fresh = {'metadata': {}, 'spec': told.get('spec'), STATUS: None}
        await self._store(key, fresh)
        return json_response(self._found[key], HTTPStatus.CREATED)

    async def _put(
        self, key: tuple[str, str], told: dict[str, Any], is_status: bool
    ) -> Response:
        found = self._found.get(key)
        if found is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        wanted = told.get('metadata', {}).get('revision')
        if wanted not in {None, found['metadata']['revision']}:
            return json_response(found, CONFLICT)
        field = STATUS if is_status else 'spec'
        if found[field] != told[field]:
            await self._store(key, {**found, field: told[field]})
        return json_response(self._found[key])

    async def _delete(self, key: tuple[str, str]) -> Response:
        found = self._found.pop(key, None)
        if found is not None:
            await self._note(key, found, deleted=True)
        return json_response({})

    async def _store(self, key: tuple[str, str], one: dict[str, Any]) -> None:
        metadata = {
            'name': key[1],
            'revision': self._revision + 1,
            'created': self._revision + 1,
            'finalizers': [],
            'deleting': False,
        }
        self._found[key] = {**one, 'metadata': metadata}
        await self._note(key, self._found[key], deleted=False)

    async def _note(
        self, key: tuple[str, str], one: dict[str, Any], *, deleted: bool
    ) -> None:
        self._revision += 1
        copy = msgspec.json.decode(msgspec.json.encode(one))
        copy['metadata']['revision'] = self._revision
        self._history.append((self._revision, key[0], copy, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _compact(self) -> None:
        self._history.clear()
        self._revision += 1
        self._oldest = self._revision
