"""Blocking calls to an entry instance, for programs without asyncio."""

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

RESPONSE_START_TIMEOUT = 60.0  # seconds to connect, send and get the head
CONNECT_TIMEOUT = 5.0  # seconds
FIRST_ERROR_STATUS = 400


class Failure(Exception):
    """The instance answered a call with an error.

    ``status`` is the HTTP status, ``kind`` the name of the error, and ``run``
    whether the call was run: ``'not run'`` or ``'unknown'``.
    """

    def __init__(self, status: int, error: dict[str, str]) -> None:
        """Build the message from the error of the answer."""
        self.status = status
        self.kind = error.get('type', 'unknown')
        self.run = error.get('run', 'unknown')
        reason = error.get('message', f'status {status}')
        remedy = error.get('remedy', 'Check the log of the instance.')
        super().__init__(f'{reason}. {remedy}')


class UnreachableError(Exception):
    """No whole answer arrived; it is unknown whether the call was run."""


class Connection:
    """Sends calls with one key to one address."""

    def __init__(self, address: str, key: str) -> None:
        """Use an address ``IP:PORT`` and the key of a client account.

        No connection is opened yet. Raise ``ValueError`` if the port is not a
        number.
        """
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
        """Send a call and return the decoded JSON of the answer.

        Raise ``Failure`` if the instance answers with an error, and
        ``UnreachableError`` if no whole answer arrives.
        """
        call = self._build_call(method, target, body, headers)
        return msgspec.json.decode(self._runner.run(self._fetch(call)))

    def stream(
        self,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> Iterator[bytes]:
        """Send a call and yield the parts of its answer as they arrive.

        Raise the same errors as ``call``.
        """
        parts = self._iter_body(self._build_call(method, target, body, ()))
        try:
            while True:
                part = self._runner.run(_next_part(parts))
                if part is None:
                    return
                yield part
        finally:
            self._runner.run(parts.aclose())

    def close(self) -> None:
        """Close the event loop that the calls run on."""
        self._runner.close()

    def _build_call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> ClientRequest:
        common = (
            ('Authorization', f'Bearer {self._key}'),
            ('Content-Type', JSON),
        )
        return ClientRequest(method, target, (*common, *headers), body)

    async def _fetch(self, call: ClientRequest) -> bytes:
        return b''.join([part async for part in self._iter_body(call)])

    async def _iter_body(self, call: ClientRequest) -> AsyncIterator[bytes]:
        try:
            async with asyncio.timeout(RESPONSE_START_TIMEOUT):
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
            await _raise_for_status(answer)
            async with aclosing(conn.iter_body()) as parts:
                async for part in parts:
                    yield part
        except ConnectionLostError as exc:
            raise UnreachableError(f'The answer was cut off: {exc}') from exc
        finally:
            conn.close()


async def _raise_for_status(answer: ClientResponse) -> None:
    if answer.status < FIRST_ERROR_STATUS:
        return
    body = await answer.read()
    error: dict[str, str] = {}
    try:
        error = msgspec.json.decode(body)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        error['message'] = body.decode(errors='replace')
    raise Failure(answer.status, error)


async def _next_part(parts: AsyncIterator[bytes]) -> bytes | None:
    return await anext(parts, None)
