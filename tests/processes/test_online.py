"""Online requests against real processes: answers, failures and restarts."""

import asyncio
import signal

import pytest

from gentiantrestle.http.client import ConnectionLostError
from standins.engine import token_text
from tests.utils.fleet import OPERATOR_KEY, Fleet, job_lines
from tests.utils.http import Reply, send, until

PROMPT = 'sort a spare room'


def _text(prompt: str, count: int) -> str:
    return ''.join(token_text(prompt, index) for index in range(count))


async def _complete(
    fleet: Fleet,
    index: int,
    prompt: str = PROMPT,
    tokens: int = 5,
    stream: bool = True,
    **headers: str,
) -> Reply:
    body = {
        'model': headers.pop('model', 'chat'),
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': stream,
    }
    return await fleet.call(
        index,
        'POST',
        '/v1/completions',
        body,
        **headers,
    )


async def _request_quote(fleet: Fleet, index: int, key: str) -> Reply:
    return await fleet.call(
        index,
        'POST',
        '/v1/services/book/quote',
        b'quote',
        idempotency_key=key,
    )


async def test_stream_and_whole_answer_are_complete(start_fleet) -> None:
    fleet = await start_fleet('a1')
    reply = await _complete(fleet, 0)
    assert reply.status == 200
    assert reply.headers['content-type'] == 'text/event-stream'
    assert reply.body.endswith(b'data: [DONE]\n\n')
    whole = await _complete(fleet, 0, stream=False)
    assert whole.json()['choices'][0]['text'] == _text(PROMPT, 5)


