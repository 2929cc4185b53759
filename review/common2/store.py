"""The platform's store as the users' pages describe it, of this review.

``python3 -m review.common2.store PORT`` keeps objects by kind and name. Lists
come in pages of 500. ``POST /fill`` with ``kind``, ``like``, ``count`` and
``prefix`` stores so many objects more that are equal to the one named ``like``,
under names of their own. Watches hear of them as of all others.
"""

import asyncio
import json
import sys
from collections import deque
from urllib.parse import parse_qs, unquote

PAGE = 500  # objects in one answer
HISTORY = 40000  # changes that are kept
ROOT = '/gentiantrestle/objects/'


class Store:
    """Objects with one revision counter for all."""

    def __init__(self) -> None:
        """Start empty."""
        self._objects: dict[str, dict[str, dict]] = {}
        self._history: deque[tuple[int, str, dict, bool]] = deque(
            maxlen=HISTORY
        )
        self._revision = 1
        self._lost = 1  # changes up to this revision are forgotten
        self._changed = asyncio.Condition()

    async def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict]:
        """Answer one call."""
        path, _, query = target.partition('?')
        fields = {key: row[0] for key, row in parse_qs(query).items()}
        kind, _, name = unquote(path.removeprefix(ROOT)).partition('/')
        if method == 'GET' and 'watch' in fields:
            return await self._watch(kind, fields)
        if method == 'GET':
            return self._read(kind, name, fields.get('after', ''))
        async with self._changed:
            if path == '/fill':
                answer = self._fill(json.loads(body))
            else:
                answer = self._write(method, kind, name, body)
            self._changed.notify_all()
        return answer

    def _read(self, kind: str, name: str, after: str) -> tuple[int, dict]:
        found = self._objects.get(kind, {})
        if name:
            return (200, found[name]) if name in found else (404, {})
        names = sorted(key for key in found if key > after)
        page = [found[key] for key in names[:PAGE]]
        more = len(names) > PAGE
        return 200, {'items': page, 'has-more': more, 'as-of': self._revision}

    async def _watch(self, kind: str, fields: dict) -> tuple[int, dict]:
        after = int(fields['watch'])
        if after < self._lost:
            return 410, {}
        events: list[dict] = []

        def is_heard() -> bool:
            events[:] = [
                {'object': found, 'deleted': deleted}
                for revision, changed, found, deleted in self._history
                if revision > after and changed == kind
            ]
            return bool(events)

        try:
            async with asyncio.timeout(int(fields['wait-ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(is_heard)
        except TimeoutError:
            events.clear()
        return 200, {'events': events, 'as-of': self._revision}

    def _write(
        self, method: str, kind: str, name: str, body: bytes
    ) -> tuple[int, dict]:
        found = self._objects.setdefault(kind, {})
        if method == 'DELETE':
            if name in found:
                self._note(kind, found.pop(name), deleted=True)
            return 200, {}
        sent = json.loads(body)
        if method == 'POST':
            name = sent['metadata']['name']
            if name in found:
                return 409, found[name]
            return 201, self._put(kind, name, sent.get('spec'), None)
        name, _, part = name.partition('/')
        if name not in found:
            return 404, {}
        known = found[name]
        wanted = sent.get('metadata', {}).get('revision')
        if wanted not in {None, known['metadata']['revision']}:
            return 409, known
        field = part or 'spec'
        if known[field] == sent[field]:
            return 200, known
        changed = {**known, field: sent[field]}
        return 200, self._put(kind, name, changed['spec'], changed['status'])

    def _put(self, kind: str, name: str, spec: object, status: object) -> dict:
        metadata = {
            'name': name,
            'revision': self._revision + 1,
            'created': self._revision + 1,
            'finalizers': [],
            'deleting': False,
        }
        stored = {'metadata': metadata, 'spec': spec, 'status': status}
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def _note(self, kind: str, stored: dict, *, deleted: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, stored, deleted))
        if len(self._history) == HISTORY:
            self._lost = self._history[0][0]

    def _fill(self, wanted: dict) -> tuple[int, dict]:
        """Store objects that are equal to one, but for the name in them."""
        like = self._objects[wanted['kind']][wanted['like']]
        text = json.dumps(like['spec'])
        for number in range(wanted['count']):
            name = f'{wanted["prefix"]}{number:04x}'
            # The ids of items begin with that of their job.
            spec = json.loads(text.replace(wanted['like'], name))
            self._put(wanted['kind'], name, spec, like['status'])
        return 200, {'objects': len(self._objects[wanted['kind']])}


async def serve(
    store: Store, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the calls of one channel."""
    try:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = head.strip().split('\r\n')
            fields = dict(line.lower().split(': ', 1) for line in lines)
            body = await reader.readexactly(
                int(fields.get('content-length', '0'))
            )
            method, target, _ = first.split(' ')
            status, document = await store.answer(method, target, body)
            raw = json.dumps(document).encode()
            top = (
                f'HTTP/1.1 {status} Status\r\nContent-Type: application/json'
                f'\r\nContent-Length: {len(raw)}\r\n\r\n'
            )
            writer.write(top.encode() + raw)
            await writer.drain()
            if fields.get('connection') == 'close':
                break
    except (OSError, EOFError):
        pass
    writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    store = Store()
    listening = await asyncio.start_server(
        lambda reader, writer: serve(store, reader, writer),
        '127.0.0.1',
        int(sys.argv[1]),
    )
    await listening.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
