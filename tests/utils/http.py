"""HTTP requests for tests, each on its own connection."""

import asyncio
from typing import Any, NamedTuple

import msgspec

from gentiantrestle.http.client import ClientConnection, ClientRequest
from gentiantrestle.models import Address

CONNECT_TIMEOUT = 2.0  # seconds


class Reply(NamedTuple):
    """A whole response; names of ``headers`` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return msgspec.json.decode(self.body)


async def send(
    address: Address,
    method: str,
    target: str,
    body: Any = b'',
    **headers: str,
) -> Reply:
    """Send one request and return its whole response.

    A body that isn't bytes is sent as JSON. Names of ``headers`` have
    underscores for dashes. Raise ``NotSentError`` or ``ConnectionLostError``.
    """
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    fields = tuple(
        (name.replace('_', '-'), text) for name, text in headers.items()
    )
    conn = await ClientConnection.open(address, CONNECT_TIMEOUT)
    try:
        answer = await conn.send(
            ClientRequest(method, target, fields, body),
            str(address),
        )
        reply_body = await answer.read()
    finally:
        conn.close()
    reply_headers = {
        name.decode().lower(): text.decode()
        for name, text in answer.raw_headers
    }
    return Reply(answer.status, reply_headers, reply_body)


async def send_raw(address: Address, raw: bytes) -> bytes:
    """Send raw bytes; return all that comes until the server closes."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(raw)
        await writer.drain()
        return await reader.read()
    finally:
        writer.close()


async def until(check: Any, timeout: float = 30) -> Any:
    """Call ``check`` until it returns something true, and return that.

    ``check`` may be a coroutine function. Raise ``TimeoutError`` after
    ``timeout`` seconds.
    """
    async with asyncio.timeout(timeout):
        while True:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
