"""Batch jobs on gateway instances and upstreams in their own processes."""

import asyncio
import base64
from typing import Any

from tests.gateway.fleet import (
    ENTRIES,
    UPSTREAMS,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.wire_samples import expected_output, job_doc, route_docs
from tests.utils.http import until


async def read_all(
    fleet: GatewayFleet, entry: int, name: str, *, timeout: float = 30
) -> dict[str, str]:
    """Return a job's outputs by item id, once all results are stored.

    Reads page after page, as clients do, for ``timeout`` s at most.
    """
    rows: list[dict[str, Any]] = []

    async def read_page() -> bool:
        path = f'/gentiantrestle/lots/{name}?after={len(rows)}'
        page = await fleet.request(entry, 'read', path, method='GET')
        if page.status != 200:
            return False
        body = page.json()
        rows.extend(body['results'])
        assert body['next'] == len(rows)
        return body['next'] == body['total']

    await until(read_page, timeout)
    return {row['id']: row['output'] for row in rows}


async def test_resubmitted_job_is_accepted_and_readable_on_all_instances(
    fleet: GatewayFleet,
) -> None:
    for entry in (0, 1, 0):
        reply = await fleet.request(
            entry, 'job1', '/lists/j', job_doc('job1', 6, 9)
        )
        assert reply.status == 202
    for entry in range(ENTRIES):
        outputs = await read_all(fleet, entry, 'job1')
        assert outputs == {
            f'job1-{number}': expected_output(f'job1-{number}', 9)
            for number in range(6)
        }
    item_reply = await fleet.request(
        2, 'b', '/gentiantrestle/items/job1?id=job1-3', method='GET'
    )
    assert item_reply.body == b'{"events":9}'


async def test_job_completes_after_its_acceptor_is_killed(
    fleet: GatewayFleet,
) -> None:
    reply = await fleet.request(0, 'job1', '/lists/j', job_doc('job1', 4, 40))
    assert reply.status == 202
    await fleet.entries[0].end()
    outputs = await read_all(fleet, 1, 'job1')
    assert outputs['job1-0'] == expected_output('job1-0', 40)
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    assert await read_all(fleet, 0, 'job1') == outputs


async def test_item_resumes_from_its_last_event_when_stream_is_cut(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, cut_after=10)
    await fleet.request(0, 'job1', '/lists/j', job_doc('job1', 1, 25))
    outputs = await read_all(fleet, 0, 'job1')
    assert outputs['job1-0'] == expected_output('job1-0', 25)
    assert sorted(run['last'] for run in await fleet.runs()) == [0, 10, 20]


async def test_item_fails_if_rejected_or_after_max_attempts(
    fleet: GatewayFleet,
) -> None:
    poison_body = base64.b64encode(b'{"poison":1}').decode()
    await fleet.request(
        0, 'job1', '/lists/j', job_doc('job1', 1, 1, body=poison_body)
    )
    assert await read_all(fleet, 1, 'job1') == {'job1-0': ''}
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, fail=True)
    await fleet.request(0, 'job2', '/lists/j', job_doc('job2', 1, 1))
    assert await read_all(fleet, 1, 'job2') == {'job2-0': ''}
    runs = [run for run in await fleet.runs() if run['id'] == 'job2-0']
    assert len(runs) == 3


async def test_cancelled_job_stops_running(fleet: GatewayFleet) -> None:
    slow_body = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    await fleet.request(
        0, 'job1', '/lists/j', job_doc('job1', 3, 1, body=slow_body)
    )
    await until(lambda: busy(fleet))
    for _ in range(2):
        reply = await fleet.request(
            1, 'end', '/gentiantrestle/lots/job1', method='DELETE'
        )
        assert reply.status == 200
    # Without the cancellation the items would run for 20 s.
    await until(lambda: idle(fleet), timeout=5)


