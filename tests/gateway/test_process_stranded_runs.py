"""Streams and requests that run once at instances without a path."""

import asyncio
import signal
from collections.abc import AsyncIterator
from http import HTTPStatus
from itertools import count
from pathlib import Path
from types import MappingProxyType

import pytest

from tests.gateway.crowd import CONTACT_TIME, FAILURES
from tests.gateway.paths import Mode, PathFleet, started_paths
from tests.gateway.wire_samples import (
    ROUTE_HOST,
    expected_stream,
    route_docs,
)
from tests.utils.http import Reply, until

ENTRIES, UPSTREAMS = 3, 3
EVENTS = 30
PAUSE = 0.1  # seconds between events
BEFORE_CUT = 1.0  # seconds of a stream
ROUTE_TIMEOUT = 12000  # ms
INTERVAL = 0.05  # seconds between two requests
CANCEL_TIME = 0.5  # seconds until a run ends that nobody reads
ANSWER_TIME = 0.3  # seconds that upstreams take for a plain answer
FOLLOWING = 1.5  # seconds in which a refused request must not run later
# These promise that the request has not run and won't.
PROMISES = frozenset((408, 421, 429, 503))
UNKNOWN = frozenset((502, 504))
MIN_SHARE = 2 / 3
CUTS = (Mode.SILENT, Mode.REFUSING, Mode.REFUSING_NEW)
LONG_DEADLINE = MappingProxyType({'X-Deadline-Ms': str(ROUTE_TIMEOUT)})
SHORT_DEADLINE = MappingProxyType({'X-Deadline-Ms': '2000'})
BODY = {'events': EVENTS, 'pause': PAUSE}


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[PathFleet]:
    """Start three entries before three upstreams, with long time limits."""
    async with started_paths(tmp_path, ENTRIES, UPSTREAMS) as started:
        routes = [
            route | {'timeout-ms': ROUTE_TIMEOUT} for route in route_docs()
        ]
        await started.configure(routes)
        await asyncio.sleep(BEFORE_CUT)
        yield started


def _stream(fleet: PathFleet, request_id: str) -> asyncio.Task[Reply]:
    """Ask entry 0 for a stream of some seconds."""
    return asyncio.create_task(
        fleet.request(0, request_id, body=BODY, **LONG_DEADLINE)
    )


async def _runs_of(fleet: PathFleet, request_id: str) -> list[dict[str, int]]:
    return [run for run in await fleet.runs() if run['id'] == request_id]


@pytest.mark.parametrize('mode', [Mode.SILENT, Mode.REFUSING])
async def test_stream_goes_on_elsewhere_when_its_instance_is_cut_off(
    fleet: PathFleet, mode: Mode
) -> None:
    asking = [_stream(fleet, f's{number}') for number in range(4)]
    await asyncio.sleep(BEFORE_CUT)
    await fleet.cut(mode, entries=(0,))
    replies = await asyncio.gather(*asking, return_exceptions=True)
    bodies = [getattr(reply, 'body', reply) for reply in replies]
    assert bodies == [expected_stream(f's{one}', EVENTS) for one in range(4)]


async def test_stream_goes_on_where_it_is_when_only_new_connections_fail(
    fleet: PathFleet,
) -> None:
    asking = [_stream(fleet, f's{number}') for number in range(4)]
    await asyncio.sleep(BEFORE_CUT)
    await fleet.cut(Mode.REFUSING_NEW, entries=(0,))
    others = [_stream(fleet, f't{number}') for number in range(4)]
    bodies = [reply.body for reply in await asyncio.gather(*asking)]
    assert bodies == [expected_stream(f's{one}', EVENTS) for one in range(4)]
    for number in range(4):
        assert fleet.served_by(f's{number}') == [0]
    await asyncio.gather(*others, return_exceptions=True)


class OnceCaller:
    """Sends requests that may not be repeated to entry 0, until stopped."""

    def __init__(self, fleet: PathFleet) -> None:
        """Send nothing yet."""
        self._fleet = fleet
        self._numbers = count()
        self._running: list[asyncio.Task[None]] = []
        self.statuses: dict[str, int] = {}

    async def send_for(self, seconds: float) -> list[str]:
        """Send requests for some seconds; return their ids."""
        sent = []
        async with asyncio.timeout(seconds + 1):
            for _ in range(int(seconds / INTERVAL)):
                sent.append(f'once{next(self._numbers)}')
                self._running.append(asyncio.create_task(self._send(sent[-1])))
                await asyncio.sleep(INTERVAL)
        return sent

    async def wait_for_answers(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._running)

    async def finish(self) -> None:
        """Wait for all answers, and for what runs later though refused."""
        await self.wait_for_answers()
        await asyncio.sleep(FOLLOWING)

    async def check(self) -> None:
        """Check that all are answered, refused truly, and run once at most."""
        runs = [run['id'] for run in self._fleet.printed_runs()]
        ran = {name: runs.count(name) for name in self.statuses}
        assert max(ran.values()) <= 1
        for name, status in self.statuses.items():
            assert status in {HTTPStatus.OK} | PROMISES | UNKNOWN, name
            assert not (status in PROMISES and ran[name]), name

    def share(self, names: list[str]) -> float:
        """Return the share of requests that were served."""
        served = [self.statuses[name] == HTTPStatus.OK for name in names]
        return sum(served) / len(served)

    async def _send(self, name: str) -> None:
        try:
            reply = await self._fleet.request(
                0, name, '/pay/1', {}, **SHORT_DEADLINE
            )
        except FAILURES:
            self.statuses[name] = 0
        else:
            self.statuses[name] = reply.status


