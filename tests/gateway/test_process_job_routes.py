"""Routes that change while the items of a job wait."""

import base64
from typing import Any

import pytest

from tests.gateway.fleet import UPSTREAMS, GatewayFleet
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import (
    expected_output,
    job_doc,
    route_doc,
    route_docs,
)
from tests.utils.http import until

SLOTS = 8 * UPSTREAMS
ITEMS = 2 * SLOTS
EVENTS = 20
BODY = base64.b64encode(b'{"events":20,"pause":0.05}').decode()
ITEM_PATH = '/lists/3/x'


def _batch_route(prefix: str) -> dict[str, Any]:
    return {**route_docs()[-1], 'name': prefix, 'path-prefix': prefix}


def _online_routes() -> list[dict[str, Any]]:
    return route_docs()[:-1]


async def _submit(fleet: GatewayFleet, item_path: str) -> None:
    """Hand in a job of which half of the items have to wait."""
    job = job_doc('job1', ITEMS, EVENTS, body=BODY, path=item_path)
    reply = await fleet.request(0, 'job1', '/lists/a/j', job)
    assert reply.status == 202

    async def is_busy() -> bool:
        running = sum(run['active'] for run in await fleet.runs())
        return running >= SLOTS // 2

    await until(is_busy)


@pytest.mark.parametrize(
    'prefixes',
    [('/lists/a/', '/lists/b/'), ('/lists/a/',), ('/lists/', '/lists/3/')],
    ids=['split', 'narrowed', 'with_another'],
)
async def test_items_are_run_while_the_route_of_their_job_is_there(
    fleet: GatewayFleet, prefixes: tuple[str, ...]
) -> None:
    await _submit(fleet, ITEM_PATH)
    await fleet.configure([*_online_routes(), *map(_batch_route, prefixes)])
    outputs = await read_all(fleet, 1, 'job1')
    assert outputs == {
        f'job1-{number}': expected_output(f'job1-{number}', EVENTS)
        for number in range(ITEMS)
    }


async def test_items_below_a_route_for_streams_outlast_it(
    fleet: GatewayFleet,
) -> None:
    await _submit(fleet, '/chat/x')
    routes = [doc for doc in route_docs() if doc['path-prefix'] != '/chat/']
    await fleet.configure(routes)
    outputs = await read_all(fleet, 1, 'job1')
    assert all(outputs.values())


@pytest.mark.parametrize(
    'left',
    [
        [_batch_route('/lists/3/')],
        [_batch_route('/lists/3/'), route_doc(path_prefix='/lists/a/')],
    ],
    ids=['gone', 'for_streams'],
)
async def test_items_are_given_up_once_the_route_of_their_job_is_gone(
    fleet: GatewayFleet, left: list[dict[str, Any]]
) -> None:
    await _submit(fleet, ITEM_PATH)
    await fleet.configure([*_online_routes(), *left])
    outputs = await read_all(fleet, 1, 'job1')
    assert sum(not output for output in outputs.values()) >= ITEMS - SLOTS
