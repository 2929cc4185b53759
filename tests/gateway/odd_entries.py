"""Entries of upstreams that another writer might leave in the store."""

from types import MappingProxyType

import msgspec
from hypothesis import strategies as st

from tests.gateway.wire_samples import SERVICE

DEPTH = 100000
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
SURROGATE = b'\\' + b'ud800'
ENTRY = MappingProxyType(
    {
        'service': SERVICE,
        'address': '127.0.0.1:9',
        'zone': 'a1',
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
)


def _with(field: str, raw: bytes) -> bytes:
    """Return an entry in which the text of one field is replaced."""
    return msgspec.json.encode({**ENTRY, field: msgspec.Raw(raw)})


ODD_ENTRIES = MappingProxyType(
    {
        'nested': b'[' * DEPTH + b']' * DEPTH,
        'nested in a field': _with('service', b'[' * DEPTH + b']' * DEPTH),
        'nested a little': _with('extra', b'[' * 900 + b']' * 900),
        'digits': _with('slots', b'1' * 10000),
        'digits elsewhere': _with('extra', b'1' * 10000),
        'exponent': _with('slots', b'1e999'),
        'not a number': _with('slots', b'NaN'),
        'many slots': _with('slots', b'1' + b'0' * 30),
        'slots below 64 bits': _with('slots', b'9000000000000000000'),
        'slots below 32 bits': _with('slots', b'2147483647'),
        'late birth': _with('born', b'1' + b'0' * 30),
        'port out of range': _with('address', b'"127.0.0.1:99999"'),
        'port zero': _with('address', b'"127.0.0.1:0"'),
        'negative port': _with('address', b'"127.0.0.1:-1"'),
        'odd digits': _with('address', '"127.0.0.1:٨٠"'.encode()),
        'host name': _with('address', b'"' + b'x' * 300 + b':80"'),
        'no host': _with('address', b'":80"'),
        'long zone': _with('zone', b'"' + b'z' * 100000 + b'"'),
        'long service': _with('service', b'"' + b's' * 100000 + b'"'),
        'surrogate': _with('zone', b'"' + SURROGATE + b'"'),
        'bytes': _with('zone', b'"\xff\xfe"'),
        'state of another type': _with('state', b'[]'),
        'null': b'null',
        'text': b'"text"',
        'number': b'7',
        'empty': b'{}',
        'twice': b'{"slots":"x",'
        + msgspec.json.encode(dict(ENTRY))[1:-1]
        + b',"slots":"y"}',
    }
)


def make_object(name: str, revision: int, spec: bytes) -> bytes:
    """Return an object of the store with the text of its content."""
    metadata = msgspec.json.encode({'name': name, 'revision': revision})
    return b'{"metadata":%b,"spec":%b,"status":null}' % (metadata, spec)


def make_list(*documents: bytes) -> bytes:
    """Return a page of a list."""
    return b'{"items":[%b],"has-more":false,"as-of":9}' % b','.join(documents)


def make_changes(*documents: bytes) -> bytes:
    """Return the answer to a watch."""
    found = b','.join(
        b'{"object":%b,"deleted":false}' % document for document in documents
    )
    return b'{"events":[%b],"as-of":9}' % found


def good_entry(name: str, revision: int = 1) -> bytes:
    """Return an object with the entry of an upstream."""
    return make_object(name, revision, msgspec.json.encode(dict(ENTRY)))
