"""Valid configurations of any shape are in force, but for odd routes."""

import base64
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.gateway.model import RouteKind, RoutingTable
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.routing import Router
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from tests.gateway.fleet import GatewayFleet, has_applied_config
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import (
    LIMITS,
    ROUTE_HOST,
    SERVICE,
    expected_output,
    job_doc,
    route_doc,
    route_docs,
)
from tests.utils.http import until

REQUIRED = {
    'name': 'chat',
    'hostname': ROUTE_HOST,
    'path-prefix': '/chat/',
    'route-kind': 'streaming',
    'service': SERVICE,
    'timeout-ms': 5000,
    'latency-target-ms': 300,
}
# Numbers may be written in any way that JSON knows.
NUMBERS = st.integers(0, 100000) | st.floats(0, 100000)
LARGE_NUMBERS = st.sampled_from([0, 2**31, 2**53, 1e15])
OPTIONAL = {
    'priority': st.integers(0, 9),
    'max-attempts': st.integers(1, 9),
    'resumable': st.booleans(),
    'sticky': st.booleans(),
    'gap-target-ms': NUMBERS,
    'completion-target-ms': NUMBERS | LARGE_NUMBERS,
    'retention-s': NUMBERS | LARGE_NUMBERS,
    'max-count': st.integers(0, 2**53),
}
NEW_FIELDS = st.dictionaries(
    st.text('abc-', min_size=3), st.none() | st.integers() | st.text()
)
SHARES = st.lists(
    st.fixed_dictionaries(
        {'service': st.text('ab', min_size=1), 'weight': NUMBERS}
    ),
    min_size=1,
)


@st.composite
def routes(draw: st.DrawFn) -> dict[str, Any]:
    """Draw a valid route; optional fields may be missing or null."""
    route = {**draw(NEW_FIELDS), **REQUIRED}
    route['path-prefix'] = f'/{draw(st.text("xyz", min_size=1))}/'
    route['route-kind'] = draw(
        st.sampled_from(['safe', 'unsafe', 'streaming', 'batch'])
    )
    for name in ('timeout-ms', 'latency-target-ms'):
        route[name] = draw(NUMBERS | LARGE_NUMBERS)
    if draw(st.booleans()):
        route['service'] = None
        route['split'] = draw(SHARES)
    for name, values in OPTIONAL.items():
        if draw(st.booleans()):
            route[name] = draw(values | st.none())
    return route


def _read(*found: dict[str, Any], **changes: Any) -> RoutingTable | None:
    document = {
        'version': 7,
        'routes': list(found),
        'services': [{'name': SERVICE, 'engine': {}}],
        'limits': LIMITS,
        **changes,
    }
    return StoreDocumentDecoder().read_table(StoredObject('main', 3, document))


@given(st.lists(routes(), max_size=4), NEW_FIELDS)
def test_valid_configuration_of_any_shape_is_read_whole(
    found: list[dict[str, Any]], added: dict[str, Any]
) -> None:
    table = _read(*found, **added)
    assert table is not None
    assert len(table.routes) == len(found)


@pytest.mark.parametrize(
    'odd',
    [
        {'route-kind': 'duplex'},
        {'route-kind': None},
        {'hostname': None},
        {'timeout-ms': 'soon'},
        {'split': [{'weight': 1}], 'service': None},
        {'max-attempts': 'many'},
    ],
)
def test_route_that_is_unreadable_keeps_no_other_from_being_in_force(
    odd: dict[str, Any],
) -> None:
    sound = {**REQUIRED, 'name': 'sound', 'path-prefix': '/sound/'}
    table = _read({**REQUIRED, **odd}, sound)
    assert table is not None
    assert [route.name for route in table.routes] == ['sound']


def test_route_that_becomes_unreadable_stays_as_it_was() -> None:
    router = Router()
    sound = {**REQUIRED, 'name': 'sound', 'path-prefix': '/sound/'}
    router.apply(_read(REQUIRED, sound))
    odd = {**REQUIRED, 'route-kind': 'duplex'}
    changed = {**sound, 'path-prefix': '/moved/'}
    assert router.apply(_read(odd, changed, version=8))
    assert router.match(ROUTE_HOST, '/chat/1').kind is RouteKind.STREAM
    assert router.match(ROUTE_HOST, '/moved/1').name == 'sound'
    assert router.match(ROUTE_HOST, '/sound/1') is None
    assert router.apply(_read(changed, version=9))
    assert router.match(ROUTE_HOST, '/chat/1') is None


async def test_unreadable_route_is_refused_as_unavailable_and_not_as_unknown(
    fleet: GatewayFleet,
) -> None:
    odd = route_doc(name='odd', path_prefix='/odd/', route_kind='duplex')
    *others, batch = route_docs()
    slow_body = base64.b64encode(b'{"events":60,"pause":0.05}').decode()
    job = job_doc('j', 1, 60, body=slow_body)
    assert (await fleet.request(0, 'j', '/lists/j', job)).status == 202
    odd_batch = {**batch, 'route-kind': 'lots'}
    await fleet.configure([*others, odd_batch, odd])
    await until(lambda: has_applied_config(fleet, 0, fleet.version))
    reply = await fleet.request(0, 'r1', '/odd/1', body={'events': 1})
    assert reply.status == 503
    reply = await fleet.request(0, 'r2', body={'events': 1})
    assert reply.status == 200
    assert await read_all(fleet, 0, 'j') == {'j-0': expected_output('j-0', 60)}


@pytest.mark.parametrize('services', [None, [], [{'name': 'other'}], [None]])
def test_list_of_services_may_be_of_any_shape(services: Any) -> None:
    table = _read(REQUIRED, services=services)
    assert table is not None
    assert table.routes[0].kind is RouteKind.STREAM
