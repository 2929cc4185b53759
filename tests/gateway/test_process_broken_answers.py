"""Answers that upstreams break off, with real processes."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from itertools import chain, product
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.gateway.fleet import GatewayFleet
from tests.gateway.raw_upstreams import (
    CUTS,
    EVENTS,
    FRAMINGS,
    PLAIN,
    WAYS,
    Break,
    RawUpstream,
    stream_from,
)
from tests.gateway.wire_samples import ROUTE_HOST, expected_output, job_doc
from tests.utils.http import until

OK = 200
UPSTREAMS = 8
RESUMABLE = '/chat/1'
CALLERS = ('HTTP/1.1', 'HTTP/1.0', 'closing', 'reusing')
FAST_WAYS = tuple(way for way in WAYS if way != 'silent')


class Answer(NamedTuple):
    """What a caller got; ``complete`` is what its framing says."""

    status: int
    body: bytes
    complete: bool


class Scene:
    """A fleet of one entry before upstreams that break off answers."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Break nothing yet."""
        self.fleet = fleet
        self._breaks: dict[str, Break] = {}
        self._count = 0

    async def start(self) -> None:
        """Start the fleet and replace its upstreams."""
        await self.fleet.start()
        seen: set[str] = set()
        for number, address in enumerate(self.fleet.upstreams):
            await self.fleet.standins[address].end()
            raw = RawUpstream(self.fleet, number)
            raw.share(seen, self._breaks)
            await raw.start()

    def plan(self, broken: Break | None, request_id: str = '') -> str:
        """Return the id of a request whose first answer is broken off."""
        self._count += 1
        request_id = request_id or f'r{self._count}'
        if broken is not None:
            self._breaks[request_id] = broken
        return request_id

    async def ask(
        self, broken: Break, path: str, caller: str, last_event: int = 0
    ) -> tuple[str, Answer]:
        """Send a request whose first answer is broken off."""
        request_id = self.plan(broken)
        streams = await asyncio.open_connection(*self.fleet.front_address(0))
        try:
            if caller == 'reusing':
                await _exchange(streams, self.plan(None), path, caller, 0)
            answer = await _exchange(
                streams, request_id, path, caller, last_event
            )
        finally:
            streams[1].close()
        return request_id, answer


async def _exchange(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    request_id: str,
    path: str,
    caller: str,
    last_event: int,
) -> Answer:
    version = caller if caller.startswith('HTTP') else 'HTTP/1.1'
    lines = [
        f'POST {path} {version}',
        f'Host: {ROUTE_HOST}',
        f'X-Attempt-Id: {request_id}',
        'X-Deadline-Ms: 2500',
        'Content-Length: 0',
    ]
    if last_event:
        lines.append(f'Last-Event-Id: {last_event}')
    if caller == 'closing':
        lines.append('Connection: close')
    streams[1].write('\r\n'.join([*lines, '', '']).encode())
    return await _read_answer(streams[0])


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    try:
        raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (ConnectionError, asyncio.IncompleteReadError):
        return Answer(0, b'', complete=False)
    lines = raw.lower().splitlines()
    fields = dict(line.split(': ', 1) for line in lines[1:-1])
    status = int(lines[0].split()[1])
    body = bytearray()
    try:
        async for part in _iter_body(reader, fields):
            body += part
    except (ConnectionError, asyncio.IncompleteReadError):
        return Answer(status, bytes(body), complete=False)
    return Answer(status, bytes(body), complete=True)


