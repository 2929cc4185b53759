"""Platform adapter: settings, store entries, batch jobs, header fields."""

from typing import Any

import h11
import msgspec
import pytest

from gentiantrestle.errors import OVERLOADED, Refusal, RefusedError
from gentiantrestle.gateway.model import ItemSpec, RouteKind
from gentiantrestle.gateway.ports import (
    CancelJob,
    ReadBody,
    ReadResults,
    StoredObject,
)
from gentiantrestle.models import Address
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.platform.settings import NodeSettings, SettingsError
from tests.gateway.samples import make_request, make_upstream
from tests.gateway.wire_samples import route_docs

SETTINGS = {
    'node-name': 'edge-1',
    'zone': 'a1',
    'zones': {'a1': 'a'},
    'ip': '10.1.0.35',
    'internal-ports': [7660, 7675],
    'seeds': ['10.1.0.36:8146'],
    'serves': ['edge'],
    'listen': {'front': '10.1.0.35:8144', 'ready-addr': '10.1.0.35:8140'},
    'bounds': {'grace-s': 8},
    'platform': {'address': '10.200.1.7:8142'},
    'a-new-field': [1],
}
ENTRY = {
    'service': 'engines',
    'address': '10.128.0.9:8080',
    'zone': 'a1',
    'slots': 8,
    'state': 'ready',
    'born': 1700000000000,
}
CONFIG = {
    'version': 7,
    'routes': route_docs(),
    'services': [{'name': 'engines', 'engine': {}}],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 4194304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
}


def test_settings_are_decoded_and_unknown_fields_ignored() -> None:
    node = NodeSettings.from_config(SETTINGS)
    assert node.caller_address == Address('10.1.0.35', 8144)
    assert node.seeds == ('10.1.0.36',)
    assert node.peer_port == 7660
    assert node.passing_port == 7661


def test_range_of_one_port_leaves_none_for_passing_requests_on() -> None:
    config = SETTINGS | {'internal-ports': [7660, 7660]}
    assert NodeSettings.from_config(config).passing_port is None


@pytest.mark.parametrize('field', ['node-name', 'zones', 'platform', 'bounds'])
def test_missing_setting_raises_error_with_name_and_remedy(field: str) -> None:
    config = {
        name: setting for name, setting in SETTINGS.items() if name != field
    }
    with pytest.raises(SettingsError, match=f'{field}.*settings file again'):
        NodeSettings.from_config(config)


def test_unreadable_file_raises_error_with_path() -> None:
    with pytest.raises(SettingsError, match=r'/none\.toml'):
        NodeSettings.from_file('/none.toml')


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'sleeping'},
        {'slots': 'eight'},
        {'slots': True},
        {'address': 7},
        {'address': 'nowhere'},
        {'service': None},
        {'born': 1.5},
        {'version': 2},
        {'version': None},
    ],
)
def test_invalid_upstream_entry_decodes_to_none(
    changes: dict[str, Any],
) -> None:
    stored = StoredObject('u1', 3, {**ENTRY, **changes})
    assert StoreDocumentDecoder().read_upstream(stored) is None


@pytest.mark.parametrize('content', [None, 7, 'text', [], {}])
def test_content_of_wrong_shape_decodes_to_none(content: Any) -> None:
    stored = StoredObject('u1', 3, content)
    assert StoreDocumentDecoder().read_upstream(stored) is None
    assert StoreDocumentDecoder().read_table(stored) is None


def test_upstream_entry_is_decoded() -> None:
    found = StoreDocumentDecoder().read_upstream(StoredObject('u1', 3, ENTRY))
    assert found is not None
    assert (found.id, found.slots, found.draining) == ('u1', 8, False)


@pytest.mark.parametrize(
    ('changes', 'version'), [({}, ''), ({'version': 'v1.2'}, 'v1.2')]
)
def test_software_version_of_upstream_is_not_dropped(
    changes: dict[str, str], version: str
) -> None:
    stored = StoredObject('u1', 3, {**ENTRY, **changes})
    found = StoreDocumentDecoder().read_upstream(stored)
    assert found is not None
    assert found.version == version


