"""Calls to an entry instance, for programs without a loop of their own."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import aclosing
from typing import Any

import msgspec

from gentiantrestle.http.client import (
    ClientConnection,
    ClientRequest,
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.messages import JSON
from gentiantrestle.models import Address

TIMEOUT = 60.0  # seconds
CONNECT_TIMEOUT = 5.0  # seconds
FIRST_ERROR = 400


class Failure(Exception):
    """The instance has refused a call; ``run`` tells if it was run."""

    def __init__(self, status: int, error: dict[str, str]) -> None:
        """Keep what the instance has said."""
        self.status = status
        self.kind = error.get('type', 'unknown')
        self.run = error.get('run', 'unknown')
        reason = error.get('message', f'status {status}')
        remedy = error.get('remedy', 'Look at the log of the instance.')
        super().__init__(f'{reason}. {remedy}')


class UnreachableError(Exception):
    """No instance answered; nothing is known of the call."""


class Connection:
    """Sends calls with a key to one address."""

    def __init__(self, address: str, key: str) -> None:
        """Take ``IP:PORT`` and the key of an account."""
        self._address = Address.parse(address)
        self._key = key
        self._runner = asyncio.Runner()

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Send a call, return its JSON; raise ``Failure`` on a refusal."""
        call = self._build(method, target, body, headers)
        return msgspec.json.decode(self._runner.run(self._fetch(call)))

    def stream(
        self,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> Iterator[bytes]:
        """Send a call and yield the parts of its answer as they come."""
        parts = self._parts(self._build(method, target, body, ()))
        try:
            while True:
                part = self._runner.run(_next(parts))
                if part is None:
                    return
                yield part
        finally:
            self._runner.run(parts.aclose())

    def close(self) -> None:
        """Free the loop that the calls ran on."""
        self._runner.close()

    def _build(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> ClientRequest:
        own = (('Authorization', f'Bearer {self._key}'), ('Content-Type', JSON))
        return ClientRequest(method, target, (*own, *headers), body)

    async def _fetch(self, call: ClientRequest) -> bytes:
        return b''.join([part async for part in self._parts(call)])

    async def _parts(self, call: ClientRequest) -> AsyncIterator[bytes]:
        try:
            async with asyncio.timeout(TIMEOUT):
                conn = await ClientConnection.open(
                    self._address,
                    CONNECT_TIMEOUT,
                )
                answer = await conn.send(call, str(self._address))
        except (NotSentError, ConnectionLostError, TimeoutError) as exc:
            raise UnreachableError(
                f'{self._address} does not answer: {exc}. '
                'Check --server and that the instance runs.',
            ) from exc
        try:
            await _raise_refusal(answer)
            async with aclosing(conn.iter_body()) as parts:
                async for part in parts:
                    yield part
        except ConnectionLostError as exc:
            raise UnreachableError(f'The answer was cut: {exc}') from exc
        finally:
            conn.close()


async def _raise_refusal(answer: ClientResponse) -> None:
    if answer.status < FIRST_ERROR:
        return
    body = await answer.read()
    error: dict[str, str] = {}
    try:
        error = msgspec.json.decode(body)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        error['message'] = body.decode(errors='replace')
    raise Failure(answer.status, error)


async def _next(parts: AsyncIterator[bytes]) -> bytes | None:
    return await anext(parts, None)
