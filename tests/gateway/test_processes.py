"""The promises to callers, upstreams and operators, with real processes."""

import asyncio
import base64
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from gentiantrestle.http.client import LostError
from gentiantrestle.models import Address
from standins.upstream import event
from tests.gateway.fleet import GatewayFleet, route, routes
from tests.utils.http import send, send_raw, until

ENTRIES = 3
UPSTREAMS = 2


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a small fleet; all its processes are ended after the test."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


def whole(request_id: str, events: int) -> bytes:
    """Return the whole stream of a request."""
    return b''.join(event(request_id, one + 1) for one in range(events))


async def test_each_kind_of_request_is_served_whole(
    fleet: GatewayFleet,
) -> None:
    stream = await fleet.ask(0, 'r1', body={'events': 20})
    assert (stream.status, stream.body) == (200, whole('r1', 20))
    assert stream.headers['x-server-stamp'] == 'stamp'
    plain = await fleet.ask(1, 'r2', '/get/a?b=c', method='GET')
    assert (plain.status, plain.body) == (200, b'plain')
    unknown = await fleet.ask(2, 'r3', '/none/')
    assert unknown.status == 404
    assert {run['id'] for run in await fleet.runs()} == {'r1', 'r2'}


async def test_a_cut_stream_goes_on_elsewhere_without_a_seam(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, cut_after=7)
    reply = await fleet.ask(0, 'r1', body={'events': 14})
    assert reply.body == whole('r1', 14)
    runs = await fleet.runs()
    assert sorted(run['last'] for run in runs) == [0, 7]


async def test_a_stream_that_runs_once_is_cut_and_not_run_again(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, cut_after=3)
    with pytest.raises(LostError):
        await fleet.ask(0, 'r1', '/once/1', {'events': 9})
    assert len(await fleet.runs()) == 1


async def test_an_answer_of_another_request_is_not_passed_on(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, answer_as='other')
    reply = await fleet.ask(0, 'r1', '/pay/1', {})
    assert reply.status == 502
    assert len(await fleet.runs()) == 1


async def test_a_refusal_says_not_run_only_if_it_was_not(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, shed=True)
    reply = await fleet.ask(0, 'r1', '/pay/1', {})
    assert reply.status in {429, 503}
    assert float(reply.headers['retry-after']) > 0
    assert await fleet.runs() == []


async def test_a_caller_that_leaves_ends_the_run(fleet: GatewayFleet) -> None:
    _, writer = await asyncio.open_connection(*fleet.address(0))
    writer.write(
        b'POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n'
        b'Content-Length: 28\r\n\r\n{"events":500,"pause": 0.05}'
    )
    await until(fleet.runs)
    writer.close()
    placed = [
        line
        for line in await until(lambda: ended(fleet, 0, 'r1'))
        if line['outcome'] == 'left'
    ]
    assert len(placed) == 1
    assert not (await fleet.runs())[0]['done']


def ended(fleet: GatewayFleet, entry: int, name: str) -> list[dict[str, Any]]:
    """Return the lines in which an entry says how a request ended."""
    return [
        line
        for line in fleet.entries[entry].lines()
        if line.get('request') == name and line['code'] == 5104
    ]


TWO_LENGTHS = b"""GET /get/1 HTTP/1.1\r
Host: shop.example\r
Content-Length: 3\r
Transfer-Encoding: chunked\r
\r
0\r
\r
GET /get/2 HTTP/1.1\r
"""
NEGATIVE_LENGTH = b"""GET /get/1 HTTP/1.1\r
Host: shop.example\r
Content-Length: -3\r
\r
"""


@pytest.mark.parametrize(
    'raw', [TWO_LENGTHS, NEGATIVE_LENGTH, b'no http at all\r\n\r\n']
)
async def test_what_is_not_one_request_is_refused_and_closed(
    fleet: GatewayFleet, raw: bytes
) -> None:
    answer = await send_raw(fleet.address(0), raw)
    assert answer.startswith(b'HTTP/1.1 400')
    assert answer.count(b'HTTP/1.1') == 1
    assert await fleet.runs() == []


async def test_a_slow_header_is_refused_in_time(fleet: GatewayFleet) -> None:
    answer = await send_raw(fleet.address(0), b'GET /get/1 HTTP/1.1\r\nHo')
    assert answer.startswith(b'HTTP/1.1 408')


async def test_a_configuration_is_in_force_everywhere_and_stays(
    fleet: GatewayFleet,
) -> None:
    await fleet.configure([*routes(), route(name='new', path_prefix='/new/')])
    for number in range(ENTRIES):
        await until(lambda one=number: serves(fleet, one, '/new/'))
    await fleet.harm_store(down=True)
    await fleet.entries[0].end()
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    assert await serves(fleet, 0, '/new/')


async def serves(fleet: GatewayFleet, entry: int, path: str) -> bool:
    """Tell whether an entry serves a path."""
    reply = await fleet.ask(entry, f'r-{entry}', path, {'events': 1})
    return reply.status == 200


