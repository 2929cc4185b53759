"""Requests that wait in a coordinator's queue, at the instance that asks."""

import asyncio
from collections.abc import Callable

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.messages import (
    ASK,
    Answer,
    Outgoing,
    Verdict,
)
from gentiantrestle.gateway.slots.slot_request import SlotRequest
from gentiantrestle.gateway.topology import Topology
from tests.gateway.samples import (
    ENGINES,
    ZONES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.virtual_time import run_virtual, virtual_now

VERSION = 'v1'
# Given an ask and how many there were before; a verdict, and whose it is.
Reply = Callable[[Outgoing, int], tuple[Verdict, str] | None]


class Coordinators:
    """Two coordinators of each zone, for one client."""

    def __init__(self, reply: Reply, *zones: str) -> None:
        """Answer by ``reply``; an upstream is in each of ``zones``."""
        self.roster = Roster()
        for zone in zones:
            upstream = make_upstream(f'u-{zone}', zone=zone, version=VERSION)
            self.roster.put(upstream)
        self.asks: list[Outgoing] = []
        self._reply = reply
        self._client = SlotClient('run', 'me', self, self._send, virtual_now)
        self._admission = Admission(
            Topology('a1', ZONES),
            self.roster,
            self._client,
            lambda: 0,
            virtual_now,
        )

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Return the coordinators of a zone."""
        names = (f'{zone}/1', f'{zone}/2')
        return tuple(
            Peer(name, 1, 1, name, zone, False, 1, True, 0) for name in names
        )

    def acquire(self) -> tuple[str, float]:
        """Take a slot for a stream that goes on; return it and the time."""
        return run_virtual(self._acquire())

    async def _acquire(self) -> tuple[str, float]:
        req = make_request('r1', is_retry=True)
        slot_request = SlotRequest(req, make_route(), ENGINES, version=VERSION)
        lease = await self._admission.acquire(slot_request)
        return lease.upstream.id, virtual_now()

    def _send(self, outgoing: Outgoing) -> None:
        if outgoing.kind != ASK:
            return
        reply = self._reply(outgoing, len(self.asks))
        self.asks.append(outgoing)
        if reply is None:
            return
        verdict, host = reply
        zone = host.partition('/')[0]
        answer = Answer(
            outgoing.message.key, verdict, f'u-{zone}', 0.4, host, host
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(self._client.receive, answer)


def _queue_and_end(
    outgoing: Outgoing, before: int
) -> tuple[Verdict, str] | None:
    if outgoing.host == 'a1/1':
        return None if before else (Verdict.QUEUED, 'a1/1')
    return Verdict.GRANTED, outgoing.host


def test_queued_request_is_asked_for_elsewhere_when_its_coordinator_ends() -> (
    None
):
    upstream, took = Coordinators(_queue_and_end, 'a1').acquire()
    assert upstream == 'u-a1'
    assert took < 0.3


def test_queued_request_is_placed_when_no_coordinator_answers_any_more() -> (
    None
):
    desks = Coordinators(
        lambda outgoing, before: None if before else (Verdict.QUEUED, 'a1/1'),
        'a1',
    )
    upstream, took = desks.acquire()
    assert upstream == 'u-a1'
    assert took < 0.4


def test_request_that_is_queued_until_the_end_of_its_wait_is_refused() -> None:
    desks = Coordinators(
        lambda outgoing, before: (Verdict.QUEUED, outgoing.host), 'a1'
    )
    with pytest.raises(RefusedError):
        desks.acquire()
    assert {sent.host for sent in desks.asks} == {'a1/1'}


def _queue_in_b1(outgoing: Outgoing, before: int) -> tuple[Verdict, str]:
    if not before:
        return Verdict.QUEUED, 'b1/1'
    if outgoing.host == 'b1/1' and before > 2:
        return Verdict.GRANTED, 'b1/1'
    verdict = Verdict.QUEUED if outgoing.host == 'b1/1' else Verdict.REFUSED
    return verdict, outgoing.host


def test_request_that_another_zone_has_queued_keeps_its_place_there() -> None:
    desks = Coordinators(_queue_in_b1, 'a1', 'b1')
    assert desks.acquire()[0] == 'u-b1'
    assert [sent.message.passed_on for sent in desks.asks[1:]] == [True] * 3


@pytest.mark.parametrize(
    ('refusing', 'chosen'), [('a1', 'u-b1'), ('b1', 'u-a1')]
)
def test_stream_is_not_refused_while_a_zone_of_its_version_would_queue_it(
    refusing: str, chosen: str
) -> None:
    def refuse(outgoing: Outgoing, before: int) -> tuple[Verdict, str]:
        if not before:
            return Verdict.REFUSED, f'{refusing}/1'
        if outgoing.host.startswith(refusing):
            return Verdict.REFUSED, outgoing.host
        verdict = Verdict.GRANTED if before > 2 else Verdict.QUEUED
        return verdict, outgoing.host

    desks = Coordinators(refuse, 'a1', 'b1')
    assert desks.acquire()[0] == chosen


def test_stream_is_refused_once_all_zones_of_its_version_refuse_it() -> None:
    desks = Coordinators(
        lambda outgoing, before: (Verdict.REFUSED, outgoing.host), 'a1', 'b1'
    )
    with pytest.raises(RefusedError):
        desks.acquire()
    assert [sent.host for sent in desks.asks] == ['a1/1', 'b1/1']
