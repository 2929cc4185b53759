"""Admission of callers' requests: a slot, a place in the queue, or a refusal.

The decision is the slot coordinator's. If no coordinator answers within tens
of ms, this instance chooses by itself, so that a lost coordinator costs no
request; what it took is reported to the next one.
"""

from collections import Counter
from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.asking import CoordinatorAsks
from gentiantrestle.gateway.slots.client import SlotClient, SlotLease
from gentiantrestle.gateway.slots.fallback import choose_alone
from gentiantrestle.gateway.slots.messages import (
    Answer,
    Ask,
    LeaseKey,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.pending import PendingAsk
from gentiantrestle.gateway.slots.queueing import (
    goes_on,
    retry_after_seconds,
    wait_limit,
)
from gentiantrestle.gateway.slots.slot_request import (
    SlotRequest,
    build_refusal,
)
from gentiantrestle.gateway.slots.timing import NO_TIMING, AnswerTiming
from gentiantrestle.gateway.topology import Topology

# Coordinators whose list of upstreams is behind may grant one that is gone.
MAX_GRANTS = 3
UNNUMBERED = LeaseKey('', 0)
NO_UPSTREAM_RETRY_AFTER = 0.5  # seconds; about a discovery interval


class Admission:
    """Gets slots for callers' requests."""

    def __init__(
        self,
        topology: Topology,
        roster: Roster,
        client: SlotClient,
        rand: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        """Use ``client``; ``rand`` and ``now`` return numbers and times."""
        self._topology = topology
        self._roster = roster
        self._client = client
        self._asks = CoordinatorAsks(topology.zone, client, now)
        self._rand = rand
        self._now = now
        self.waiting = 0

    async def acquire(self, slot_request: SlotRequest) -> SlotLease:
        """Take a slot, waiting in the coordinator's queue if none is free.

        Raises ``RefusedError`` if the expected or the actual wait exceeds
        the request's wait limit, and ``VersionGoneError`` at once if no
        upstream has its version.
        """
        if slot_request.version and not self._usable(slot_request):
            raise self._refusal(slot_request, NO_UPSTREAM_RETRY_AFTER)
        lease = await self._acquire_granted(slot_request)
        if lease is None:
            pending = self._open(slot_request)
            lease = self._choose_alone(slot_request, pending)
        self._log_placed(slot_request, lease)
        return lease

    def release(
        self,
        lease: SlotLease,
        outcome: SlotOutcome = SlotOutcome.UNKNOWN,
        timing: AnswerTiming = NO_TIMING,
    ) -> None:
        """Give a slot back; the rest tells of the upstream's health."""
        self._client.release(lease, outcome, timing)

    def note_reply(self, lease: SlotLease, reply: Reply) -> None:
        """Note what the head of an answer says about its upstream."""
        self._client.note_reply(lease, reply)

    async def _acquire_granted(
        self, slot_request: SlotRequest
    ) -> SlotLease | None:
        """Take a slot; None if what is granted can't be used."""
        for _ in range(MAX_GRANTS):
            lease = await self._try_acquire(slot_request)
            if not lease.host or lease.upstream in self._usable(slot_request):
                return lease
            if lease.upstream in self._roster.leaving:
                self._client.report_leaving(lease)
            self._client.release(lease, SlotOutcome.UNKNOWN)
            # Coordinators of an earlier build don't know of versions.
            if not slot_request.allows(lease.upstream):
                return None
            slot_request = slot_request._replace(
                excluded=slot_request.excluded | {lease.upstream.id}
            )
        return None

    async def _try_acquire(self, slot_request: SlotRequest) -> SlotLease:
        pending = self._open(slot_request)
        self.waiting += 1
        try:
            return await self._negotiate(slot_request, pending)
        finally:
            self.waiting -= 1
            # Does nothing for a request that was granted.
            self._client.withdraw(pending, self._topology.zone)

    async def _negotiate(
        self, slot_request: SlotRequest, pending: PendingAsk
    ) -> SlotLease:
        if not await self._ask(slot_request, pending):
            return self._choose_alone(slot_request, pending)
        answer = pending.answer
        upstream = self._roster.find(answer.upstream)
        if answer.verdict is Verdict.GRANTED and upstream is not None:
            return self._client.hold(pending, upstream, answer.host)
        if answer.verdict is Verdict.GRANTED or (
            slot_request.version and self._is_elsewhere(slot_request, answer)
        ):
            return self._choose_alone(slot_request, pending)
        raise self._refusal(slot_request, answer.wait)

    async def _ask(
        self, slot_request: SlotRequest, pending: PendingAsk
    ) -> bool:
        """Have an ask granted or refused; return whether anybody answers.

        Other zones know little of each other's versions, so a stream that goes
        on is refused only once those that have its version were asked.
        """
        asks = self._asks
        until = self._now() + pending.ask.wait
        if not await asks.ask(pending):
            return False
        answered = await asks.outwait_queue(pending, until)
        if pending.refused and goes_on(pending.ask):
            zones = self._zones_by_slots(slot_request)
            await asks.ask_zones(pending, zones, until)
            answered = await asks.outwait_queue(pending, until)
        return answered

    def _zones_by_slots(self, slot_request: SlotRequest) -> list[str]:
        """Return the zones of the usable upstreams, the largest first."""
        slots: Counter[str] = Counter()
        for upstream in self._usable(slot_request):
            slots[upstream.zone] += upstream.slots
        return [zone for zone, _ in slots.most_common()]

    def _is_elsewhere(self, slot_request: SlotRequest, answer: Answer) -> bool:
        """Return whether a coordinator has none of the usable upstreams."""
        now = self._now()
        zones = {known.zone for known in self._usable(slot_request)}
        hosts = {
            peer.host
            for zone in zones
            for peer in self._client.targets(zone, now)
        }
        return answer.host not in hosts

    def _open(self, slot_request: SlotRequest) -> PendingAsk:
        now = self._now()
        limit = wait_limit(slot_request.request, slot_request.route, now)
        suspended = self._client.health.suspended(now)
        return self._client.open(
            Ask(
                UNNUMBERED,
                '',
                slot_request.service,
                priority=slot_request.route.priority,
                retry=limit.is_retry,
                wait=limit.seconds,
                excluded=slot_request.excluded | suspended,
                version=slot_request.version,
                account=slot_request.request.account or '',
                size=len(slot_request.request.body),
            )
        )

    def _choose_alone(
        self, slot_request: SlotRequest, pending: PendingAsk
    ) -> SlotLease:
        now = self._now()
        known = self._usable(slot_request)
        usable = [
            upstream
            for upstream in self._client.health.usable(known, now)
            if self._client.rates.may_send_alone(upstream.id, now)
        ]
        untried = [
            upstream
            for upstream in usable
            if upstream.id not in slot_request.excluded
        ]
        upstream = choose_alone(
            untried or usable,
            self._client.own_loads(),
            self._topology,
            self._rand,
        )
        if upstream is None:
            raise self._refusal(slot_request, NO_UPSTREAM_RETRY_AFTER)
        return self._client.hold(pending, upstream, '')

    def _usable(self, slot_request: SlotRequest) -> list[Upstream]:
        return self._roster.usable_upstreams(
            slot_request.service, self._now(), slot_request.version
        )

    def _refusal(
        self, slot_request: SlotRequest, expected: float
    ) -> RefusedError:
        req, now = slot_request.request, self._now()
        usable = self._usable(slot_request._replace(version=''))
        known = [up for up in usable if slot_request.allows(up)]
        delay = retry_after_seconds(expected, req, now)
        events.emit(
            events.REQUEST_REFUSED,
            request=req.id,
            service=slot_request.service,
            version=slot_request.version,
            account=req.account or '',
            upstreams=len(known),
            expected_ms=round(expected * 1000),
            retry_after=delay,
        )
        return build_refusal(slot_request, delay, usable)

    def _log_placed(self, slot_request: SlotRequest, lease: SlotLease) -> None:
        now = self._now()
        events.emit(
            events.REQUEST_PLACED,
            request=slot_request.request.id,
            upstream=lease.upstream.id,
            version=lease.upstream.version,
            coordinator=lease.host,
            roster=self._roster.revision,
            waited_ms=round((now - slot_request.request.received) * 1000),
        )
