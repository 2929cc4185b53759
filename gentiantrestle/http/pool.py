"""A bounded pool that reuses HTTP/1.1 client connections."""

import asyncio

from gentiantrestle.http.client import (
    ClientConnection,
    ClientRequest,
    ClientResponse,
)
from gentiantrestle.models import Address

MAX_IDLE = 64  # connections


class ConnectionPool:
    """Reusable connections to one address, at most ``size`` in use."""

    def __init__(self, address: Address, size: int, timeout: float) -> None:
        """Open connections on demand, each within ``timeout`` s."""
        self.address = address
        self._timeout = timeout
        self._semaphore = asyncio.Semaphore(size)
        self._idle: list[ClientConnection] = []
        # Whether the last answer told in no other way than this where it ended.
        self._ends_by_close = False

    async def send(
        self, req: ClientRequest, *, fresh: bool = False
    ) -> ClientResponse:
        """Send a request; the caller must ``release`` its response.

        With ``fresh``, for what may not be taken for run or not run by mistake,
        it gets a connection of its own: nothing that the server wrote for
        another request can be read as its answer. Raises ``NotSentError`` and
        ``ConnectionLostError``.
        """
        await self._semaphore.acquire()
        conn = None
        try:
            conn = await self._connect(fresh=fresh)
            if self._ends_by_close:
                await conn.expect_no_length()
            response = await conn.send(req, str(self.address))
        except BaseException:
            self._semaphore.release()
            if conn is not None:
                conn.abandon()
            raise
        self._ends_by_close = conn.ends_by_close
        return response

    def release(self, response: ClientResponse) -> None:
        """Take a connection back; close it if it can't be reused."""
        self._semaphore.release()
        if response.conn.usable and len(self._idle) < MAX_IDLE:
            self._idle.append(response.conn)
            return
        response.conn.close()

    async def fetch(
        self, req: ClientRequest, *, fresh: bool = False
    ) -> tuple[ClientResponse, bytes]:
        """Send a request as ``send`` does, and read its whole response."""
        response = await self.send(req, fresh=fresh)
        try:
            body = await response.read()
        finally:
            self.release(response)
        return response, body

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self, *, fresh: bool) -> ClientConnection:
        while self._idle and not fresh:
            conn = self._idle.pop()
            if conn.usable:
                return conn
            conn.close()
        conn = await ClientConnection.open(self.address, self._timeout)
        if fresh:
            conn.end_after_answer()
        return conn
