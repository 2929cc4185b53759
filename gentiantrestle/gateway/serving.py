"""The HTTP servers of an instance, which stop together."""

import asyncio
from typing import NamedTuple

from gentiantrestle.gateway.assembly import WorkComponents
from gentiantrestle.gateway.fleet_context import FleetContext, InstanceConfig
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.http_server import HttpServer
from gentiantrestle.gateway.passing.service import (
    build_passing,
    build_passing_server,
)
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.request_handler import RequestHandler
from gentiantrestle.gateway.routing import Router
from gentiantrestle.models import Address


class Listener(NamedTuple):
    """A server and where it listens; nowhere without an address."""

    server: HttpServer
    address: Address | None


class Servers:
    """The server for callers, and the one for other instances."""

    def __init__(self, *listeners: Listener) -> None:
        """Serve nobody yet."""
        self._listeners = listeners

    @property
    def in_flight(self) -> int:
        """Count the connections with a request in flight."""
        return sum(known.server.in_flight for known in self._listeners)

    @property
    def is_drained(self) -> bool:
        """Return whether no connection is left."""
        return all(known.server.is_drained for known in self._listeners)

    async def start(self) -> None:
        """Listen at all addresses."""
        for server, address in self._listeners:
            if address is not None:
                await server.start(address.host, address.port)

    def begin_stop(self) -> None:
        """Let each request from now on be the last of its connection."""
        for known in self._listeners:
            known.server.stopping = True

    def close_idle(self) -> None:
        """Stop listening and close the connections that are idle."""
        for known in self._listeners:
            known.server.close_idle()

    async def end_requests(self) -> None:
        """Answer what is left now, or cut it."""
        ending = (known.server.end_requests() for known in self._listeners)
        await asyncio.gather(*ending)


def build_context(
    cfg: InstanceConfig,
    fleet: FleetContext,
    components: WorkComponents,
    dialect: Dialect,
) -> ForwardingContext:
    """Build what forwarding requests depends on."""
    work = components.batch_context
    return ForwardingContext(
        components.admission,
        dialect,
        fleet.clock,
        work.guard,
        components.streams,
        work.runs,
        work.reach,
        build_passing(fleet, cfg.passing_port, work.reach),
    )


def build_servers(
    cfg: InstanceConfig,
    handler: RequestHandler,
    context: ForwardingContext,
    router: Router,
) -> Servers:
    """Build the servers; both end requests when ``handler`` does."""
    callers = HttpServer(
        handler.handle,
        context.dialect.write_refusal,
        lambda: router.table.limits,
    )
    callers.check_head = handler.check_head
    peers = build_passing_server(
        context, handler.ending, handler.is_prepared, router
    )
    port = cfg.passing_port
    address = None if port is None else Address(cfg.host, port)
    return Servers(
        Listener(callers, cfg.http_address), Listener(peers, address)
    )
