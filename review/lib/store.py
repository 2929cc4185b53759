"""Stand-in for the platform's metadata store, after PROTOCOL.md.

It listens at one address for each machine, so that it can turn single machines
away (503, nothing is done) while it serves the others and the operator.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from review.lib.http11 import Request, encode_json, read_request

ROOT = '/gentiantrestle/objects/'
ANSWER_TIME = 0.004  # seconds, as in SYSTEM.md
PAGE = 500  # objects in one page of a list


class Store:
    """Objects by kind and name under one revision counter."""

    def __init__(self, value_bytes: int, note: Callable[..., None]) -> None:
        self._value_bytes = value_bytes
        self._note = note
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.refused: set[str] = set()
        self.answer_time = ANSWER_TIME
        # How many calls of each machine were turned away.
        self.turned_away: dict[str, int] = {}

    async def listen(self, machine: str, host: str) -> tuple[str, int]:
        """Open an address for a machine; return it."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, host, 0, limit=2**23)
        return server.sockets[0].getsockname()[:2]

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write as the operator or a server does."""
        known = self._objects.get((kind, name), {'status': None})
        self._put(kind, name, {**known, 'spec': spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as a server does."""
        self._delete(kind, name)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for known, name in self._objects if known == kind)

    def get(self, kind: str, name: str) -> Any:
        """Return an object, or None."""
        return self._objects.get((kind, name))

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                status, document = await self._answer(machine, req)
                writer.write(encode_json(status, document))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(self, machine: str, req: Request) -> tuple[int, Any]:
        await asyncio.sleep(self.answer_time)
        if machine in self.refused:
            self.turned_away[machine] = self.turned_away.get(machine, 0) + 1
            return 503, {}
        if req.method == 'GET' and 'watch' in req.query:
            return await self._watch(machine, req)
        status, document = self._dispatch(req)
        if req.method != 'GET':
            self._note(
                'store',
                machine=machine,
                call=f'{req.method} {req.path}',
                bytes=len(req.body),
                status=status,
            )
        return status, document

    def _dispatch(self, req: Request) -> tuple[int, Any]:
        words = req.path.removeprefix(ROOT).split('/')
        kind, name = words[0], words[1] if len(words) > 1 else ''
        if req.method == 'GET':
            return self._read(kind, name, req)
        if req.method == 'DELETE':
            self._delete(kind, name)
            return 200, {}
        document = json.loads(req.body)
        part = 'status' if words[2:] == ['status'] else 'spec'
        content = document.get(part)
        size = len(json.dumps(content, ensure_ascii=False).encode())
        if size > self._value_bytes:
            return 413, {'error': f'an object is {self._value_bytes} at most'}
        if req.method == 'POST':
            return self._create(kind, document)
        return self._replace(kind, name, document, part)

    def _read(self, kind: str, name: str, req: Request) -> tuple[int, Any]:
        if name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        after = req.query.get('after', '')
        listed = [entry for entry in self.names(kind) if entry > after]
        page = [self._objects[kind, entry] for entry in listed[:PAGE]]
        return 200, {
            'items': page,
            'has-more': len(listed) > PAGE,
            'as-of': self._revision,
        }

    async def _watch(self, machine: str, req: Request) -> tuple[int, Any]:
        kind = req.path.removeprefix(ROOT)
        after = int(req.query['watch'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(req.query.get('wait-ms', '0')) / 1000
        while True:
            if machine in self.refused:
                return 503, {}
            found = [
                {'object': known, 'deleted': deleted}
                for revision, changed, known, deleted in self._history
                if revision > after and changed == kind
            ]
            left = until - loop.time()
            if found or left <= 0:
                return 200, {'events': found, 'as-of': self._revision}
            try:
                async with asyncio.timeout(min(left, 0.25)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _create(self, kind: str, document: Any) -> tuple[int, Any]:
        name = document['metadata']['name']
        found = self._objects.get((kind, name))
        if found is not None:
            return 409, found
        self._put(kind, name, {'spec': document.get('spec'), 'status': None})
        return 201, self._objects[kind, name]

    def _replace(
        self, kind: str, name: str, document: Any, part: str
    ) -> tuple[int, Any]:
        found = self._objects.get((kind, name))
        if found is None:
            return 404, {}
        expected = document.get('metadata', {}).get('revision')
        if expected not in {None, found['metadata']['revision']}:
            return 409, found
        if found[part] != document[part]:
            self._put(kind, name, {**found, part: document[part]})
        return 200, self._objects[kind, name]

    def _put(self, kind: str, name: str, known: dict[str, Any]) -> None:
        self._revision += 1
        before = self._objects.get((kind, name))
        created = before['metadata']['created'] if before else self._revision
        metadata = {
            'name': name,
            'revision': self._revision,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        self._objects[kind, name] = {**known, 'metadata': metadata}
        self._record(kind, self._objects[kind, name], deleted=False)

    def _delete(self, kind: str, name: str) -> None:
        found = self._objects.pop((kind, name), None)
        if found is not None:
            self._revision += 1
            metadata = {**found['metadata'], 'revision': self._revision}
            self._record(kind, {**found, 'metadata': metadata}, deleted=True)

    def _record(
        self, kind: str, known: dict[str, Any], *, deleted: bool
    ) -> None:
        self._history.append((self._revision, kind, known, deleted))
        self._changed.set()
        self._changed = asyncio.Event()
