"""Stand-in for the users' servers: streams, plain answers, and faults."""

import asyncio
import sys
import time
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from gentiantrestle.http.messages import (
    EVENT_STREAM,
    Request,
    Response,
    json_response,
)

MAX_BODY = 2097152  # bytes
POISON = 'poison'
PAUSE = 0.01  # seconds between events


class UpstreamStandin:
    """Runs what it is asked and remembers it; ``/control`` harms it."""

    def __init__(self, name: str, slots: int) -> None:
        """Serve as the instance ``name``."""
        self._name = name
        self._slots = slots
        self._running = 0
        self._faults: dict[str, Any] = {}
        self._runs: list[dict[str, Any]] = []

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'UpstreamStandin':
        """Read ``name=`` and ``slots=``."""
        return cls(cfg['name'], int(cfg.get('slots', '8')))

    async def run(self) -> None:
        """Do nothing beside requests."""

    async def handle(self, req: Request) -> Response:
        """Answer one request, as the faults in force say."""
        if req.path == '/control':
            self._faults = await req.read_json(MAX_BODY)
            return json_response({})
        if req.path == '/runs':
            return json_response(self._runs)
        return await self._serve(req, await req.read(MAX_BODY))

    async def _serve(self, req: Request, body: bytes) -> Response:
        request_id = req.headers.get('x-attempt-id', '')
        if req.headers.get('x-expect-instance') != self._name:
            return Response(HTTPStatus.MISDIRECTED_REQUEST)
        if self._running >= self._slots or self._faults.get('shed'):
            mark = (('X-Not-Executed', '1'),)
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers=mark)
        told = msgspec.json.decode(body or b'{}')
        first = int(req.headers.get('last-event-id', '0'))
        run = {
            'id': request_id,
            'last': first,
            'path': req.path,
            'body': body.decode('latin-1'),
            'at': time.time(),
            'failed': bool(self._faults.get('fail')),
            'done': False,
            'active': False,
        }
        self._runs.append(run)
        _log(run)
        if self._faults.get('silent'):
            await asyncio.sleep(self._faults['silent'])
        return self._answer(told, run)

    def _answer(self, told: dict[str, Any], run: dict[str, Any]) -> Response:
        answered = self._faults.get('answer_as', run['id'])
        marks = (('X-Attempt-Id', answered), ('X-Server-Stamp', 'stamp'))
        if told.get(POISON):
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return Response(status, b'{}', headers=marks)
        if self._faults.get('fail'):
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return Response(status, b'{}', headers=marks)
        if 'events' not in told:
            run['done'] = True
            return Response(HTTPStatus.OK, b'plain', headers=marks)
        events = self._events(told, run)
        return Response(HTTPStatus.OK, events, EVENT_STREAM, marks)

    async def _events(
        self, told: dict[str, Any], run: dict[str, Any]
    ) -> AsyncIterator[bytes]:
        self._running += 1
        run['active'] = True
        cut = self._faults.get('cut_after')
        try:
            for number in range(run['last'] + 1, told['events'] + 1):
                await asyncio.sleep(told.get('pause', PAUSE))
                if cut is not None and number > run['last'] + cut:
                    raise ConnectionResetError('cut as asked')
                yield encode_event(run['id'], number)
            run['done'] = True
        finally:
            run['active'] = False
            self._running -= 1


def _log(run: dict[str, Any]) -> None:
    """Keep a record that outlives this process."""
    line = msgspec.json.encode(run).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def encode_event(request_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
