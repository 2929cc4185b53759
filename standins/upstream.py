"""Stand-in for an upstream of gateways, with faults."""

import asyncio
import os
import sys
import time
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from gentiantrestle.http.messages import (
    EVENT_STREAM,
    Request,
    Response,
    json_response,
)

MAX_BODY = 2097152  # bytes
CRASHED = 70  # exit status
FLUSH_TIME = 0.01  # seconds in which an event reaches the caller
POISON = 'poison'
REPORT_PATH = '/gentiantrestle/report'
PAUSE = 0.01  # seconds between events


class UpstreamConfig(NamedTuple):
    """What an upstream is, and what it does by itself.

    It sheds requests while all ``slots`` stream. With ``limit`` each answer
    names so many requests a second as the most that the upstream takes. With
    ``crash_on`` the process ends when it begins a stream for a prompt with that
    part, within the event that follows the first ``crash_after``. With
    ``version`` each event names that software version; nothing checks which
    one has made the events before. ``born`` is the start of this run, as its
    report names it.
    """

    name: str
    slots: int
    crash_on: str
    crash_after: int
    limit: str
    version: str
    born: int


class UpstreamStandin:
    """Answers requests and keeps a record of each run.

    The body of a request is a JSON object: ``events`` asks for a stream of
    so many events, ``pause`` seconds apart, ``poison`` for status 422, and
    ``crash`` ends the process so many seconds after it has begun the request.

    ``POST /control`` replaces the faults: ``shed`` refuses each request,
    ``fail`` answers 500, ``silent`` delays each answer by some seconds, or
    with ``silent_after`` pauses each stream after so many of its events,
    ``slow`` makes it take so many times as long,
    ``cut_after`` cuts each stream after so many events, ``answer_as`` answers
    with another attempt id, and with ``leaving`` each answer says that the
    upstream is leaving.
    """

    def __init__(self, cfg: UpstreamConfig) -> None:
        """Serve without faults."""
        self._cfg = cfg
        self._limit_headers = (
            (('Server-Limit', cfg.limit),) if cfg.limit else ()
        )
        self._running = 0
        self._faults: dict[str, Any] = {}
        self._runs: list[dict[str, Any]] = []

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'UpstreamStandin':
        """Read the arguments by their names; ``name=`` is required."""
        return cls(
            UpstreamConfig(
                cfg['name'],
                int(cfg.get('slots', '8')),
                cfg.get('crash_on', ''),
                int(cfg.get('crash_after', '0')),
                cfg.get('limit', ''),
                cfg.get('version', ''),
                int(cfg.get('born', '0')),
            )
        )

    async def run(self) -> None:
        """Return at once; there is no background work."""

    async def handle(self, req: Request) -> Response:
        """Answer one request, subject to the faults that are set."""
        if req.path == '/control':
            self._faults = await req.read_json(MAX_BODY)
            return json_response({})
        if req.path == '/runs':
            return json_response(self._runs)
        if req.path == REPORT_PATH:
            return json_response({'born': self._cfg.born})
        return await self._serve(req, await req.read(MAX_BODY))

    async def _serve(self, req: Request, body: bytes) -> Response:
        attempt_id = req.headers.get('x-attempt-id', '')
        echo = (('X-Attempt-Id', attempt_id), *self._leaving_headers)
        if req.headers.get('x-expect-instance') != self._cfg.name:
            return Response(HTTPStatus.MISDIRECTED_REQUEST, headers=echo)
        if self._running >= self._cfg.slots or self._faults.get('shed'):
            return Response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                headers=(*echo, ('X-Not-Executed', '1')),
            )
        payload = msgspec.json.decode(body or b'{}')
        last_event = int(req.headers.get('last-event-id', '0'))
        run = {
            'id': attempt_id,
            'last': last_event,
            'path': req.path,
            'body': body.decode('latin-1'),
            'at': time.time(),
            'prompt': req.headers.get('x-prompt-prefix', ''),
            'account': req.headers.get('x-tenant'),
            'key': req.headers.get('authorization'),
            'pid': os.getpid(),
            'failed': bool(self._faults.get('fail')),
            'done': False,
            'active': False,
        }
        self._runs.append(run)
        _print_run(run)
        crash_delay = payload.get('crash')
        if crash_delay is not None:
            await asyncio.sleep(crash_delay)
            os._exit(CRASHED)
        if 'silent_after' not in self._faults:
            await asyncio.sleep(self._faults.get('silent', 0))
        return self._answer(payload, run)

    @property
    def _leaving_headers(self) -> tuple[tuple[str, str], ...]:
        leaving = self._faults.get('leaving')
        return (('Server-Leaving', '1'),) if leaving else ()

    def _answer(self, payload: dict[str, Any], run: dict[str, Any]) -> Response:
        answered_id = self._faults.get('answer_as', run['id'])
        headers = (
            ('X-Attempt-Id', answered_id),
            ('X-Server-Stamp', 'stamp'),
            *self._limit_headers,
            *self._leaving_headers,
        )
        if payload.get(POISON):
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return Response(status, b'{}', headers=headers)
        if self._faults.get('fail'):
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return Response(status, b'{}', headers=headers)
        if 'events' not in payload:
            run['done'] = True
            return Response(HTTPStatus.OK, b'plain', headers=headers)
        events = self._events(payload, run)
        return Response(HTTPStatus.OK, events, EVENT_STREAM, headers)

    async def _events(
        self, payload: dict[str, Any], run: dict[str, Any]
    ) -> AsyncIterator[bytes]:
        self._running += 1
        run['active'] = True
        cut_after = self._faults.get('cut_after')
        try:
            for number in range(run['last'] + 1, payload['events'] + 1):
                await asyncio.sleep(
                    payload.get('pause', PAUSE) * self._faults.get('slow', 1)
                )
                await self._pause_after(number - 1 - run['last'])
                if cut_after is not None and number > run['last'] + cut_after:
                    raise ConnectionResetError(
                        'stream cut by the cut_after fault'
                    )
                event = encode_event(run['id'], number, self._cfg.version)
                if self._crashes(run, number):
                    yield event[: len(event) // 2]
                    await asyncio.sleep(FLUSH_TIME)
                    os._exit(CRASHED)
                yield event
            run['done'] = True
        finally:
            run['active'] = False
            self._running -= 1

    async def _pause_after(self, sent: int) -> None:
        if sent == self._faults.get('silent_after'):
            await asyncio.sleep(self._faults.get('silent', 0))

    def _crashes(self, run: dict[str, Any], number: int) -> bool:
        """Return whether the process ends within event ``number`` of a run."""
        parts = [entry.split(':')[0] for entry in run['prompt'].split(',')]
        after = run['last'] + self._cfg.crash_after
        return self._cfg.crash_on in parts[:-1] and number > after


def _print_run(run: dict[str, Any]) -> None:
    """Print the run, so that it can be read after this process has ended."""
    line = msgspec.json.encode(run).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def encode_event(attempt_id: str, number: int, version: str = '') -> bytes:
    """Encode one server-sent event of an attempt's stream."""
    text = f'{attempt_id}-{number}'
    if version:
        text = f'{text}@{version}'
    return f'id: {number}\ndata: {text}\n\n'.encode()
