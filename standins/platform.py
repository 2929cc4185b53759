"""Stand-in for the object API that daemons use as store, with faults."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from gentiantrestle.http.connection import ConnectionClosedError
from gentiantrestle.http.messages import JSON, Request, Response, json_response

MAX_BODY = 1024 * 1024  # bytes
MAX_WAIT = 30.0  # seconds
ROOT = '/v1/objects'
VERSION = 'X-Version'


class StoredObject(NamedTuple):
    """One object; an empty body means that it is deleted."""

    version: int
    body: bytes


class Faults:
    """Faults that ``POST /control`` sets by name.

    ``outage`` drops all calls, ``delay`` holds each back by some seconds,
    ``lose`` drops the answers of so many writes after they took effect, and
    ``cut_zones`` drops the calls that come from these zones.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.outage = False
        self.delay = float(0)
        self.lose = 0
        self.cut_zones: list[str] = []

    async def before_call(self, req: Request) -> None:
        """Delay the call, or raise ``ConnectionClosedError`` to drop it."""
        if self.outage or req.headers.get('x-zone') in self.cut_zones:
            raise ConnectionClosedError(
                'call dropped by the outage or cut_zones fault'
            )
        if self.delay:
            await asyncio.sleep(self.delay)

    def after_write(self) -> None:
        """Raise ``ConnectionClosedError`` to drop the answer to a write."""
        if self.lose > 0:
            self.lose -= 1
            raise ConnectionClosedError('answer dropped by the lose fault')


class PlatformStandin:
    """Versioned objects with conditional updates and watches."""

    def __init__(self) -> None:
        """Start without objects."""
        self._stored_objects: dict[str, StoredObject] = {}
        self._revision = 0
        self._changed = asyncio.Condition()
        self._faults = Faults()
        self._calls: Counter[str] = Counter()

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'PlatformStandin':
        """Build the stand-in; it has no options."""
        return cls()

    async def run(self) -> None:
        """Wait until cancelled; there is no background work."""
        await asyncio.Event().wait()

    async def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path == '/control':
            return await self._control(req)
        await self._faults.before_call(req)
        if req.path == '/v1/watch':
            self._calls['watch'] += 1
            return await self._watch(req)
        if req.path == ROOT:
            self._calls['list'] += 1
            return json_response(self._list(req, 0))
        name = req.path.removeprefix(f'{ROOT}/')
        if req.method == 'GET':
            self._calls['get'] += 1
            return self._get(name)
        self._calls['write'] += 1
        return await self._write(name, req)

    async def _control(self, req: Request) -> Response:
        if req.method == 'POST':
            for name, setting in (await req.read_json(MAX_BODY)).items():
                setattr(self._faults, name, setting)
        return json_response(
            {
                'calls': self._calls,
                'revision': self._revision,
                'objects': len(self._stored_objects),
            }
        )

    def _get(self, name: str) -> Response:
        stored = self._stored_objects.get(name)
        if stored is None or not stored.body:
            return Response(HTTPStatus.NOT_FOUND)
        return _answer_version(HTTPStatus.OK, stored)

    async def _write(self, name: str, req: Request) -> Response:
        body = b''
        if req.method == 'PUT':
            body = await req.read(MAX_BODY)
        stored = self._stored_objects.get(name)
        if not _condition_holds(req.headers, stored):
            return _answer_version(
                HTTPStatus.PRECONDITION_FAILED, stored or StoredObject(0, b'')
            )
        self._revision += 1
        written = StoredObject(self._revision, body)
        self._stored_objects[name] = written
        async with self._changed:
            self._changed.notify_all()
        self._faults.after_write()
        return _answer_version(
            HTTPStatus.OK, StoredObject(written.version, b'')
        )

    def _list(self, req: Request, after: int) -> dict[str, object]:
        prefixes = tuple(req.query_values('prefix')) or ('',)
        with_bodies = 'values' in dict(req.query)
        names = sorted(
            name
            for name, stored in self._stored_objects.items()
            if stored.version > after
            and name.startswith(prefixes)
            and (stored.body or after)
        )
        return {
            'revision': self._revision,
            'objects': [
                _listed_object(name, self._stored_objects[name], with_bodies)
                for name in names
            ],
        }

    async def _wait_for_change(self) -> None:
        async with self._changed:
            await self._changed.wait()

    async def _watch(self, req: Request) -> Response:
        after = int(dict(req.query)['after'])
        wait = min(MAX_WAIT, float(dict(req.query).get('wait', MAX_WAIT)))
        listed = self._list(req, after)
        try:
            async with asyncio.timeout(wait):
                while not listed['objects']:
                    await self._wait_for_change()
                    listed = self._list(req, after)
        except TimeoutError:
            listed['revision'] = self._revision
        await self._faults.before_call(req)
        return json_response(listed)


def _condition_holds(
    headers: Mapping[str, str], stored: StoredObject | None
) -> bool:
    exists = stored is not None and bool(stored.body)
    if headers.get('if-none-match') == '*':
        return not exists
    expected = headers.get('if-match')
    if expected is None:
        return True
    return exists and stored.version == int(expected)


def _answer_version(status: int, stored: StoredObject) -> Response:
    return Response(
        status,
        stored.body,
        JSON,
        ((VERSION, str(stored.version)),),
    )


def _listed_object(
    name: str, stored: StoredObject, with_body: bool
) -> dict[str, object]:
    described: dict[str, object] = {'name': name, 'version': stored.version}
    if not stored.body:
        described['deleted'] = True
    elif with_body:
        described['body'] = msgspec.Raw(stored.body)
    return described
