"""A small HTTP/1.1 server and client for the stand-ins; stdlib only."""

import asyncio
import json
from typing import Any, NamedTuple


class Request(NamedTuple):
    """One request as a stand-in reads it; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        pairs = self.target.partition('?')[2].split('&')
        return dict(pair.partition('=')[::2] for pair in pairs if pair)


class Reply(NamedTuple):
    """A whole answer; status 0 stands for no or no complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


NO_REPLY = Reply(0, {}, b'')


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Read a first line and header fields; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with a Content-Length; None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ')
    length = int(head[1].get('content-length', '0'))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the head of an answer."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join([*lines, '', ''])).encode('latin-1')


def encode_json(status: int, document: Any) -> bytes:
    """Encode a whole answer with a JSON body."""
    body = json.dumps(document, ensure_ascii=False).encode()
    headers = {
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
    }
    return encode_head(status, headers) + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout: float = 5.0,
) -> Reply:
    """Send one request on a new channel; ``NO_REPLY`` if it isn't answered."""
    try:
        async with asyncio.timeout(timeout):
            return await _call(address, method, target, headers, body)
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return NO_REPLY


async def _call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
) -> Reply:
    reader, writer = await asyncio.open_connection(*address, limit=2**23)
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode('latin-1') + body)
        head = await read_head(reader)
        if head is None:
            return NO_REPLY
        status = int(head[0].split(' ')[1])
        return Reply(status, head[1], await _read_body(reader, head[1]))
    finally:
        writer.close()


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding') != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', '0')))
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])
