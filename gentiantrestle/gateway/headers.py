"""Selects the header fields that a proxy may forward."""

from collections.abc import Iterable, Iterator

from gentiantrestle.gateway.model import HeaderTuple

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
CONNECTION = b'connection'
NONE_DROPPED: frozenset[bytes] = frozenset()


def forwardable_headers(
    pairs: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes] = NONE_DROPPED,
) -> HeaderTuple:
    """Return the fields with lower-case names, without hop-by-hop ones.

    Also leaves out those that the Connection field names, and ``dropped``.
    """
    fields = [(name.lower(), text) for name, text in pairs]
    hidden = HOP_BY_HOP | dropped | frozenset(_connection_options(fields))
    return tuple(pair for pair in fields if pair[0] not in hidden)


def _connection_options(
    pairs: Iterable[tuple[bytes, bytes]],
) -> Iterator[bytes]:
    for name, text in pairs:
        if name == CONNECTION:
            yield from (part.strip().lower() for part in text.split(b','))
