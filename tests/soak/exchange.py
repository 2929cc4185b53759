"""Connections of callers to entries, kept and used again."""

import random

from gentiantrestle.http.client import ClientConnection, ClientRequest
from tests.gateway.wire_samples import ROUTE_HOST
from tests.soak.soak_fleet import SoakFleet

CONNECT_TIMEOUT = 1.0  # seconds
REUSE_SHARE = 0.7  # of requests that reuse an idle connection, if there is one
EVENT_END = b'\n\n'


class PartialResponse:
    """The part of a response that has been received so far."""

    def __init__(self) -> None:
        """Start without a response."""
        self.status = 0
        # The entry has accepted the connection.
        self.reached = False
        self.complete = False
        # The caller has closed the connection.
        self.left = False
        # The upstream said that it is leaving.
        self.leaving = False
        self.parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Return the body as far as received."""
        return b''.join(self.parts)


class CallerConnections:
    """Idle connections by entry; ``rng`` chooses whether to use them."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        """Start without connections."""
        self._fleet = fleet
        self._rng = rng
        self._idle: dict[int, list[ClientConnection]] = {}

    async def exchange(
        self,
        entry: int,
        message: ClientRequest,
        response: PartialResponse,
        leave_after: int,
    ) -> None:
        """Send a request and fill in ``response``.

        Leave after so many events, unless that is 0.
        """
        conn = await self._connect(entry)
        response.reached = True
        try:
            await _read(conn, message, response, leave_after)
        finally:
            if response.complete and conn.usable:
                self._idle.setdefault(entry, []).append(conn)
            else:
                conn.close()

    async def _connect(self, entry: int) -> ClientConnection:
        idle = self._idle.get(entry)
        if idle and self._rng.random() < REUSE_SHARE:
            conn = idle.pop()
            if conn.usable:
                return conn
            conn.close()
        return await ClientConnection.open(
            self._fleet.front_address(entry), CONNECT_TIMEOUT
        )


async def _read(
    conn: ClientConnection,
    message: ClientRequest,
    response: PartialResponse,
    leave_after: int,
) -> None:
    reply = await conn.send(message, ROUTE_HOST)
    response.status = reply.status
    response.leaving = reply.header('Server-Leaving') == '1'
    async for part in conn.iter_body():
        response.parts.append(part)
        count = response.body.count(EVENT_END)
        if leave_after and count >= leave_after:
            response.left = True
            return
    response.complete = True