async def test_concurrent_callers_get_the_answers_to_their_prompts(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    prompts = [f'note {index}' for index in range(60)]
    replies = await asyncio.gather(
        *(
            _complete(fleet, index % 3, prompt, stream=False)
            for index, prompt in enumerate(prompts)
        )
    )
    for prompt, reply in zip(prompts, replies, strict=True):
        assert reply.json()['choices'][0]['text'] == _text(prompt, 5)


async def test_cut_stream_ends_with_an_error_event(start_fleet) -> None:
    fleet = await start_fleet('a1')
    await fleet.control_engine(0, cut_after=2)
    reply = await _complete(fleet, 0)
    assert b'[DONE]' not in reply.body
    assert b'event: error' in reply.body
    assert b'"type":"cut_short"' in reply.body
    assert b'"run":"unknown"' in reply.body


async def test_half_event_of_a_cut_stream_does_not_hide_its_error_event(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1')
    await fleet.control_engine(0, cut_after=2, cut_inside=9)
    reply = await _complete(fleet, 0)
    *sent, error, end = reply.body.split(b'\n\n')
    assert [event[:7] for event in sent] == [b'data: {'] * 2
    assert error.startswith(b'event: error\n')
    assert not end


async def test_request_that_an_engine_ran_is_not_called_not_run(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1', 'a1')
    await fleet.engine_process(1).end()
    await fleet.control_engine(0, cut_after=0)
    prompts = [f'note {number}' for number in range(8)]
    replies = [await _complete(fleet, 0, prompt) for prompt in prompts]
    stats = await send(fleet.engines[0], 'GET', '/stats')
    ran = [prompt in stats.json()['runs'] for prompt in prompts]
    errors = [reply.json()['error'] for reply in replies]
    assert [error['run'] == 'unknown' for error in errors] == ran
    assert any(ran)


async def test_stream_that_trickles_without_an_event_is_given_up(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1', daemon_flags=('--stall_timeout=1',))
    await fleet.control_engine(0, trickle=True)
    async with asyncio.timeout(5):
        reply = await _complete(fleet, 0)
    assert reply.status == 502


async def test_error_without_end_is_given_up_before_it_fills_memory(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1')
    await fleet.control_engine(0, endless=True)
    async with asyncio.timeout(5):
        reply = await _complete(fleet, 0)
    assert reply.status == 502


async def test_requests_succeed_when_an_engine_is_down(start_fleet) -> None:
    fleet = await start_fleet()
    dead = fleet.engine_process(1)
    await dead.end()
    replies = await asyncio.gather(
        *(_complete(fleet, index % 3) for index in range(30))
    )
    assert all(reply.body.endswith(b'[DONE]\n\n') for reply in replies)


async def test_concurrent_resends_to_all_instances_run_once(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    replies = await asyncio.gather(
        *(_request_quote(fleet, index % 3, 'quote-1') for index in range(6))
    )
    assert {reply.status for reply in replies} == {200}
    assert len({reply.body for reply in replies}) == 1
    assert await fleet.service_runs() == {'quote': 1}


async def test_key_reused_for_another_body_is_a_conflict(start_fleet) -> None:
    fleet = await start_fleet()
    await _request_quote(fleet, 0, 'key')
    other = await fleet.call(
        1,
        'POST',
        '/v1/services/book/quote',
        b'another quote',
        idempotency_key='key',
    )
    assert other.status == 409
    assert other.json()['error']['type'] == 'idempotency_key_reused'


async def test_lost_service_answer_is_reported_as_unknown_and_not_rerun(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.control_service(drop=True)
    first = await _request_quote(fleet, 0, 'key')
    assert first.status == 502
    assert first.headers['x-run'] == 'unknown'
    await fleet.control_service(drop=False)
    again = await _request_quote(fleet, 1, 'key')
    assert again.headers['x-run'] == 'unknown'
    assert await fleet.service_runs() == {'quote': 1}


async def test_outcome_is_unknown_when_the_claiming_instance_is_killed(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.control_service(delay=2)
    first = asyncio.create_task(_request_quote(fleet, 0, 'key'))
    await until(lambda: fleet.service_runs())
    await fleet.daemons[0].end()
    with pytest.raises(ConnectionLostError):
        await first
    again = await _request_quote(fleet, 1, 'key')
    assert again.status == 409
    assert again.headers['x-run'] == 'unknown'
    await fleet.start_daemon(0)
    await until(lambda: fleet.is_ready(0))
    third = await _request_quote(fleet, 0, 'key')
    assert third.headers['x-run'] == 'unknown'
    assert await fleet.service_runs() == {'quote': 1}


async def test_request_runs_once_when_the_claim_answer_is_lost(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(lose=1)
    reply = await _request_quote(fleet, 0, 'key')
    assert reply.status == 200
    assert await fleet.service_runs() == {'quote': 1}


async def test_store_outage_refuses_only_requests_with_a_key(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(outage=True)
    assert (await _complete(fleet, 0)).status == 200
    refused = await _request_quote(fleet, 0, 'key')
    assert refused.status == 503
    assert refused.headers['x-run'] == 'not run'
    assert not await fleet.service_runs()
    await fleet.control_platform(outage=False)
    assert (await _request_quote(fleet, 1, 'key')).status == 200


async def test_planned_stop_completes_running_streams(start_fleet) -> None:
    fleet = await start_fleet(engine_words=('step=0.02',))
    streams = [
        asyncio.create_task(_complete(fleet, 0, f'p{index}', 50))
        for index in range(6)
    ]
    await until(lambda: fleet.engine_runs())
    status = await fleet.daemons[0].end(signal.SIGTERM)
    assert status == 0
    for reply in await asyncio.gather(*streams):
        assert reply.body.endswith(b'data: [DONE]\n\n')


@pytest.mark.parametrize(
    'zones',
    [('a1',) * 3, ('a1', 'a2', 'b1') * 3],
    ids=['three', 'nine'],
)
async def test_rolling_restart_under_load_cuts_no_answer(
    start_fleet,
    zones: tuple[str, ...],
) -> None:
    fleet = await start_fleet(*zones)
    size = len(zones)
    replies: list[Reply] = []
    stopping: set[int] = set()
    finished = asyncio.Event()

    async def load(worker: int) -> None:
        daemon = worker
        while not finished.is_set():
            daemon = (daemon + 1) % size
            if daemon not in stopping:
                replies.append(await _complete(fleet, daemon, f'w{worker}'))

    job = (await fleet.submit(0, job_lines(60, 20), 'job')).json()['id']
    workers = [asyncio.create_task(load(worker)) for worker in range(4)]
    for index in range(size):
        stopping.add(index)
        assert await fleet.daemons[index].end(signal.SIGTERM) == 0
        await fleet.start_daemon(index)
        await until(lambda index=index: fleet.is_ready(index))
        stopping.discard(index)
    finished.set()
    await asyncio.gather(*workers)
    refused = [reply for reply in replies if reply.status != 200]
    assert all(reply.headers['x-run'] == 'not run' for reply in refused)
    whole = [reply for reply in replies if reply.status == 200]
    assert whole
    assert all(reply.body.endswith(b'[DONE]\n\n') for reply in whole)
    status = await fleet.wait_for_job(0, job)
    assert status['request_counts']['completed'] == 60


async def test_leaving_engine_gets_no_new_work(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.control_engine(1, leaving=5)
    replies = await asyncio.gather(
        *(_complete(fleet, 0, f'p{index}') for index in range(12))
    )
    assert {reply.status for reply in replies} == {200}
    leaving = {
        upstream['upstream']: upstream['leaving']
        for upstream in (await fleet.status(0))['upstreams']
    }
    assert leaving == {'e0': False, 'e1': True, 'e2': False, 's0': False}
    before = await fleet.engine_refusals(1)
    await asyncio.gather(
        *(_complete(fleet, 0, f'q{index}') for index in range(12))
    )
    assert await fleet.engine_refusals(1) == before


async def test_report_counts_good_and_bad_answers(start_fleet) -> None:
    fleet = await start_fleet()
    for index in range(6):
        await _complete(fleet, index % 3)
    for index in range(3):
        await fleet.control_engine(index, cut_after=1)
    await _complete(fleet, 1)
    for index in range(3):
        await fleet.control_engine(index, cut_after=None)
    job = (await fleet.submit(0, job_lines(9, 2000), 'job')).json()['id']

    async def report() -> dict | None:
        target = '/admin/report?scope=fleet'
        reply = await fleet.call(2, 'GET', target, key=OPERATOR_KEY)
        return reply.json() if reply.json()['jobs'] else None

    found_report = await until(report)
    rows = {
        (row['endpoint'], row['objective'], row['window']): row
        for row in found_report['rows']
    }
    row = rows['chat', 'availability', 300]
    assert (row['good'], row['bad']) == (6, 1)
    assert row['burn'] == pytest.approx(1 / 7 / 0.001)
    assert [risk['job'] for risk in found_report['jobs']] == [job]
    page = await fleet.call(
        0,
        'GET',
        '/admin/report.html',
        key=OPERATOR_KEY,
    )
    assert b'<svg' in page.body


async def test_live_list_marks_leaving_until_a_newer_incarnation(
    start_fleet,
) -> None:
    fleet = await start_fleet()

    async def write_live_list(state: str, incarnation: int) -> None:
        entry = {'state': state, 'incarnation': incarnation}
        await fleet.write_object(
            'live/a1',
            {
                'region': 'a',
                'upstreams': {'e1': entry},
            },
        )

    async def is_leaving(index: int) -> bool:
        status = await fleet.status(index)
        return any(
            upstream['leaving']
            for upstream in status['upstreams']
            if upstream['upstream'] == 'e1'
        )

    await write_live_list('leaving', 1)
    for index in range(3):
        await until(lambda index=index: is_leaving(index))
    await write_live_list('live', 1)
    await write_live_list('live', 2)

    async def is_back(index: int) -> bool:
        return not await is_leaving(index)

    for index in range(3):
        await until(lambda index=index: is_back(index))
