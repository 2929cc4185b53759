"""Builds the parts that pass requests on, and that serve them for others."""

import random
from collections.abc import Callable
from functools import partial

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.ending import Ending
from gentiantrestle.gateway.fleet_context import FleetContext
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.http_server import HttpServer, RefusalWriter
from gentiantrestle.gateway.model import (
    CallerLimits,
    Request,
    Route,
    Upstream,
)
from gentiantrestle.gateway.passing.answers import refusal_fields
from gentiantrestle.gateway.passing.choice import PeerChoice
from gentiantrestle.gateway.passing.origin import PassingParts, PeerPassing
from gentiantrestle.gateway.passing.peer import PassedRequestHandler
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.routing import Router
from gentiantrestle.gateway.streams.service import StreamOrigins
from gentiantrestle.http.link import HeaderPairs

# What a message has beside the header and body of its request.
MESSAGE_MARGIN = 65536  # bytes


class PassedStreams:
    """The streams of an instance, for those that it serves for others.

    Only the instance that answers the caller knows where a stream began: an
    event may be lost on its way there, and another peer begin it again.
    """

    def __init__(self, streams: StreamOrigins) -> None:
        """Ask ``streams`` about versions."""
        self.may_be_mixed = streams.may_be_mixed

    def begin(self, req: Request, route: Route, upstream: Upstream) -> None:
        """Note nothing."""

    def end(self, req: Request) -> None:
        """Note nothing."""


def build_passing(
    fleet: FleetContext, port: int | None, reach: UpstreamReach
) -> PeerPassing | None:
    """Build what passes requests on to ``port``; None without a port."""
    if port is None:
        return None
    rng = random.Random(fleet.run_name)
    parts = PassingParts(
        fleet.identity,
        fleet.peers,
        reach,
        fleet.state.roster,
        PeerChoice(fleet.topology, rng.random),
    )
    return PeerPassing(parts, port, fleet.clock.now)


def build_passing_server(
    context: ForwardingContext,
    ending: Ending,
    is_prepared: Callable[[], bool],
    router: Router,
) -> HttpServer:
    """Build the server; what it answers is never passed on again."""
    clock: Clock = context.clock
    handler = PassedRequestHandler(
        Forwarder(
            context._replace(
                passing=None, streams=PassedStreams(context.streams)
            )
        ),
        context.reach,
        ending,
        clock,
    )
    handler.is_prepared = is_prepared
    handler.admit = partial(strip_unnamed, context.dialect, router)
    return HttpServer(
        handler.handle,
        _refusal_writer(context.dialect.write_refusal),
        lambda: _message_limits(router.table.limits),
    )


def _message_limits(limits: CallerLimits) -> CallerLimits:
    """Return limits of messages with requests within callers' ``limits``."""
    size = limits.body_bytes + limits.header_bytes + MESSAGE_MARGIN
    return CallerLimits(body_bytes=size)


def strip_unnamed(dialect: Dialect, router: Router, req: Request) -> Request:
    """Return a request without its key if an older build passes it on.

    Such a build knows no accounts.
    """
    if req.account is None and router.table.accounts is not None:
        return dialect.name_account(req, '')
    return req


def _refusal_writer(write_refusal: RefusalWriter) -> RefusalWriter:
    def write(refusal: Refusal) -> tuple[int, HeaderPairs, bytes]:
        status, headers, body = write_refusal(refusal)
        return status, [*headers, *refusal_fields(refusal)], body

    return write
