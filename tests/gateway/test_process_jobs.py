"""Batch jobs with real processes."""

import base64
from typing import Any

from tests.gateway.fleet import ENTRIES, UPSTREAMS, GatewayFleet, in_force
from tests.gateway.wire_samples import expected_output, job_doc, route_docs
from tests.utils.http import until


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


async def test_a_job_is_accepted_once_and_read_anywhere(
    fleet: GatewayFleet,
) -> None:
    for entry in (0, 1, 0):
        reply = await fleet.ask(
            entry, 'job1', '/lists/j', job_doc('job1', 6, 9)
        )
        assert reply.status == 202
    for entry in range(ENTRIES):
        found = await read_all(fleet, entry, 'job1')
        assert found == {
            f'job1-{one}': expected_output(f'job1-{one}', 9) for one in range(6)
        }
    body = await fleet.ask(
        2, 'b', '/gentiantrestle/items/job1?id=job1-3', method='GET'
    )
    assert body.body == b'{"events":9}'


async def test_an_accepted_job_outlives_its_acceptor(
    fleet: GatewayFleet,
) -> None:
    reply = await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 4, 40))
    assert reply.status == 202
    await fleet.entries[0].end()
    found = await read_all(fleet, 1, 'job1')
    assert found['job1-0'] == expected_output('job1-0', 40)
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    assert await read_all(fleet, 0, 'job1') == found


async def test_an_item_goes_on_at_its_event_after_a_cut(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.harm(number, cut_after=10)
    await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 1, 25))
    found = await read_all(fleet, 0, 'job1')
    assert found['job1-0'] == expected_output('job1-0', 25)
    assert sorted(run['last'] for run in await fleet.runs()) == [0, 10, 20]


async def test_items_that_can_never_be_done_end(fleet: GatewayFleet) -> None:
    poison = base64.b64encode(b'{"poison":1}').decode()
    await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 1, 1, body=poison))
    assert await read_all(fleet, 1, 'job1') == {'job1-0': ''}
    for number in range(UPSTREAMS):
        await fleet.harm(number, fail=True)
    await fleet.ask(0, 'job2', '/lists/j', job_doc('job2', 1, 1))
    assert await read_all(fleet, 1, 'job2') == {'job2-0': ''}
    runs = [run for run in await fleet.runs() if run['id'] == 'job2-0']
    assert len(runs) == 3


async def test_an_ended_job_stops(fleet: GatewayFleet) -> None:
    slow = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 3, 1, body=slow))
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
    reply = await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 1, 1))
    assert reply.status == 503
    page = await fleet.ask(
        0, 'read', '/gentiantrestle/lots/job1?after=0', method='GET'
    )
    assert page.status == 503


async def test_a_job_is_accepted_though_answers_of_the_store_are_lost(
    fleet: GatewayFleet,
) -> None:
    await fleet.harm_store(lose=3, silence=30)
    reply = await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 1, 4))
    assert reply.status == 202
    await fleet.harm_store()
    assert await read_all(fleet, 1, 'job1') == {
        'job1-0': expected_output('job1-0', 4)
    }
    assert len(await fleet.runs()) == 1


async def test_a_lost_answer_of_the_store_is_not_called_refused(
    fleet: GatewayFleet,
) -> None:
    await fleet.harm_store(lose=99, silence=30)
    reply = await fleet.ask(0, 'job1', '/lists/j', job_doc('job1', 1, 4))
    assert reply.status == 502
    await fleet.harm_store()
    again = await fleet.ask(1, 'job1', '/lists/j', job_doc('job1', 1, 4))
    assert again.status == 202
    assert await read_all(fleet, 1, 'job1') == {
        'job1-0': expected_output('job1-0', 4)
    }


async def test_a_quota_holds_over_all_instances(fleet: GatewayFleet) -> None:
    listed = route_docs()
    listed[-1]['max-count'] = 60
    await fleet.configure(listed)
    for number in range(ENTRIES):
        await until(lambda one=number: in_force(fleet, one, 2))
    slow = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    statuses = []
    for number in range(6):
        name = f'job{number}'
        reply = await fleet.ask(
            number % ENTRIES, name, '/lists/j', job_doc(name, 2, 1, body=slow)
        )
        statuses.append(reply.status)
    # Each job asks for 20 tokens, and instances hear of jobs a second late.
    assert statuses == [202, 202, 202, 429, 429, 429]
