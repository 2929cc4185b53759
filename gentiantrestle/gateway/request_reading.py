"""Reads the parts of a caller's request, and refuses invalid ones."""

import h11

from gentiantrestle.errors import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    TOO_LARGE,
    refuse,
)
from gentiantrestle.gateway.exchange import CONTENT_LENGTH
from gentiantrestle.http.link import Link, LinkLostError

TRANSFER_ENCODING = b'transfer-encoding'


async def read_event(link: Link) -> h11.Event:
    """Return the next event; refuse invalid HTTP.

    Raises ``LinkLostError`` if the caller has left.
    """
    try:
        return await link.next_event()
    except h11.RemoteProtocolError as exc:
        if link.eof_seen:
            raise LinkLostError('cut') from exc
        kind = BAD_REQUEST
        if exc.error_status_hint == HEADERS_TOO_LARGE.status:
            kind = HEADERS_TOO_LARGE
        # The rest of the text may quote a field, and that one hold a key.
        fault = str(exc).partition(':')[0]
        raise refuse(kind, f'The request is not valid HTTP: {fault}') from None


async def collect_body(link: Link, limit: int) -> bytes:
    """Return the whole body; refuse one of more than ``limit`` bytes."""
    body = bytearray()
    while True:
        event = await read_event(link)
        if not isinstance(event, h11.Data):
            break
        body += event.data
        if len(body) > limit:
            raise refuse(TOO_LARGE, f'The request body exceeds {limit} bytes')
    if not isinstance(event, h11.EndOfMessage):
        raise LinkLostError('connection ended within the request body')
    return bytes(body)


def announces_body(head: h11.Request) -> bool:
    """Return whether a body follows the head of a request."""
    fields = dict(head.headers)
    if TRANSFER_ENCODING in fields:
        return True
    return fields.get(CONTENT_LENGTH, b'').strip(b'0') != b''


def check_framing(head: h11.Request) -> None:
    """Refuse a request with two header fields that both define its end."""
    names = [name.lower() for name, _ in head.headers]
    if CONTENT_LENGTH in names and TRANSFER_ENCODING in names:
        raise refuse(
            BAD_REQUEST,
            'The request has both Content-Length and Transfer-Encoding',
        )
