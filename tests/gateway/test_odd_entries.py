"""Pages of the store, and entries of upstreams, that nobody can read."""

from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.http.link import RequestNotSentError, open_link
from gentiantrestle.models import Address
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.platform.object_decoder import (
    ObjectDecoder,
    StoreAnswerError,
)
from gentiantrestle.store.raw_json import split_array, split_object
from tests.gateway.odd_entries import (
    ENTRY,
    JSON_VALUES,
    ODD_ENTRIES,
    good_entry,
    make_changes,
    make_list,
    make_object,
)

FIELDS = st.sampled_from([*ENTRY, 'version', 'sequence'])


@pytest.mark.parametrize('kind', ODD_ENTRIES)
@pytest.mark.parametrize('listed', [True, False])
def test_page_with_an_odd_entry_is_read_but_for_that_entry(
    kind: str, listed: bool
) -> None:
    odd = make_object('odd', 2, ODD_ENTRIES[kind])
    found = (good_entry('a'), odd, good_entry('b', 3))
    decoder = ObjectDecoder()
    if listed:
        page = decoder.decode_list(make_list(*found))
    else:
        page = decoder.decode_changes(make_changes(*found))
    assert page.revision == 9
    assert [entry.name for entry in page.entries] == ['a', 'odd', 'b']
    assert [entry.revision for entry in page.entries] == [1, 2, 3]
    readable = [
        entry.name
        for entry in page.entries
        if StoreDocumentDecoder().read_upstream(entry)
    ]
    assert readable == ['a', 'b']


@pytest.mark.parametrize(
    'metadata',
    [
        b'null',
        b'7',
        b'{}',
        b'{"name":7,"revision":1}',
        b'{"name":"","revision":1}',
        b'{"name":"odd"}',
        b'{"name":"odd","revision":"1"}',
        b'{"name":"odd","revision":1' + b'0' * 30 + b'}',
        b'{"name":"odd","revision":-1}',
        b'[' * 5000 + b']' * 5000,
        b'{"name":"\xff","revision":1}',
    ],
)
def test_object_without_readable_name_is_left_out(metadata: bytes) -> None:
    odd = b'{"metadata":%b,"spec":{}}' % metadata
    page = ObjectDecoder().decode_list(
        make_list(good_entry('a'), odd, good_entry('b'))
    )
    assert [entry.name for entry in page.entries] == ['a', 'b']
    with pytest.raises(StoreAnswerError):
        ObjectDecoder().decode_object(odd)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'[]',
        b'{}',
        b'{"items":[]}',
        b'{"as-of":9,"items":{}}',
        b'{"as-of":"9","items":[]}',
        b'{"as-of":1e999,"items":[]}',
        b'{"as-of":9,"items":[',
        b'{"as-of":9,"has-more":true,"items":[{}]}',
        b'\xff',
    ],
)
def test_answer_that_is_no_page_raises_store_answer_error(body: bytes) -> None:
    with pytest.raises(StoreAnswerError):
        ObjectDecoder().decode_list(body)


def test_change_of_an_unreadable_entry_can_be_its_end() -> None:
    odd = make_object('odd', 2, ODD_ENTRIES['nested'])
    body = b'{"events":[{"object":%b,"deleted":true}],"as-of":3}' % odd
    changes = ObjectDecoder().decode_changes(body).entries
    assert [change.deleted for change in changes] == [True]


@given(st.binary())
def test_any_bytes_are_a_page_or_raise_store_answer_error(body: bytes) -> None:
    for decode in (
        ObjectDecoder().decode_list,
        ObjectDecoder().decode_changes,
        ObjectDecoder().decode_object,
    ):
        with suppress(StoreAnswerError):
            decode(body)


@given(JSON_VALUES)
def test_values_of_any_shape_are_split_as_they_are_decoded(found: Any) -> None:
    raw_list = msgspec.json.encode([found, found])
    assert (
        list(map(msgspec.json.decode, split_array(raw_list)))
        == [msgspec.json.decode(msgspec.json.encode(found))] * 2
    )
    parts = split_object(msgspec.json.encode({'a': found, 'b': 1}))
    assert set(parts) == {'a', 'b'}
    assert msgspec.json.decode(parts['a']) == msgspec.json.decode(
        msgspec.json.encode(found)
    )


@given(FIELDS, JSON_VALUES)
def test_entry_with_any_field_is_usable_or_names_no_upstream(
    field: str, found: Any
) -> None:
    raw = msgspec.json.encode({**ENTRY, field: found})
    page = ObjectDecoder().decode_list(make_list(make_object('u', 1, raw)))
    upstream = StoreDocumentDecoder().read_upstream(page.entries[0])
    if upstream is not None:
        assert 0 <= upstream.slots <= 65535
        assert 0 < upstream.address.port <= 65535
        assert upstream.incarnation < 2**63


@pytest.mark.parametrize('port', [-1, 65536, 99999, 2**70])
async def test_impossible_port_raises_request_not_sent(port: int) -> None:
    with pytest.raises(RequestNotSentError):
        await open_link(Address('127.0.0.1', port), 1, 1000)
