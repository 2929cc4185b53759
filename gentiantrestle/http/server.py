"""HTTP/1.1 server that finishes requests in flight before it stops."""

import asyncio
from contextlib import suppress

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    OVERLOADED,
    RefusedError,
    refuse,
)
from gentiantrestle.http.connection import (
    ConnectionClosedError,
    Handler,
    ServerConnection,
    ServerLimits,
)
from gentiantrestle.http.messages import (
    Request,
    Response,
    internal_error_response,
    refusal_response,
)

READ_SIZE = 65536  # bytes
ACCEPT_BACKLOG = 1024


class Server:
    """Accepts connections; a stop waits for requests in flight."""

    def __init__(self, handle: Handler, limits: ServerLimits) -> None:
        """Pass each request to ``handle``, within ``limits``."""
        self._handle = handle
        self._limits = limits
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        self._stopping = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def active(self) -> int:
        """Number of requests in flight."""
        return sum(conn.busy for conn in self._connections.values())

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port, which is a free one for port 0."""
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            limit=READ_SIZE,
            backlog=ACCEPT_BACKLOG,
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self, grace: float) -> int:
        """Wait up to ``grace`` s for requests; return how many were cut off.

        A request that has arrived, even in part, is answered: after the grace
        it is refused, and an answer that has begun is cut.
        """
        self._stopping.set()
        if self._server is not None:
            self._server.close()
        for conn in self._connections.values():
            conn.end_idle()
        if self._connections:
            await asyncio.wait(tuple(self._connections), timeout=grace)
        cut = self.active
        for task in tuple(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        return cut

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        conn = ServerConnection(reader, writer, self._limits)
        task = asyncio.current_task()
        full = len(self._connections) >= self._limits.max_connections
        self._connections[task] = conn
        try:
            if full:
                raise refuse(OVERLOADED, 'Too many connections', 1)
            await conn.serve(self._handle_safely, self._stopping)
        except RefusedError as exc:
            with suppress(ConnectionClosedError, h11.LocalProtocolError):
                await conn.refuse(exc)
        except (ConnectionClosedError, h11.LocalProtocolError, ConnectionError):
            return
        except asyncio.CancelledError:
            with suppress(ConnectionClosedError, h11.LocalProtocolError):
                await conn.end()
        finally:
            self._connections.pop(task, None)
            conn.close()

    async def _handle_safely(self, req: Request) -> Response:
        try:
            return await self._handle(req)
        except RefusedError as exc:
            return refusal_response(exc.refusal)
        except ConnectionClosedError:
            raise
        except Exception as exc:  # noqa: BLE001 (answered and logged)
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            return internal_error_response()
