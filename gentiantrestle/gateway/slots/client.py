"""The slots that this instance holds and asks for, at all coordinators."""

from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any

from gentiantrestle import events
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.slots.directory import Directory
from gentiantrestle.gateway.slots.health import HealthTable
from gentiantrestle.gateway.slots.messages import (
    ASK,
    LEAVING,
    RATE_LIMIT,
    RELEASE,
    REPORT,
    Answer,
    Ask,
    LeaseKey,
    LeavingNotice,
    Outgoing,
    RateLimitNotice,
    Release,
    Report,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.pending import PendingAsk
from gentiantrestle.gateway.slots.rates import RateLimits
from gentiantrestle.gateway.slots.reports import ReportSchedule
from gentiantrestle.gateway.slots.slot_lease import SlotLease
from gentiantrestle.gateway.slots.timing import NO_TIMING, AnswerTiming

SUSPECT_TIME = 2.0  # seconds that a silent coordinator is asked last
# Where datagrams are lost, slots are given back with several at once.
LOSSY_TIME = 3.0  # seconds that a lost datagram is remembered
LOSSY_COPIES = 3
# Each zone's slots are reported to the instance that coordinates it and to the
# one that takes over if it is silent.
COORDINATORS_TOLD = 2


class SlotClient:
    """Asks coordinators for slots, gives them back and reports them."""

    def __init__(
        self,
        run_name: str,
        host: str,
        directory: Directory,
        send: Callable[[Outgoing], None],
        now: Callable[[], float],
    ) -> None:
        """Hold nothing yet; ``send`` sends messages to the coordinators."""
        self._run_name = run_name
        self._host = host
        self._directory = directory
        self._send = send
        self._now = now
        self._numbers = count(1)
        self._pending: dict[int, PendingAsk] = {}
        self._held: dict[int, SlotLease] = {}
        self._suspects: dict[str, float] = {}
        self._reports = ReportSchedule()
        self._lossy_until = float(0)
        self.health = HealthTable()
        self.rates = RateLimits()
        # Called with the id and incarnation of each upstream whose answer says
        # that it is leaving.
        self.mark_leaving: Callable[[str, int, float], None] = _mark_nothing
        # Returns whether failures here may be those of the path.
        self.is_path_suspect: Callable[[], bool] = _suspect_nothing

    @property
    def is_busy(self) -> bool:
        """Return whether slots are held."""
        return bool(self._held)

    def open(self, ask: Ask) -> PendingAsk:
        """Number a request for a slot; nothing is sent yet."""
        key = LeaseKey(self._run_name, next(self._numbers))
        pending = PendingAsk(ask._replace(key=key, host=self._host))
        self._pending[key.number] = pending
        return pending

    def send_ask(self, pending: PendingAsk, host: str) -> None:
        """Ask the coordinator at ``host``."""
        self._send(Outgoing(host, ASK, pending.ask))

    def targets(self, zone: str, now: float) -> list[Peer]:
        """Order the coordinators of a zone, those that are silent last."""
        ranked = self._directory.coordinators(zone, now)
        return sorted(
            ranked[:COORDINATORS_TOLD],
            key=lambda peer: self._suspects.get(peer.instance, 0) > now,
        )

    def suspect(self, instance: str, now: float) -> None:
        """Note that a coordinator did not answer in time."""
        if self._suspects.get(instance, 0) <= now:
            events.emit(events.COORDINATOR_SILENT, instance=instance)
        self._suspects[instance] = now + SUSPECT_TIME

    def note_loss(self, now: float) -> None:
        """Note that a request or its answer was lost on the way."""
        self._lossy_until = now + LOSSY_TIME

    def hold(
        self, pending: PendingAsk, upstream: Upstream, host: str
    ) -> SlotLease:
        """Take a slot: granted by the coordinator at ``host``, or none's."""
        now = self._now()
        ask = pending.ask
        number = ask.key.number
        self._pending.pop(number, None)
        lease = SlotLease(
            number,
            upstream,
            host,
            now,
            ask.batch,
            ask.slack,
            ask.tokens_left,
            pending.answer.rate_limit if host else 0,
            account=ask.account,
            size=ask.size,
        )
        self._held[number] = lease
        self.rates.record(upstream.id, now)
        if not host:
            self._reports.make_due()
        return lease

    def withdraw(self, pending: PendingAsk, zone: str) -> None:
        """Give up a request; whoever has queued or granted it is told."""
        number = pending.ask.key.number
        if self._pending.pop(number, None) is None:
            return
        if pending.refused:
            return
        hosts = {peer.host for peer in self.targets(zone, self._now())[:1]}
        if pending.answer is not None:
            hosts.add(pending.answer.host)
        self._send_release(number, hosts, SlotOutcome.UNKNOWN)

    def release(
        self,
        lease: SlotLease,
        outcome: SlotOutcome,
        timing: AnswerTiming = NO_TIMING,
    ) -> None:
        """Give a slot back, to its coordinator and to whoever has its place.

        These aren't told of a failure that may be that of the path.
        """
        if self._held.pop(lease.number, None) is None:
            return
        now = self._now()
        self.health.record(lease.upstream.id, outcome, lease.acquired_at, now)
        first = self.targets(lease.upstream.zone, now)[:1]
        hosts = {peer.host for peer in first} | {lease.host}
        if outcome is SlotOutcome.FAILED and self.is_path_suspect():
            outcome = SlotOutcome.UNKNOWN
        self._send_release(lease.number, hosts - {''}, outcome, timing)

    def note_reply(self, lease: SlotLease, reply: Reply) -> None:
        """Note what the head of an answer says about its upstream.

        The coordinators are told of a limit that they don't know. An answer
        without a limit lifts it; a refusal says nothing.
        """
        now = self._now()
        if reply.leaving and not reply.wrong_instance:
            self.mark_leaving(*lease.upstream.run, now)
            self.report_leaving(lease)
        limit = reply.rate_limit
        if reply.not_run and not limit:
            return
        upstream = lease.upstream
        self.rates.name(upstream.id, limit, now)
        if limit == lease.rate_limit:
            return
        events.emit(events.RATE_LIMIT_NAMED, upstream=upstream.id, limit=limit)
        notice = RateLimitNotice(upstream.id, limit)
        self._tell_coordinators(lease, RATE_LIMIT, notice)

    def report_leaving(self, lease: SlotLease) -> None:
        """Tell the coordinators that the upstream of a slot is leaving."""
        notice = LeavingNotice(*lease.upstream.run)
        self._tell_coordinators(lease, LEAVING, notice)

    def receive(self, answer: Answer) -> None:
        """Apply an answer; a slot that nobody waits for is given back."""
        if answer.key.holder != self._run_name:
            return
        self._suspects.pop(answer.coordinator, None)
        pending = self._pending.get(answer.key.number)
        if pending is not None:
            pending.settle(answer)
            return
        held = self._held.get(answer.key.number)
        same = held is not None and held.upstream.id == answer.upstream
        if answer.verdict is Verdict.GRANTED and not same:
            self._send_release(
                answer.key.number, {answer.host}, SlotOutcome.UNKNOWN
            )

    def held_lease(self, key: LeaseKey) -> SlotLease | None:
        """Return the slot with a key, if this run holds it."""
        if key.holder != self._run_name:
            return None
        return self._held.get(key.number)

    def own_loads(self) -> Counter[str]:
        """Count the held slots by upstream id."""
        return Counter(lease.upstream.id for lease in self._held.values())

    def send_reports(self, now: float) -> None:
        """Send the reports that are due, one for each set of coordinators."""
        for told, leases in self._held_by_coordinators(now).items():
            if self._reports.is_due(told, now):
                slots = tuple(lease.held_slot for lease in leases)
                report = Report(self._run_name, self._host, slots)
                for host in told:
                    self._send(Outgoing(host, REPORT, report))

    def _held_by_coordinators(
        self, now: float
    ) -> dict[tuple[str, ...], list[SlotLease]]:
        groups: dict[tuple[str, ...], list[SlotLease]] = {}
        for lease in self._held.values():
            hosts = self._told_hosts(lease.upstream.zone, now)
            groups.setdefault(hosts, []).append(lease)
        return groups

    def _told_hosts(self, zone: str, now: float) -> tuple[str, ...]:
        ranked = self._directory.coordinators(zone, now)
        return tuple(peer.host for peer in ranked[:COORDINATORS_TOLD])

    def _tell_coordinators(
        self, lease: SlotLease, kind: str, notice: Any
    ) -> None:
        hosts = self._told_hosts(lease.upstream.zone, self._now())
        for host in {*hosts, lease.host} - {''}:
            self._send(Outgoing(host, kind, notice))

    def _send_release(
        self,
        number: int,
        hosts: set[str],
        outcome: SlotOutcome,
        timing: AnswerTiming = NO_TIMING,
    ) -> None:
        key = LeaseKey(self._run_name, number)
        release = Release(key, outcome, *timing)
        copies = LOSSY_COPIES if self._now() < self._lossy_until else 1
        for host in sorted(hosts) * copies:
            self._send(Outgoing(host, RELEASE, release))


def _mark_nothing(upstream: str, incarnation: int, now: float) -> None:
    """Do nothing until the roster is known."""


def _suspect_nothing() -> bool:
    """Trust the path until failures are compared."""
    return False
