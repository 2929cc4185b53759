"""Header fields that concern one connection only are not forwarded."""

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
    """Leave out fields of one connection, and those in ``dropped``."""
    every = [(name.lower(), text) for name, text in pairs]
    hidden = HOP_BY_HOP | dropped | frozenset(_connection_options(every))
    return tuple(pair for pair in every if pair[0] not in hidden)


def _connection_options(
    pairs: Iterable[tuple[bytes, bytes]],
) -> Iterator[bytes]:
    for name, text in pairs:
        if name == CONNECTION:
            yield from (part.strip().lower() for part in text.split(b','))