def test_configuration_is_decoded_with_times_in_seconds() -> None:
    found = StoreDocumentDecoder().read_table(StoredObject('main', 3, CONFIG))
    assert found is not None
    kinds = {route.name: route.kind for route in found.routes}
    assert kinds['chat'] is RouteKind.STREAM
    assert found.routes[0].latency_target == pytest.approx(0.3)
    assert found.limits.idle_timeout == pytest.approx(15)
    assert not next(
        route for route in found.routes if route.name == 'pay'
    ).idempotent


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"items":[]}',
        b'{"items":[{"id":"a"}]}',
        b'{"items":[{"id":"a b","path":"/x","body":""}]}',
        b'{"items":[{"id":"a","path":"/x","body":"%%%"}]}',
        b'{"items":[{"id":"a","path":"/x"},{"id":"a","path":"/x"}]}',
        b'{"items":[{"id":"a","path":"/x","token-count":-1}]}',
        b'{"items":[{"id":"a","path":"/x","token-count":2147483648}]}',
        b'{"items":[{"id":"a","path":123}]}',
        b'{"items":[{"id":"a","path":"x"}]}',
        b'{"items":[{"id":"a","path":"/x y"}]}',
        b'{"items":[{"id":"a","path":"/\xc3\xbc"}]}',
        b'{"items":[{"id":"a","path":"/x","headers":{"a b":"c"}}]}',
        rb'{"items":[{"id":"a","path":"/x","headers":{"a":"b\nc"}}]}',
        b'{"items":[{"id":"a","path":"/x","headers":["a"]}]}',
        b'{"items":' + b'[' * 5000 + b']' * 5000 + b'}',
    ],
)
def test_malformed_job_is_refused_with_status_bad_request(body: bytes) -> None:
    with pytest.raises(RefusedError) as exc:
        PlatformDialect().read_items(body)
    assert exc.value.refusal.kind.status == 400


def test_header_fields_of_items_may_be_numbers_and_other_characters() -> None:
    body = (
        b'{"items":[{"id":"a","path":"/x","headers":{"a":1,"b":"\xc3\xbc"}}]}'
    )
    spec = PlatformDialect().read_items(body)[0]
    assert spec.headers == {'a': '1', 'b': '\xfc'}


@pytest.mark.parametrize(
    'field', ['Host', 'Content-Length', 'Transfer-Encoding', 'X-Attempt-Id']
)
def test_header_fields_of_items_that_are_replaced_do_not_matter(
    field: str,
) -> None:
    body = msgspec.json.encode(
        {'items': [{'id': 'a', 'path': '/x', 'headers': {field: 'any'}}]}
    )
    assert PlatformDialect().read_items(body)[0].headers == {field: 'any'}


def _head(method: str, target: str, *fields: tuple[str, str]) -> h11.Request:
    return h11.Request(
        method=method, target=target, headers=[('Host', 'x'), *fields]
    )


@pytest.mark.parametrize(
    ('method', 'target', 'expected'),
    [
        (
            'GET',
            '/gentiantrestle/lots/j1?after=3',
            ReadResults('j1', 3, 1.0),
        ),
        ('GET', '/gentiantrestle/items/j1?id=i2', ReadBody('j1', 'i2')),
        ('DELETE', '/gentiantrestle/lots/j1', CancelJob('j1')),
        ('GET', '/gentiantrestle/lots/', None),
        ('POST', '/gentiantrestle/lots/j1', None),
    ],
)
def test_job_operation_is_recognized_by_method_and_path(
    method: str, target: str, expected: object
) -> None:
    head = _head(method, target, ('X-Wait-Ms', '1000'))
    assert PlatformDialect().read_job_operation(head) == expected