async def _iter_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> AsyncIterator[bytes]:
    if 'content-length' in fields:
        yield await reader.readexactly(int(fields['content-length']))
    elif 'transfer-encoding' in fields:
        while size := int(await reader.readuntil(b'\r\n'), 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        yield await reader.read()


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    """Start a fleet before upstreams that break off answers."""
    fleet = GatewayFleet(tmp_path, 1, UPSTREAMS)
    started = Scene(fleet)
    try:
        await started.start()
        yield started
    finally:
        await fleet.stop()


def visible_breaks(framing: str, ways: tuple[str, ...]) -> Iterator[Break]:
    """Yield the ways to break a stream off that can be told from its end."""
    for cut, way in product(CUTS, ways):
        broken = Break(framing, cut, way)
        if not broken.is_hidden:
            yield broken


class Case(NamedTuple):
    """One request whose first answer is broken off."""

    broken: Break
    path: str
    caller: str
    last_event: int = 0

    @property
    def resumable(self) -> bool:
        """Return whether another upstream may go on with the answer."""
        return self.path == RESUMABLE


async def wrong_answers(
    scene: Scene, cases: Iterable[Case], is_right: Callable[..., bool]
) -> list[tuple[Case, Answer]]:
    """Play cases one after the other; return those with a wrong answer."""
    wrong = []
    for case in cases:
        request_id, answer = await scene.ask(*case)
        if not is_right(case, request_id, answer):
            wrong.append((case, answer))
    return wrong


def is_whole_or_cut(case: Case, request_id: str, answer: Answer) -> bool:
    """Return whether a stream is whole if it looks so, else a part of it."""
    if answer.status != OK:
        return not case.resumable
    whole = stream_from(request_id, case.last_event)
    if answer.complete:
        return answer.body == whole
    return not case.resumable and whole.startswith(answer.body)


def is_plain_or_refused(case: Case, request_id: str, answer: Answer) -> bool:
    """Return whether a plain answer is whole, or else a failure."""
    if answer.status == OK:
        return answer.complete and answer.body == PLAIN
    return answer.status in {502, 504} and case.path == '/pay/1'


@pytest.mark.parametrize('caller', CALLERS)
@pytest.mark.parametrize('framing', FRAMINGS)
async def test_resumable_stream_that_was_broken_off_is_whole(
    scene: Scene, framing: str, caller: str
) -> None:
    cases = (
        Case(broken, RESUMABLE, caller, last_event)
        for broken in visible_breaks(framing, FAST_WAYS)
        for last_event in (0, 1)
    )
    assert not await wrong_answers(scene, cases, is_whole_or_cut)


@pytest.mark.parametrize('caller', CALLERS)
@pytest.mark.parametrize('framing', FRAMINGS)
async def test_stream_that_was_broken_off_never_ends_as_complete(
    scene: Scene, framing: str, caller: str
) -> None:
    cases = (
        Case(broken, '/once/1', caller)
        for broken in visible_breaks(framing, FAST_WAYS)
    )
    assert not await wrong_answers(scene, cases, is_whole_or_cut)


@pytest.mark.parametrize('caller', CALLERS)
@pytest.mark.parametrize('framing', ['length', 'chunks', 'none'])
async def test_stream_that_falls_silent_never_ends_as_complete(
    scene: Scene, framing: str, caller: str
) -> None:
    cases = [
        Case(broken, '/once/1', caller)
        for broken in visible_breaks(framing, ('silent',))
    ]
    wrong = await asyncio.gather(
        *(wrong_answers(scene, [case], is_whole_or_cut) for case in cases)
    )
    assert not list(chain(*wrong))


@pytest.mark.parametrize('framing', ['length', 'chunks', 'none'])
@pytest.mark.parametrize('path', ['/get/1', '/pay/1'])
async def test_plain_answer_that_was_broken_off_never_ends_as_complete(
    scene: Scene, framing: str, path: str
) -> None:
    # Without framing, a plain answer that is only closed looks whole.
    ways = [way for way in FAST_WAYS if (framing, way) != ('none', 'closed')]
    cases = (
        Case(Break(framing, CUTS[1], way), path, caller)
        for way, caller in product(ways, CALLERS)
    )
    assert not await wrong_answers(scene, cases, is_plain_or_refused)


async def test_output_of_an_item_whose_answers_were_broken_off_is_whole(
    scene: Scene,
) -> None:
    job = job_doc('j', 1, EVENTS)
    breaks = list(
        chain(*(visible_breaks(framing, FAST_WAYS) for framing in FRAMINGS))
    )
    template = job['items'][0]
    job['items'] = [
        {**template, 'id': scene.plan(broken, f'j-{number}')}
        for number, broken in enumerate(breaks)
    ]
    await scene.fleet.request(0, 'j', '/lists/1', job)

    async def finished_results() -> list[dict[str, str]]:
        reply = await scene.fleet.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        listed = reply.json()['results']
        return listed if len(listed) == len(breaks) else []

    outputs = {item['id']: item for item in await until(finished_results, 60)}
    wrong = [
        (broken, outputs[f'j-{number}'])
        for number, broken in enumerate(breaks)
        if outputs[f'j-{number}']['output']
        != expected_output(f'j-{number}', EVENTS)
    ]
    assert not wrong
