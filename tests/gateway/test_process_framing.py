"""Answers that end with their connection, with real processes."""

from collections.abc import AsyncIterator
from itertools import pairwise
from pathlib import Path

import pytest

from gentiantrestle.gateway.sse import MAX_EVENT
from gentiantrestle.gateway.upstream_connection import MAX_BODY
from gentiantrestle.http.client import ConnectionLostError
from tests.gateway.scripted import ScriptedUpstream, scripted_upstream
from tests.gateway.wire_samples import (
    expected_output,
    expected_stream,
    job_doc,
)
from tests.utils.http import until


@pytest.fixture
async def upstream(tmp_path: Path) -> AsyncIterator[ScriptedUpstream]:
    """Start a fleet of one entry before an upstream that sends raw bytes."""
    async with scripted_upstream(tmp_path) as scripted:
        yield scripted


async def test_stream_that_ends_with_its_connection_is_served_whole(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 3)]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == expected_stream('r1', 3)


async def test_plain_answer_that_ends_with_its_connection_is_served_whole(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [b'plain']
    reply = await upstream.fleet.request(0, 'r1', '/get/1', {})
    assert (reply.status, reply.body) == (200, b'plain')


async def test_plain_answer_that_is_reset_is_not_served(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [b'pla']
    upstream.reset = True
    reply = await upstream.fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status == 502


async def test_empty_plain_answer_that_ends_with_its_connection_is_lost(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [b'', b'plain']
    reply = await upstream.fleet.request(0, 'r1', '/get/1', {})
    assert (reply.status, reply.body) == (200, b'plain')


async def test_empty_answer_without_framing_is_no_answer_to_run_once(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [b'']
    reply = await upstream.fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status == 502


@pytest.mark.parametrize(
    ('method', 'status'),
    [('GET', b'204 No Content'), ('GET', b'404 Gone'), ('HEAD', b'200 OK')],
)
async def test_answer_that_needs_no_body_is_served_without_framing(
    upstream: ScriptedUpstream, method: str, status: bytes
) -> None:
    upstream.answers = [
        b'HTTP/1.1 ' + status + b'\r\nX-Attempt-Id: r1\r\n'
        b'X-Server-Stamp: stamp\r\n\r\n'
    ]
    reply = await upstream.fleet.request(0, 'r1', '/get/1', method=method)
    assert reply.status == int(status.split()[0])
    assert len(upstream.requests) == 1


@pytest.mark.parametrize('path', ['/get/1', '/chat/1'])
async def test_head_that_stops_anywhere_is_no_answer(
    upstream: ScriptedUpstream, path: str
) -> None:
    whole = (
        b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 12\r\n\r\n'
    )
    heads = [whole[:size] for size in range(8, len(whole))]
    for number, head in enumerate(heads):
        # A safe request is sent on as often as its route allows.
        upstream.answers = [head] * 4
        try:
            reply = await upstream.fleet.request(0, f'r{number}', path, {})
        except ConnectionLostError:
            continue
        assert reply.status in {502, 503}


@pytest.mark.parametrize('cut', [1, 5, -1])
async def test_stream_that_ends_inside_an_event_is_resumed(
    upstream: ScriptedUpstream, cut: int
) -> None:
    whole = expected_stream('r1', 3)
    first = expected_stream('r1', 2)
    end = len(first) + cut if cut > 0 else cut
    upstream.answers = [whole[:end], whole[len(first) :]]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == whole
    assert b'last-event-id: 2' in upstream.requests[1]


async def test_stream_without_events_that_ends_with_its_connection_is_lost(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [b'', expected_stream('r1', 2)]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == expected_stream('r1', 2)


async def test_stream_that_ends_inside_an_event_is_cut_if_not_resumable(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 2)[:-1]]
    with pytest.raises(ConnectionLostError):
        await upstream.fleet.request(0, 'r1', '/once/1', {})


async def test_event_without_end_is_lost_before_it_fills_memory(
    upstream: ScriptedUpstream,
) -> None:
    whole = expected_stream('r1', 3)
    first = expected_stream('r1', 1)
    endless = first + b'data: ' + bytes(2 * MAX_EVENT)
    upstream.answers = [endless, whole[len(first) :]]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == whole
    assert b'last-event-id: 1' in upstream.requests[1]
    lost = upstream.fleet.entries[0].log_lines()
    assert any('no end of an event' in str(line.get('reason')) for line in lost)


async def test_plain_answer_without_end_is_lost_before_it_fills_memory(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [bytes(MAX_BODY + 1), b'plain']
    size = len((await upstream.fleet.request(0, 'r1', '/get/1', {})).body)
    assert size == len(b'plain')
    assert len(upstream.requests) == 2


async def read_outputs(upstream: ScriptedUpstream) -> list[str]:
    """Return the outputs of the job, once it has some."""

    async def outputs() -> list[str]:
        reply = await upstream.fleet.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        return [item['output'] for item in reply.json()['results']]

    return await until(outputs)


async def test_item_with_all_its_events_is_completed_by_empty_answers(
    upstream: ScriptedUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 2) + b'id', b'', b'']
    job = job_doc('j', 1, 2, id='r1')
    await upstream.fleet.request(0, 'j', '/lists/1', job)
    assert await read_outputs(upstream) == [expected_output('r1', 2)]
    assert len(upstream.requests) == 3


# MIXED: empty answers were counted over events that came between them.
async def test_item_is_not_completed_by_empty_answers_between_its_events(
    upstream: ScriptedUpstream,
) -> None:
    ends = [len(expected_stream('r1', count)) for count in range(4)]
    events = [
        expected_stream('r1', 3)[begin:end] for begin, end in pairwise(ends)
    ]
    upstream.answers = [
        events[0] + b'id',
        b'',
        events[1] + b'id',
        b'',
        events[2],
    ]
    job = job_doc('j', 1, 3, id='r1')
    await upstream.fleet.request(0, 'j', '/lists/1', job)
    assert await read_outputs(upstream) == [expected_output('r1', 3)]