def test_hop_by_hop_fields_are_not_forwarded() -> None:
    head = _head(
        'POST',
        '/chat/1',
        ('X-Attempt-Id', 'r1'),
        ('X-Deadline-Ms', '5000'),
        ('Connection', 'X-Private, keep-alive'),
        ('X-Private', '1'),
        ('X-Model', 'm'),
    )
    req = PlatformDialect().read_request(head, b'', 100)
    assert req.deadline == pytest.approx(105)
    sent = PlatformDialect().upstream_headers(req, make_upstream('u1'), 2.5, 4)
    assert dict(sent) == {
        b'host': b'x',
        b'x-attempt-id': b'r1',
        b'x-model': b'm',
        b'x-deadline-ms': b'2500',
        b'x-expect-instance': b'u1',
        b'last-event-id': b'4',
    }


@pytest.mark.parametrize('digits', ['9' * 16, '9' * 5000, 'x'])
def test_numbers_of_absurd_length_count_as_missing(digits: str) -> None:
    head = _head(
        'POST',
        '/chat/1',
        ('X-Attempt-Id', 'r1'),
        ('X-Deadline-Ms', digits),
        ('Last-Event-Id', digits),
    )
    req = PlatformDialect().read_request(head, b'', 100)
    assert (req.deadline, req.last_event) == (160, 0)
    target = f'/gentiantrestle/lots/j1?after={"9" * 5000}'
    operation = PlatformDialect().read_job_operation(_head('GET', target))
    assert operation == ReadResults('j1', 0, 0)


def test_request_without_id_is_refused() -> None:
    with pytest.raises(RefusedError):
        PlatformDialect().read_request(_head('GET', '/'), b'', 0)
    assert make_request('r1').id == 'r1'


@pytest.mark.parametrize(
    ('status', 'fields', 'genuine', 'not_run'),
    [
        (200, [('X-Server-Stamp', 's')], True, False),
        (200, [], False, False),
        (
            200,
            [('X-Server-Stamp', 's'), ('Content-Encoding', 'gzip')],
            False,
            False,
        ),
        (503, [('X-Not-Executed', '1')], True, True),
        (503, [], True, False),
        (421, [], True, True),
        (500, [('X-Server-Stamp', 's')], True, False),
    ],
)
def test_success_is_genuine_only_if_stamped_and_not_encoded(
    status: int,
    fields: list[tuple[str, str]],
    genuine: bool,
    not_run: bool,
) -> None:
    head = h11.Response(status_code=status, headers=fields)
    reply = PlatformDialect().read_reply(head)
    assert (reply.genuine, reply.not_run) == (genuine, not_run)


def test_refusal_has_retry_after_and_run_outcome() -> None:
    refusal = Refusal(OVERLOADED, 'full', 0.25)
    status, headers, body = PlatformDialect().write_refusal(refusal)
    assert (status, dict(headers)[b'retry-after']) == (429, b'0.25')
    assert b'"run":"not run"' in body


@pytest.mark.parametrize(
    ('header', 'parts'),
    [
        (b'5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        (b'e4402b7d:250', ()),
        (b'', ()),
        (b',' * 99, ('',) * 16),
        (b'a' * 99 + b':1,b:2', ('a' * 64,)),
    ],
)
def test_shared_prompt_parts_are_all_but_the_last_and_bounded(
    header: bytes, parts: tuple[str, ...]
) -> None:
    head = h11.Request(
        method='POST',
        target='/chat/1',
        headers=[
            ('Host', 'shop.example'),
            ('X-Attempt-Id', 'r1'),
            ('X-Prompt-Prefix', header),
        ],
    )
    dialect = PlatformDialect()
    assert dialect.read_request(head, b'', 0).prompt_parts == parts
    spec = ItemSpec('i1', 1, '/x', {'X-Prompt-Prefix': header.decode()})
    assert dialect.item_prompt_parts(spec) == parts
