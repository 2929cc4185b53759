"""Requests with exactly the header fields that a test gives."""

import asyncio
from typing import Any

import msgspec

from gentiantrestle.http.client import ConnectionLostError
from gentiantrestle.models import Address
from tests.utils.http import Reply


async def send_exact(
    address: Address,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str],
) -> Reply:
    """Send a request with these header fields; return the whole response.

    ``Content-Length`` and ``Connection: close`` are added. Raise ``OSError``
    if the connection can't be opened, and ``ConnectionLostError`` if it is
    lost before the end of the response.
    """
    payload = b'' if body is None else msgspec.json.encode(body)
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(payload)}', 'Connection: close', '', '']
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write('\r\n'.join(lines).encode() + payload)
        raw = await reader.read()
    except ConnectionError as exc:
        raise ConnectionLostError(repr(exc)) from exc
    finally:
        writer.close()
    return parse_reply(raw)


def parse_reply(raw: bytes) -> Reply:
    """Parse a whole response; raise ``ConnectionLostError`` if it was cut."""
    head, separator, rest = raw.partition(b'\r\n\r\n')
    if not separator:
        raise ConnectionLostError('response has no complete header')
    lines = head.decode('latin-1').split('\r\n')
    fields = dict(line.lower().split(': ', 1) for line in lines[1:])
    body = rest
    if fields.get('transfer-encoding') == 'chunked':
        body = _join_chunks(rest)
    elif len(rest) < int(fields.get('content-length', '0')):
        raise ConnectionLostError('response body is incomplete')
    return Reply(int(lines[0].split()[1]), fields, body)


def _join_chunks(rest: bytes) -> bytes:
    parts = []
    while True:
        size, separator, rest = rest.partition(b'\r\n')
        if not separator:
            raise ConnectionLostError('chunked response is incomplete')
        length = int(size, 16)
        if not length:
            return b''.join(parts)
        parts.append(rest[:length])
        rest = rest[length + 2 :]