def heard_draining(fleet: GatewayFleet, entry: int) -> bool:
    """Tell whether an entry has heard of an upstream that leaves."""
    return any(
        line.get('draining') == 1 for line in fleet.entries[entry].lines()
    )


async def test_a_leaving_upstream_gets_no_new_work(
    fleet: GatewayFleet,
) -> None:
    await fleet.register(0, 'draining')
    await until(lambda: heard_draining(fleet, 0))
    for number in range(6):
        await fleet.ask(0, f'r{number}', '/get/1', method='GET')
    runs = (await send(fleet.upstreams[0], 'GET', '/runs')).json()
    assert runs == []


async def test_a_planned_stop_cuts_nothing(fleet: GatewayFleet) -> None:
    stream = asyncio.create_task(
        fleet.ask(0, 'r1', body={'events': 60, 'pause': 0.05})
    )
    await until(fleet.runs)
    stopped = asyncio.create_task(fleet.entries[0].end(signal.SIGTERM))
    late = await fleet.ask(0, 'r2', body={'events': 3})
    assert late.body == whole('r2', 3)
    assert (await stream).body == whole('r1', 60)
    assert await stopped == 0


def job(name: str, count: int, events: int, **item: Any) -> dict[str, Any]:
    """Return a batch job as callers hand it in."""
    body = f'{{"events":{events}}}'.encode()
    return {
        'items': [
            {
                'id': f'{name}-{number}',
                'path': '/lists/x',
                'headers': {},
                'body': base64.b64encode(body).decode(),
                'token-count': 10,
                **item,
            }
            for number in range(count)
        ],
    }


async def read_all(
    fleet: GatewayFleet, entry: int, name: str
) -> dict[str, str]:
    """Return a job's outputs by item, once all are listed."""

    async def look() -> dict[str, Any] | None:
        path = f'/gentiantrestle/lots/{name}?after=0'
        page = await fleet.ask(entry, 'read', path, method='GET')
        if page.status != 200:
            return None
        told = page.json()
        return told if told['next'] == told['total'] else None

    page = await until(look)
    return {row['id']: row['output'] for row in page['results']}


def output(item: str, events: int) -> str:
    """Return the whole output of an item."""
    return '\n'.join(f'{item}-{one + 1}' for one in range(events))


async def test_a_job_is_accepted_once_and_read_anywhere(
    fleet: GatewayFleet,
) -> None:
    for entry in (0, 1, 0):
        reply = await fleet.ask(entry, 'job1', '/lists/j', job('job1', 6, 9))
        assert reply.status == 202
    for entry in range(ENTRIES):
        found = await read_all(fleet, entry, 'job1')
        assert found == {
            f'job1-{one}': output(f'job1-{one}', 9) for one in range(6)
        }
    body = await fleet.ask(
        2, 'b', '/gentiantrestle/items/job1?id=job1-3', method='GET'
    )
    assert body.body == b'{"events":9}'


async def test_an_accepted_job_outlives_its_acceptor(
    fleet: GatewayFleet,
) -> None:
    reply = await fleet.ask(0, 'job1', '/lists/j', job('job1', 4, 40))
    assert reply.status == 202
    await fleet.entries[0].end()
    found = await read_all(fleet, 1, 'job1')
    assert found['job1-0'] == output('job1-0', 40)
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    assert await read_all(fleet, 0, 'job1') == found


async def test_an_item_goes_on_at_its_event_after_a_cut(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, cut_after=10)
    await fleet.ask(0, 'job1', '/lists/j', job('job1', 1, 25))
    found = await read_all(fleet, 0, 'job1')
    assert found['job1-0'] == output('job1-0', 25)
    assert sorted(run['last'] for run in await fleet.runs()) == [0, 10, 20]


async def test_items_that_can_never_be_done_end(fleet: GatewayFleet) -> None:
    poison = base64.b64encode(b'{"poison":1}').decode()
    await fleet.ask(0, 'job1', '/lists/j', job('job1', 1, 1, body=poison))
    assert await read_all(fleet, 1, 'job1') == {'job1-0': ''}
    for number in range(UPSTREAMS):
        await fleet.harm(number, fail=True)
    await fleet.ask(0, 'job2', '/lists/j', job('job2', 1, 1))
    assert await read_all(fleet, 1, 'job2') == {'job2-0': ''}
    runs = [run for run in await fleet.runs() if run['id'] == 'job2-0']
    assert len(runs) == 3


async def test_an_ended_job_stops(fleet: GatewayFleet) -> None:
    slow = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    await fleet.ask(0, 'job1', '/lists/j', job('job1', 3, 1, body=slow))
    await until(lambda: busy(fleet))
    for _ in range(2):
        reply = await fleet.ask(
            1, 'end', '/gentiantrestle/lots/job1', method='DELETE'
        )
        assert reply.status == 200
    # The items would run for 20 s more.
    await until(lambda: idle(fleet), timeout=5)