@pytest.mark.parametrize('mode', CUTS)
async def test_request_that_may_run_once_is_answered_over_a_cut(
    fleet: PathFleet, mode: Mode
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=ANSWER_TIME)
    caller = OnceCaller(fleet)
    await caller.send_for(BEFORE_CUT)
    await fleet.cut(mode, entries=(0,))
    await caller.send_for(CONTACT_TIME)
    late = await caller.send_for(2)
    await caller.wait_for_answers()
    await fleet.cut(Mode.SOUND)
    back = await caller.send_for(1)
    await caller.finish()
    await caller.check()
    assert caller.share(late) >= MIN_SHARE
    assert caller.share(back) == 1


@pytest.mark.parametrize('mode', CUTS)
async def test_caller_that_leaves_a_cut_off_instance_ends_the_run(
    fleet: PathFleet, mode: Mode
) -> None:
    await fleet.cut(mode, entries=(0,))
    await _until_served(fleet)
    _, writer = await asyncio.open_connection(*fleet.front_address(0))
    body = b'{"events":100,"pause":0.1}'
    head = (
        f'POST /chat/1 HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Attempt-Id: left\r\n'
        f'X-Deadline-Ms: {ROUTE_TIMEOUT}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await until(lambda: _is_active(fleet, 'left'), timeout=2)
    writer.transport.abort()
    await asyncio.sleep(CANCEL_TIME)
    assert not await _is_active(fleet, 'left')


async def _until_served(fleet: PathFleet) -> None:
    """Send to entry 0 until the contact time is over."""
    names = (f'warm{number}' for number in count())
    async with asyncio.timeout(CONTACT_TIME + ROUTE_TIMEOUT / 1000):
        for _ in range(int(CONTACT_TIME / INTERVAL)):
            asking = asyncio.create_task(
                fleet.request(0, next(names), body={'events': 1})
            )
            asking.add_done_callback(_ignore_failure)
            await asyncio.sleep(INTERVAL)


def _ignore_failure(asking: asyncio.Task[Reply]) -> None:
    if not asking.cancelled():
        asking.exception()


async def _is_active(fleet: PathFleet, request_id: str) -> bool:
    return any(run['active'] for run in await _runs_of(fleet, request_id))


async def _harm_peer(fleet: PathFleet, peer: int, how: str) -> None:
    """Stop, kill or cut off an entry that serves others' requests."""
    if how == 'cut off':
        await fleet.cut(Mode.SILENT, entries=(peer,))
    elif how == 'stopped':
        fleet.entries[peer].process.send_signal(signal.SIGTERM)
    else:
        await fleet.entries[peer].end()


@pytest.mark.parametrize('how', ['stopped', 'killed', 'cut off'])
async def test_streams_passed_on_outlast_the_peer_that_serves_them(
    fleet: PathFleet, how: str
) -> None:
    await fleet.cut(Mode.SILENT, entries=(0,))
    await _until_served(fleet)
    asking = [_stream(fleet, f's{number}') for number in range(4)]
    await asyncio.sleep(BEFORE_CUT)
    peers = [entry for one in range(4) for entry in fleet.served_by(f's{one}')]
    assert peers
    assert 0 not in peers
    await _harm_peer(fleet, peers[0], how)
    replies = await asyncio.gather(*asking, return_exceptions=True)
    bodies = [getattr(reply, 'body', reply) for reply in replies]
    assert bodies == [expected_stream(f's{one}', EVENTS) for one in range(4)]


@pytest.mark.parametrize('how', ['stopped', 'killed', 'cut off'])
async def test_request_that_may_run_once_outlasts_the_peer_that_serves_it(
    fleet: PathFleet, how: str
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=ANSWER_TIME)
    caller = OnceCaller(fleet)
    await fleet.cut(Mode.SILENT, entries=(0,))
    first = await caller.send_for(CONTACT_TIME + BEFORE_CUT)
    peers = [
        passage.entry
        for passage in fleet.passages()
        if passage.request_id in first
    ]
    assert peers
    await _harm_peer(fleet, peers[-1], how)
    await caller.send_for(CONTACT_TIME)
    late = await caller.send_for(1)
    await caller.finish()
    await caller.check()
    assert caller.share(late) >= MIN_SHARE
    # A planned stop leaves no outcome unknown.
    if how == 'stopped':
        assert not UNKNOWN & set(caller.statuses.values())
