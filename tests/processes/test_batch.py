"""Batch jobs: each item exactly once, whatever fails."""

import asyncio
import signal
from collections import Counter

from tests.utils.fleet import Fleet, job_lines
from tests.utils.http import until

ITEMS = 60
LONG = 40
SLOW_STEP = ('step=0.02',)


async def _assert_each_once(fleet: Fleet, job: str, count: int) -> None:
    lines = await fleet.results(0, job)
    seen = Counter(line['custom_id'] for line in lines)
    assert seen == Counter(f'c{index}' for index in range(count))


def _holder(fleet: Fleet) -> int | None:
    """Find a daemon whose log says that it holds a chunk."""
    for index, daemon in enumerate(fleet.daemons):
        if b'claimed' in daemon.log.read_bytes():
            return index
    return None


async def _wait_for_holder(fleet: Fleet) -> int:
    await until(lambda: _holder(fleet) is not None)
    return _holder(fleet)


async def test_job_completes_with_each_item_once(start_fleet) -> None:
    fleet = await start_fleet()
    accepted = await fleet.submit(1, job_lines(ITEMS), 'job')
    assert accepted.status == 202
    job = accepted.json()['id']
    status = await fleet.wait_for_end(2, job)
    assert status['request_counts'] == {
        'total': ITEMS,
        'completed': ITEMS,
        'failed': 0,
    }
    await _assert_each_once(fleet, job, ITEMS)


async def test_killed_holder_is_replaced(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    status = await fleet.wait_for_end(reader, job)
    assert status['request_counts']['completed'] == ITEMS
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(0))
    await _assert_each_once(fleet, job, ITEMS)


