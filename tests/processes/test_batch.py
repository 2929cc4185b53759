"""Batch jobs on real processes: one result per item under any failure."""

import asyncio
import signal
from collections import Counter

from tests.utils.fleet import Fleet, job_lines
from tests.utils.http import send, until

ITEMS = 60
TOKENS = 40  # per item
SLOW_STEP = ('step=0.02',)
OUTAGE = 3.0  # seconds


async def _assert_one_result_each(fleet: Fleet, job: str, count: int) -> None:
    lines = await fleet.results(0, job)
    result_counts = Counter(line['custom_id'] for line in lines)
    assert result_counts == Counter(f'c{index}' for index in range(count))


def _find_holder(fleet: Fleet) -> int | None:
    """Return the index of a daemon that logged the claim of a chunk."""
    for index, daemon in enumerate(fleet.daemons):
        if b'claimed' in daemon.log.read_bytes():
            return index
    return None


async def _wait_for_holder(fleet: Fleet) -> int:
    await until(lambda: _find_holder(fleet) is not None)
    return _find_holder(fleet)


async def test_job_completes_with_each_item_once(start_fleet) -> None:
    fleet = await start_fleet()
    accepted = await fleet.submit(1, job_lines(ITEMS), 'job')
    assert accepted.status == 202
    job = accepted.json()['id']
    status = await fleet.wait_for_job(2, job)
    assert status['request_counts'] == {
        'total': ITEMS,
        'completed': ITEMS,
        'failed': 0,
    }
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_job_completes_after_holder_is_killed(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    status = await fleet.wait_for_job(reader, job)
    assert status['request_counts']['completed'] == ITEMS
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(0))
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_paused_holder_adds_no_results_after_takeover(
    start_fleet,
) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    paused = fleet.daemons[holder]
    paused.send_signal(signal.SIGSTOP)
    reader = (holder + 1) % 3
    status = await fleet.wait_for_job(reader, job)
    paused.send_signal(signal.SIGCONT)
    await until(lambda: fleet.is_ready(holder))
    assert status['request_counts']['completed'] == ITEMS
    await until(lambda: b'finished: completed' in paused.log.read_bytes())
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_resumed_holder_with_unsaved_results_is_fenced_off(
    start_fleet,
) -> None:
    """The holder resumes with unsaved results after a takeover."""
    fleet = await start_fleet(engine_words=('step=0.03',))
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    paused = fleet.daemons[holder]
    await until(lambda: fleet.engine_runs())
    paused.send_signal(signal.SIGSTOP)
    others = [daemon for daemon in fleet.daemons if daemon is not paused]
    await until(
        lambda: any(b'epoch 3' in daemon.log.read_bytes() for daemon in others),
    )
    paused.send_signal(signal.SIGCONT)
    await until(lambda: b'lost to another' in paused.log.read_bytes())
    await fleet.wait_for_job((holder + 1) % 3, job)
    await until(lambda: fleet.is_ready(0))
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_resubmission_after_kill_returns_the_accepted_job(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    lines = job_lines(ITEMS)
    first = await fleet.submit(0, lines, 'job')
    await fleet.daemons[0].end()
    second = await fleet.submit(1, lines, 'job')
    assert second.json()['id'] == first.json()['id']
    await fleet.wait_for_job(1, first.json()['id'])
    listed = (await fleet.call(1, 'GET', '/v1/batches')).json()['data']
    assert len(listed) == 1


async def test_accepted_job_completes_after_instance_is_killed(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    job = (await fleet.submit(0, job_lines(ITEMS), 'job')).json()['id']
    await fleet.daemons[0].end()
    status = await fleet.wait_for_job(1, job)
    assert status['request_counts']['completed'] == ITEMS


async def test_submission_during_store_outage_is_refused(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(outage=True)
    refused = await fleet.submit(0, job_lines(ITEMS), 'job')
    assert refused.status == 503
    assert refused.headers['x-run'] == 'not run'
    assert refused.headers['retry-after']
    await fleet.control_platform(outage=False)
    accepted = await fleet.submit(1, job_lines(ITEMS), 'job')
    status = await fleet.wait_for_job(0, accepted.json()['id'])
    assert status['request_counts']['completed'] == ITEMS


async def test_lost_store_answers_do_not_duplicate_results(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(lose=2)
    accepted = await fleet.submit(0, job_lines(ITEMS), 'job')
    assert accepted.status == 202
    await fleet.control_platform(lose=3)
    job = accepted.json()['id']
    await fleet.wait_for_job(0, job)
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_results_are_saved_after_store_outage(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    # A holder has read its items once an engine runs one of them.
    await until(lambda: fleet.engine_runs())
    await fleet.control_platform(outage=True)
    logs = [daemon.log for daemon in fleet.daemons]
    await until(lambda: any(b'results of' in log.read_bytes() for log in logs))
    await fleet.control_platform(outage=False)
    status = await fleet.wait_for_job(0, job)
    assert status['request_counts']['completed'] == ITEMS
    await _assert_one_result_each(fleet, job, ITEMS)
    assert set((await fleet.engine_runs()).values()) == {1}


async def test_job_claimed_just_before_a_store_outage_completes_after_it(
    start_fleet,
) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    await until(lambda: _find_holder(fleet) is not None)
    await fleet.control_platform(outage=True)
    await asyncio.sleep(OUTAGE)
    await fleet.control_platform(outage=False)
    status = await fleet.wait_for_job(0, job)
    assert status['request_counts']['completed'] == ITEMS
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_items_that_always_fail_do_not_block_the_job(start_fleet) -> None:
    fleet = await start_fleet()
    poisoned = job_lines(3, prefix='poison')
    lines = job_lines(20) + poisoned.replace(b'_id":"c', b'_id":"bad')
    job = (await fleet.submit(0, lines, 'job')).json()['id']
    status = await fleet.wait_for_job(0, job)
    assert status['request_counts'] == {
        'total': 23,
        'completed': 20,
        'failed': 3,
    }
    failed = [
        line
        for line in await fleet.results(1, job)
        if line['error'] is not None
    ]
    assert {line['custom_id'] for line in failed} == {'bad0', 'bad1', 'bad2'}
    assert all(line['error']['remedy'] for line in failed)
    runs = await fleet.engine_runs()
    assert all(runs[f'poison{index}'] == 3 for index in range(3))


async def test_item_whose_stream_trickles_without_an_event_is_run_again(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1', daemon_flags=('--stall_timeout=1',))
    await fleet.control_engine(0, trickle=True)
    job = (await fleet.submit(0, job_lines(1), 'job')).json()['id']
    await _wait_for_holder(fleet)
    await asyncio.sleep(0.5)
    await fleet.control_engine(0, trickle=False)
    status = await fleet.wait_for_job(0, job)
    assert status['request_counts']['completed'] == 1


async def test_cancel_stops_calls_and_adds_no_result(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    await until(lambda: fleet.engine_runs())
    cancelled = await fleet.call(1, 'POST', f'/v1/batches/{job}/cancel')
    assert cancelled.json()['status'] == 'cancelled'
    before = await fleet.results(2, job)
    for index in range(3):
        await until(
            lambda index=index: (
                b'finished: cancelled' in fleet.daemons[index].log.read_bytes()
            ),
        )
    runs = await fleet.engine_runs()
    await asyncio.sleep(1)
    assert await fleet.engine_runs() == runs
    assert await fleet.results(0, job) == before
    again = await fleet.call(0, 'POST', f'/v1/batches/{job}/cancel')
    assert again.json() == cancelled.json()


async def test_cancel_of_a_finished_job_is_a_conflict(start_fleet) -> None:
    fleet = await start_fleet()
    job = (await fleet.submit(0, job_lines(3), 'job')).json()['id']
    await fleet.wait_for_job(0, job)
    refused = await fleet.call(1, 'POST', f'/v1/batches/{job}/cancel')
    assert refused.status == 409
    assert refused.json()['error']['type'] == 'conflict'


async def _find_owner_of_started_chunk(fleet: Fleet, job: str) -> str | None:
    """Return the owner of a chunk with started items and no result."""
    for record in (await fleet.chunk_records(job)).values():
        if record['started'] != '0' and record['settled'] == '0':
            return record['owner']
    return None


async def test_unrepeatable_items_run_at_most_once(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    lines = job_lines(40, TOKENS, endpoint='once')
    job = (await fleet.submit(0, lines, 'job')).json()['id']
    owner = await until(lambda: _find_owner_of_started_chunk(fleet, job))
    holder = int(owner.removeprefix('i'))
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    status = await fleet.wait_for_job(reader, job)
    counts = status['request_counts']
    assert counts['completed'] + counts['failed'] == 40
    assert counts['failed']
    runs = await fleet.engine_runs()
    assert max(runs.values()) == 1


async def test_holder_killed_while_store_answers_are_lost(start_fleet) -> None:
    """Two faults at once: the holder is killed and answers are lost."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.control_platform(lose=4)
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    await fleet.wait_for_job(reader, job)
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(0))
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_holder_killed_during_store_outage(start_fleet) -> None:
    """Two faults at once: the holder is killed and the store is down."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.control_platform(outage=True)
    await fleet.daemons[holder].end()
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(holder))
    await fleet.control_platform(outage=False)
    await fleet.wait_for_job(holder, job)
    await _assert_one_result_each(fleet, job, ITEMS)


async def test_job_cancelled_while_holder_is_paused(start_fleet) -> None:
    """Two faults at once: the holder is paused as its job is cancelled."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    paused = fleet.daemons[holder]
    paused.send_signal(signal.SIGSTOP)
    other = (holder + 1) % 3
    await fleet.call(other, 'POST', f'/v1/batches/{job}/cancel')
    before = await fleet.results(other, job)
    paused.send_signal(signal.SIGCONT)
    await until(lambda: b'finished: cancelled' in paused.log.read_bytes())
    assert await fleet.results(other, job) == before


async def test_key_of_another_job_is_a_conflict(start_fleet) -> None:
    fleet = await start_fleet()
    assert (await fleet.submit(0, job_lines(ITEMS), 'job')).status == 202
    other = await fleet.submit(1, job_lines(ITEMS + 1), 'job')
    assert other.status == 409
    error = other.json()['error']
    assert error['type'] == 'idempotency_key_reused'
    assert error['message'].startswith('This Idempotency-Key was already used')
    assert 'retry-after' not in other.headers


async def test_chunk_whose_items_are_gone_is_logged_and_not_claimed_again(
    start_fleet,
) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    await fleet.submit(0, job_lines(ITEMS, TOKENS), 'job')
    holder = await _wait_for_holder(fleet)
    root = '/v1/objects'
    listed = await send(fleet.platform, 'GET', f'{root}?prefix=inputs/')
    for found in listed.json()['objects']:
        await send(fleet.platform, 'DELETE', f'{root}/{found["name"]}')
    await fleet.daemons[holder].end()
    others = [
        fleet.daemons[number].log for number in range(3) if number != holder
    ]

    def count(text: bytes) -> int:
        return sum(log.read_bytes().count(text) for log in others)

    await until(lambda: count(b'claimed'))
    # The others may have claimed it side by side with the first holder's end.
    await asyncio.sleep(OUTAGE)
    before = count(b'claimed')
    await asyncio.sleep(OUTAGE)
    assert count(b'claimed') == before
    assert count(b'are missing')
