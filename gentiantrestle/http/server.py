"""Accept HTTP/1.1 connections, and stop without cutting requests."""

import asyncio
from contextlib import suppress

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    INTERNAL,
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
from gentiantrestle.http.messages import Request, Response, refusal_response

READ_SIZE = 65536  # bytes
ACCEPT_BACKLOG = 1024


class Server:
    """Accepts connections and stops without cutting a request."""

    def __init__(self, handle: Handler, limits: ServerLimits) -> None:
        """Serve with ``handle`` within ``limits``."""
        self._handle = handle
        self._limits = limits
        self._open: dict[asyncio.Task[None], ServerConnection] = {}
        self._stopping = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def active(self) -> int:
        """Count the requests that are being answered."""
        return sum(conn.started for conn in self._open.values())

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            limit=READ_SIZE,
            backlog=ACCEPT_BACKLOG,
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self, grace: float) -> int:
        """Finish running requests; return how many were cut."""
        self._stopping.set()
        if self._server is not None:
            self._server.close()
        for task, conn in tuple(self._open.items()):
            if not conn.started:
                task.cancel()
        if self._open:
            await asyncio.wait(tuple(self._open), timeout=grace)
        cut = self.active
        for task in tuple(self._open):
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)
        return cut

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        conn = ServerConnection(reader, writer, self._limits)
        task = asyncio.current_task()
        full = len(self._open) >= self._limits.max_connections
        self._open[task] = conn
        try:
            if full:
                raise refuse(OVERLOADED, 'Too many connections', 1)
            await conn.serve(self._safe_handle, self._stopping)
        except RefusedError as exc:
            with suppress(ConnectionClosedError, h11.LocalProtocolError):
                await conn.refuse(exc)
        except (ConnectionClosedError, h11.LocalProtocolError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._open.pop(task, None)
            conn.close()

    async def _safe_handle(self, req: Request) -> Response:
        try:
            return await self._handle(req)
        except RefusedError as exc:
            return refusal_response(exc.refusal)
        except ConnectionClosedError:
            raise
        except Exception as exc:  # noqa: BLE001 (answered and logged)
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            failure = refuse(INTERNAL, 'The request failed inside')
            return refusal_response(failure.refusal)