async def busy(fleet: GatewayFleet) -> bool:
    """Return whether an upstream is running a request or item."""
    return not await idle(fleet)


async def idle(fleet: GatewayFleet) -> bool:
    """Return whether no upstream is running anything."""
    return not any(run['active'] for run in await fleet.runs())


async def test_submit_and_read_are_refused_while_store_is_down(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_store_faults(down=True)
    reply = await fleet.request(0, 'job1', '/lists/j', job_doc('job1', 1, 1))
    assert reply.status == 503
    page = await fleet.request(
        0, 'read', '/gentiantrestle/lots/job1?after=0', method='GET'
    )
    assert page.status == 503


async def test_job_is_accepted_after_some_store_responses_are_lost(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_store_faults(lose=3, silence=30)
    reply = await fleet.request(0, 'job1', '/lists/j', job_doc('job1', 1, 4))
    assert reply.status == 202
    await fleet.set_store_faults()
    assert await read_all(fleet, 1, 'job1') == {
        'job1-0': expected_output('job1-0', 4)
    }
    assert len(await fleet.runs()) == 1


async def test_submit_has_unknown_outcome_while_all_store_responses_are_lost(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_store_faults(lose=99, silence=30)
    reply = await fleet.request(0, 'job1', '/lists/j', job_doc('job1', 1, 4))
    assert reply.status == 502
    await fleet.set_store_faults()
    second_reply = await fleet.request(
        1, 'job1', '/lists/j', job_doc('job1', 1, 4)
    )
    assert second_reply.status == 202
    assert await read_all(fleet, 1, 'job1') == {
        'job1-0': expected_output('job1-0', 4)
    }


async def test_job_that_comes_again_is_accepted_though_it_fills_the_quota(
    fleet: GatewayFleet,
) -> None:
    slow_body = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    *others, batch = route_docs()
    await fleet.configure([*others, {**batch, 'max-count': 100}])
    for entry in range(ENTRIES):
        await until(
            lambda number=entry: has_applied_config(
                fleet, number, fleet.version
            )
        )
    # Six items of 10 tokens: twice would be too many.
    job = job_doc('job1', 6, 1, body=slow_body)
    statuses = [
        (await fleet.request(entry, 'job1', '/lists/j', job)).status
        for entry in range(ENTRIES)
    ]
    assert statuses == [202] * ENTRIES


async def test_job_is_not_refused_by_a_quota_raised_while_it_was_checked(
    fleet: GatewayFleet,
) -> None:
    *others, batch = route_docs()
    await fleet.configure([*others, {**batch, 'max-count': 10}])
    await until(lambda: has_applied_config(fleet, 0, fleet.version))
    # The jobs are listed again before one is refused, with one slow call, and
    # a change takes two.
    await fleet.set_store_faults(slow=0.5)
    raised = [*others, {**batch, 'max-count': 1000}]
    changing = asyncio.create_task(fleet.configure(raised))
    await asyncio.sleep(0.75)
    job = job_doc('job1', 2, 1)
    reply = await fleet.request(0, 'job1', '/lists/j', job)
    await changing
    assert reply.status == 202


async def test_token_quota_holds_across_instances(fleet: GatewayFleet) -> None:
    routes = route_docs()
    routes[-1]['max-count'] = 60
    await fleet.configure(routes)
    for number in range(ENTRIES):
        await until(lambda entry=number: has_applied_config(fleet, entry, 2))
    slow_body = base64.b64encode(b'{"events":400,"pause":0.05}').decode()
    statuses = []
    for number in range(6):
        name = f'job{number}'
        reply = await fleet.request(
            number % ENTRIES,
            name,
            '/lists/j',
            job_doc(name, 2, 1, body=slow_body),
        )
        statuses.append(reply.status)
    # Each job has 20 of the 60 tokens. Instances learn of jobs a second late;
    # the quota must hold nevertheless.
    assert statuses == [202, 202, 202, 429, 429, 429]
