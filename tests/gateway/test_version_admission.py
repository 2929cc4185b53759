"""Requests bound to one software version, at the instance that asks."""

import asyncio
from collections.abc import Callable

import pytest

from gentiantrestle.errors import (
    NO_UPSTREAM,
    OVERLOADED,
    Refusal,
    RefusedError,
)
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.slots.client import SlotClient, SlotLease
from gentiantrestle.gateway.slots.messages import (
    ASK,
    RELEASE,
    Answer,
    Ask,
    Outgoing,
    Verdict,
)
from gentiantrestle.gateway.slots.slot_request import (
    SlotRequest,
    VersionGoneError,
)
from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.topology import Topology
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard
from tests.gateway.samples import (
    ENGINES,
    ZONES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.virtual_time import run_virtual, virtual_now

OLD, NEW = 'v1.1', 'v1.2'


def _make_peer(zone: str) -> Peer:
    return Peer(f'of {zone}', 1, 1, f'host of {zone}', zone, False, 1, True, 0)


class Desks:
    """The coordinator of each zone, for one client; all answers are given."""

    def __init__(self, *upstreams: tuple[str, str, str]) -> None:
        """List upstreams by id, version and zone."""
        self.roster = Roster()
        for name, version, zone in upstreams:
            self.roster.put(make_upstream(name, version=version, zone=zone))
        self.sent: list[Outgoing] = []
        # Answers an ask with a verdict and an upstream; None if silent.
        self.reply: Callable[[Ask], tuple[Verdict, str] | None] = _stay_silent
        self.client = SlotClient('run', 'me', self, self._send, virtual_now)
        self.admission = Admission(
            Topology('a1', ZONES),
            self.roster,
            self.client,
            lambda: 0,
            virtual_now,
        )

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Return the coordinator of a zone."""
        return (_make_peer(zone),)

    def acquire(self, version: str) -> str:
        """Take a slot; return its upstream."""
        slot_request = SlotRequest(
            make_request('r1'), make_route(), ENGINES, version=version
        )
        return run_virtual(self.admission.acquire(slot_request)).upstream.id

    def releases(self) -> list[str]:
        """Return the hosts at which slots were given back."""
        return [sent.host for sent in self.sent if sent.kind == RELEASE]

    def _send(self, outgoing: Outgoing) -> None:
        self.sent.append(outgoing)
        reply = self.reply(outgoing.message) if outgoing.kind == ASK else None
        if reply is None:
            return
        verdict, upstream = reply
        answer = Answer(
            outgoing.message.key, verdict, upstream, 0.4, '', outgoing.host
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(self.client.receive, answer)


def _stay_silent(ask: Ask) -> None:
    """Answer nothing."""


def test_caller_is_told_at_once_that_its_version_is_gone() -> None:
    desks = Desks(('u1', OLD, 'a1'))
    with pytest.raises(VersionGoneError):
        desks.acquire(NEW)
    assert not desks.sent


def test_slot_of_a_wrong_version_is_given_back_and_a_right_one_chosen() -> None:
    desks = Desks(('u1', OLD, 'a1'), ('u2', NEW, 'b1'))
    desks.reply = lambda ask: (Verdict.GRANTED, 'u1')
    assert desks.acquire(NEW) == 'u2'
    assert desks.releases() == ['host of a1']


@pytest.mark.parametrize(('version', 'chosen'), [('', 'u1'), (NEW, 'u2')])
def test_silent_coordinator_leaves_the_choice_within_the_version(
    version: str, chosen: str
) -> None:
    desks = Desks(('u1', OLD, 'a1'), ('u2', NEW, 'b1'))
    assert desks.acquire(version) == chosen


def test_version_that_only_other_zones_have_is_found_there() -> None:
    desks = Desks(('u1', OLD, 'a1'), ('u2', NEW, 'b1'))
    desks.reply = lambda ask: (Verdict.REFUSED, '')
    assert desks.acquire(NEW) == 'u2'


def test_refusal_of_the_zone_that_has_the_version_is_not_overridden() -> None:
    desks = Desks(('u1', OLD, 'a1'), ('u2', NEW, 'b1'))
    desks.reply = lambda ask: (Verdict.REFUSED, '')
    with pytest.raises(RefusedError) as caught:
        desks.acquire(OLD)
    assert caught.value.refusal.kind is OVERLOADED
    assert not isinstance(caught.value, VersionGoneError)


def test_version_that_goes_while_a_request_waits_is_no_overload() -> None:
    desks = Desks(('u1', OLD, 'a1'), ('u2', NEW, 'a1'))

    def leave(ask: Ask) -> tuple[Verdict, str]:
        desks.roster.remove('u2', 0)
        return Verdict.REFUSED, ''

    desks.reply = leave
    with pytest.raises(VersionGoneError):
        desks.acquire(NEW)


class GoneVersions:
    """Admission that refuses each request, as its version is gone."""

    def __init__(self) -> None:
        """Start without requests."""
        self.versions: list[str] = []

    async def acquire(self, slot_request: SlotRequest) -> SlotLease:
        """Note the version that a request needs, and refuse it."""
        self.versions.append(slot_request.version)
        raise VersionGoneError(Refusal(NO_UPSTREAM, 'gone'))


class KnownStreams:
    """Knows that all streams began at the old version."""

    async def find(self, req: Request, route: Route) -> StreamOrigin:
        """Return the origin of a stream."""
        return StreamOrigin('r0', ENGINES, OLD)

    def end(self, req: Request) -> None:
        """Do nothing."""


def test_answer_that_another_request_began_keeps_to_its_version() -> None:
    admission = GoneVersions()
    context = ForwardingContext(
        admission,
        None,
        Clock(virtual_now, virtual_now),
        RequestGuard(Evidence(), lambda key: True),
        KnownStreams(),
        None,
        None,
    )
    exchange = Exchange(None, None, b'')
    req, route = make_request('r1', last_event=7), make_route()
    with pytest.raises(VersionGoneError):
        run_virtual(Forwarder(context).answer(req, route, exchange))
    assert admission.versions == [OLD]