async def busy(fleet: GatewayFleet) -> bool:
    """Tell whether an upstream is at work."""
    return not await idle(fleet)


async def idle(fleet: GatewayFleet) -> bool:
    """Tell whether no upstream is at work any more."""
    return not any(run['active'] for run in await fleet.runs())


async def test_without_store_a_job_is_refused_and_reads_are_unsure(
    fleet: GatewayFleet,
) -> None:
    await fleet.harm_store(down=True)
    reply = await fleet.ask(0, 'job1', '/lists/j', job('job1', 1, 1))
    assert reply.status == 503
    page = await fleet.ask(
        0, 'read', '/gentiantrestle/lots/job1?after=0', method='GET'
    )
    assert page.status == 503


async def test_a_lost_answer_of_the_store_is_not_called_refused(
    fleet: GatewayFleet,
) -> None:
    await fleet.harm_store(lose=1, silence=3)
    reply = await fleet.ask(0, 'job1', '/lists/j', job('job1', 1, 4))
    assert reply.status == 502
    again = await fleet.ask(1, 'job1', '/lists/j', job('job1', 1, 4))
    assert again.status == 202
    assert await read_all(fleet, 1, 'job1') == {'job1-0': output('job1-0', 4)}


async def test_a_dropped_history_loses_no_change(fleet: GatewayFleet) -> None:
    await fleet.harm_store(compact=True)
    await fleet.configure([*routes(), route(name='new', path_prefix='/new/')])
    for number in range(ENTRIES):
        await until(lambda one=number: serves(fleet, one, '/new/'))


async def test_a_request_can_be_followed_through_the_log(
    fleet: GatewayFleet,
) -> None:
    await fleet.harm(0, cut_after=2)
    await fleet.harm(1, cut_after=2)
    with pytest.raises(LostError):
        await fleet.ask(0, 'r1', '/once/1', {'events': 9})
    lines = await until(
        lambda: [
            line
            for line in fleet.entries[0].lines()
            if line.get('request') == 'r1' and ended(fleet, 0, 'r1')
        ]
    )
    assert [line['code'] for line in lines] == [5101, 5103, 5104]
    assert lines[1]['step'] == 'cut'
    assert lines[1]['upstream'] in {'u-0', 'u-1'}
    assert lines[2]['version'] == 1


async def test_metrics_count_requests_and_their_time(
    fleet: GatewayFleet,
) -> None:
    await fleet.ask(0, 'r1', '/get/1', method='GET')
    page = await send(Address(fleet.hosts[0], 9464), 'GET', '/metrics')
    text = page.body.decode()
    assert 'gateway_requests_total{' in text
    assert 'outcome="done"' in text
    assert 'gateway_request_seconds_bucket' in text
    assert 'gentiantrestle_gateway_store_connected' in text


async def test_a_stopped_instance_is_not_ready_while_it_serves(
    fleet: GatewayFleet,
) -> None:
    assert await fleet.is_ready(0)
    stopped = asyncio.create_task(fleet.entries[0].end(signal.SIGTERM))
    await until(lambda: not_ready(fleet, 0))
    assert (await fleet.ask(0, 'r1', '/get/1', method='GET')).status == 200
    assert await stopped == 0


async def not_ready(fleet: GatewayFleet, entry: int) -> bool:
    """Tell whether an entry says that callers may not come."""
    return not await fleet.is_ready(entry)


async def test_a_caller_that_leaves_before_the_answer_is_noticed(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, silent=20)
    _, writer = await asyncio.open_connection(*fleet.address(0))
    writer.write(
        b'POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n'
        b'Content-Length: 2\r\n\r\n{}'
    )
    await until(fleet.runs)
    writer.close()
    # Far below the deadline of 5 s, at which the request would end anyway.
    lines = await until(lambda: ended(fleet, 0, 'r1'), timeout=2)
    assert [line['outcome'] for line in lines] == ['left']


def in_force(fleet: GatewayFleet, entry: int, version: int) -> bool:
    """Tell whether an entry has said that a version is in force."""
    return any(
        line['code'] == 4001 and line['revision'] == version
        for line in fleet.entries[entry].lines()
    )


async def test_a_quota_holds_over_all_instances(fleet: GatewayFleet) -> None:
    listed = routes()
    listed[-1]['max-count'] = 60
    await fleet.configure(listed)
    for number in range(ENTRIES):
        await until(lambda one=number: in_force(fleet, one, 2))
    slow = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    statuses = []
    for number in range(6):
        name = f'job{number}'
        reply = await fleet.ask(
            number % ENTRIES, name, '/lists/j', job(name, 2, 1, body=slow)
        )
        statuses.append(reply.status)
    # Each job asks for 20 tokens, and instances hear of jobs a second late.
    assert statuses == [202, 202, 202, 429, 429, 429]
