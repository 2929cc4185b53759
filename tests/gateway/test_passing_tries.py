"""How often a request is tried where paths to upstreams are broken."""

import time

import pytest

from gentiantrestle.errors import OVERLOADED, RefusedError, refuse
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.ending import Ending
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import Request, Route, Upstream
from gentiantrestle.gateway.passing.answers import UNREACHED
from gentiantrestle.gateway.passing.messages import PassedRequest, pack
from gentiantrestle.gateway.passing.peer import PassedRequestHandler
from gentiantrestle.gateway.retry_policy import MAX_REFUSALS
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.slot_request import SlotRequest
from gentiantrestle.gateway.slots.timing import NO_TIMING, AnswerTiming
from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.upstream_runs import UpstreamRuns
from gentiantrestle.models import Address
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.ports import HOST, free_ports

OWN_TRIES = 3


class BrokenPaths:
    """Upstreams and peers that refuse connections, and who was tried."""

    def __init__(self, noticed_after: int) -> None:
        """Take the service for cut off after so many tries."""
        self.tried: list[str] = []
        self._noticed_after = noticed_after
        self._address = Address(HOST, free_ports(1)[0])
        self.instance = 'one'
        self.slots = MAX_REFUSALS

    def is_cut_off(self, service: str) -> bool:
        """Return whether enough upstreams were tried."""
        return len(self.tried) >= self._noticed_after

    def note(self, upstream: Upstream, *, reached: bool) -> None:
        """Note a try."""
        self.tried.append(upstream.id)

    async def acquire(self, slot_request: SlotRequest) -> SlotLease:
        """Return a slot on an upstream; refuse after ``slots`` of them."""
        self.slots -= 1
        if self.slots < 0:
            raise refuse(OVERLOADED, 'all that are not suspended are full', 1)
        upstream = make_upstream('u-1', address=self._address)
        return SlotLease(1, upstream, '', 0)

    def find(
        self, service: str, version: str, excluded: str = ''
    ) -> SlotLease | None:
        """Return a stand-in for a peer once the cut is noticed."""
        if not self.is_cut_off(service):
            return None
        peer = make_upstream('peer', address=self._address)
        return SlotLease(0, peer, '', 0, via='peer')

    def release(
        self,
        lease: SlotLease,
        health: SlotOutcome = SlotOutcome.UNKNOWN,
        timing: AnswerTiming = NO_TIMING,
    ) -> None:
        """Do nothing."""

    def avoid(self, lease: SlotLease) -> None:
        """Note a try."""
        self.tried.append(lease.via)

    def log(self, passed: PassedRequest, lease: SlotLease) -> None:
        """Do nothing."""

    def record(self, outcome: str) -> None:
        """Do nothing."""


class NewStreams:
    """Knows of no stream."""

    async def find(self, req: Request, route: Route) -> StreamOrigin:
        """Return the origin of a new stream."""
        return StreamOrigin(req.id, ENGINES, '')

    def end(self, req: Request) -> None:
        """Do nothing."""

    def may_be_mixed(self, service: str) -> bool:
        """Return whether there are several versions."""
        return False


def make_context(paths: BrokenPaths) -> ForwardingContext:
    """Return what forwarding depends on."""
    return ForwardingContext(
        paths,
        None,
        Clock(time.monotonic, time.time),
        RequestGuard(Evidence(), lambda key: True),
        NewStreams(),
        UpstreamRuns(None),
        paths,
        paths,
    )


async def test_tries_of_its_own_leave_as_many_through_peers() -> None:
    paths = BrokenPaths(OWN_TRIES)
    forwarder = Forwarder(make_context(paths))
    req, route = make_request('r1', time.monotonic()), make_route()
    with pytest.raises(RefusedError):
        await forwarder.answer(req, route, Exchange(None, None, b''))
    assert paths.tried.count('peer') == MAX_REFUSALS


async def serve_passed(paths: BrokenPaths) -> RefusedError:
    """Have a peer serve a request; return its refusal."""
    context = make_context(paths)
    handler = PassedRequestHandler(
        Forwarder(context._replace(passing=None)),
        paths,
        Ending(),
        context.clock,
    )
    now = time.monotonic()
    req = make_request('r1', now)
    passed = PassedRequest(
        'two', req, make_route(), ENGINES, '', 0, frozenset()
    )
    exchange = Exchange(None, None, pack(passed, now))
    with pytest.raises(RefusedError) as caught:
        await handler.handle(exchange)
    return caught.value


async def test_peer_that_finds_itself_cut_off_tries_no_further() -> None:
    paths = BrokenPaths(1)
    exc = await serve_passed(paths)
    assert exc.refusal.kind is UNREACHED
    assert paths.tried == ['u-1']


async def test_peer_that_met_no_upstream_does_not_refuse_for_all() -> None:
    paths = BrokenPaths(OWN_TRIES)
    paths.slots = 1
    exc = await serve_passed(paths)
    assert exc.refusal.kind is UNREACHED
    assert paths.tried == ['u-1']
