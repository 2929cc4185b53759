"""Valid configurations of any shape are in force, but for odd routes."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.gateway.model import RouteKind, RoutingTable
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from tests.gateway.wire_samples import ROUTE_HOST, SERVICE

LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 1048576,
    'header-timeout-ms': 1000,
    'idle-timeout-ms': 5000,
}
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


@pytest.mark.parametrize('services', [None, [], [{'name': 'other'}], [None]])
def test_list_of_services_may_be_of_any_shape(services: Any) -> None:
    table = _read(REQUIRED, services=services)
    assert table is not None
    assert table.routes[0].kind is RouteKind.STREAM