async def test_frozen_holder_drops_its_work(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    frozen = fleet.daemons[holder]
    frozen.send_signal(signal.SIGSTOP)
    reader = (holder + 1) % 3
    status = await fleet.wait_for_end(reader, job)
    frozen.send_signal(signal.SIGCONT)
    await until(lambda: fleet.is_ready(holder))
    assert status['request_counts']['completed'] == ITEMS
    await until(lambda: b'is completed' in frozen.log.read_bytes())
    await _assert_each_once(fleet, job, ITEMS)


async def test_woken_holder_is_fenced_off(start_fleet) -> None:
    """A holder wakes with unsaved results while another one goes on."""
    fleet = await start_fleet(engine_words=('step=0.03',))
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    frozen = fleet.daemons[holder]
    await until(lambda: fleet.engine_runs())
    frozen.send_signal(signal.SIGSTOP)
    others = [one for one in fleet.daemons if one is not frozen]
    await until(
        lambda: any(b'epoch 3' in one.log.read_bytes() for one in others),
    )
    frozen.send_signal(signal.SIGCONT)
    await until(lambda: b'lost to another' in frozen.log.read_bytes())
    await fleet.wait_for_end((holder + 1) % 3, job)
    await until(lambda: fleet.is_ready(0))
    await _assert_each_once(fleet, job, ITEMS)


async def test_resend_after_loss_finds_the_accepted_job(start_fleet) -> None:
    fleet = await start_fleet()
    lines = job_lines(ITEMS)
    first = await fleet.submit(0, lines, 'job')
    await fleet.daemons[0].end()
    second = await fleet.submit(1, lines, 'job')
    assert second.json()['id'] == first.json()['id']
    await fleet.wait_for_end(1, first.json()['id'])
    listed = (await fleet.call(1, 'GET', '/v1/batches')).json()['data']
    assert len(listed) == 1


async def test_acknowledged_job_survives_loss(start_fleet) -> None:
    fleet = await start_fleet()
    job = (await fleet.submit(0, job_lines(ITEMS), 'job')).json()['id']
    await fleet.daemons[0].end()
    status = await fleet.wait_for_end(1, job)
    assert status['request_counts']['completed'] == ITEMS


async def test_outage_during_acceptance_accepts_nothing(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.fault(outage=True)
    refused = await fleet.submit(0, job_lines(ITEMS), 'job')
    assert refused.status == 503
    assert refused.headers['x-run'] == 'not run'
    assert refused.headers['retry-after']
    await fleet.fault(outage=False)
    accepted = await fleet.submit(1, job_lines(ITEMS), 'job')
    status = await fleet.wait_for_end(0, accepted.json()['id'])
    assert status['request_counts']['completed'] == ITEMS


async def test_lost_answers_do_not_double_items(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.fault(lose=2)
    accepted = await fleet.submit(0, job_lines(ITEMS), 'job')
    assert accepted.status == 202
    await fleet.fault(lose=3)
    job = accepted.json()['id']
    await fleet.wait_for_end(0, job)
    await _assert_each_once(fleet, job, ITEMS)


async def test_outage_while_running_holds_results(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    await until(lambda: _holder(fleet) is not None)
    await fleet.fault(outage=True)
    log = fleet.daemons[_holder(fleet)].log
    await until(lambda: b'results of' in log.read_bytes())
    await fleet.fault(outage=False)
    status = await fleet.wait_for_end(0, job)
    assert status['request_counts']['completed'] == ITEMS
    await _assert_each_once(fleet, job, ITEMS)
    assert set((await fleet.engine_runs()).values()) == {1}


async def test_never_doable_items_do_not_hold_the_job(start_fleet) -> None:
    fleet = await start_fleet()
    poisoned = job_lines(3, prefix='poison')
    lines = job_lines(20) + poisoned.replace(b'_id":"c', b'_id":"bad')
    job = (await fleet.submit(0, lines, 'job')).json()['id']
    status = await fleet.wait_for_end(0, job)
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


async def test_cancel_stops_calls_and_adds_no_result(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    await until(lambda: fleet.engine_runs())
    cancelled = await fleet.call(1, 'POST', f'/v1/batches/{job}/cancel')
    assert cancelled.json()['status'] == 'cancelled'
    before = await fleet.results(2, job)
    for index in range(3):
        await until(
            lambda index=index: (
                b'is cancelled' in fleet.daemons[index].log.read_bytes()
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
    await fleet.wait_for_end(0, job)
    refused = await fleet.call(1, 'POST', f'/v1/batches/{job}/cancel')
    assert refused.status == 409
    assert refused.json()['error']['type'] == 'conflict'


async def _owner_of_started(fleet: Fleet, job: str) -> str | None:
    """Name the holder of a chunk of which items are marked as started."""
    for record in (await fleet.chunks(job)).values():
        if record['started'] != '0' and record['settled'] == '0':
            return record['owner']
    return None


async def test_items_not_to_be_repeated_run_once(start_fleet) -> None:
    fleet = await start_fleet(engine_words=SLOW_STEP)
    lines = job_lines(40, LONG, endpoint='once')
    job = (await fleet.submit(0, lines, 'job')).json()['id']
    owner = await until(lambda: _owner_of_started(fleet, job))
    holder = int(owner.removeprefix('i'))
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    status = await fleet.wait_for_end(reader, job)
    counts = status['request_counts']
    assert counts['completed'] + counts['failed'] == 40
    assert counts['failed']
    runs = await fleet.engine_runs()
    assert max(runs.values()) == 1


async def test_kill_with_lost_answers(start_fleet) -> None:
    """Two faults at once: a holder dies while answers get lost."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.fault(lose=4)
    await fleet.daemons[holder].end()
    reader = (holder + 1) % 3
    await fleet.wait_for_end(reader, job)
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(0))
    await _assert_each_once(fleet, job, ITEMS)


async def test_kill_during_an_outage(start_fleet) -> None:
    """Two faults at once: a holder dies while the store is down."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    await fleet.fault(outage=True)
    await fleet.daemons[holder].end()
    await fleet.start_daemon(holder)
    await until(lambda: fleet.is_ready(holder))
    await fleet.fault(outage=False)
    await fleet.wait_for_end(holder, job)
    await _assert_each_once(fleet, job, ITEMS)


async def test_cancel_while_a_holder_is_frozen(start_fleet) -> None:
    """Two faults at once: a holder is paused while its job is cancelled."""
    fleet = await start_fleet(engine_words=SLOW_STEP)
    job = (await fleet.submit(0, job_lines(ITEMS, LONG), 'job')).json()['id']
    holder = await _wait_for_holder(fleet)
    frozen = fleet.daemons[holder]
    frozen.send_signal(signal.SIGSTOP)
    other = (holder + 1) % 3
    await fleet.call(other, 'POST', f'/v1/batches/{job}/cancel')
    before = await fleet.results(other, job)
    frozen.send_signal(signal.SIGCONT)
    await until(lambda: b'is cancelled' in frozen.log.read_bytes())
    assert await fleet.results(other, job) == before
