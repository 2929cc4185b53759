"""Counts the slots of one zone and grants them; decisions only, no I/O.

Answers bursts of several times the mean load: requests are spread exactly over
the slots, and batch items give back as many slots as requests need, at once
and no more. Every instance of a zone can be asked; by custom only the first of
them is. A coordinator that has just started, or a second one, knows of few
slots in use, and overbooks until their holders report them.
"""

from collections.abc import Callable, Iterator
from functools import partial

from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.fair_use import equal_rate
from gentiantrestle.gateway.slots.health import SharedHealth
from gentiantrestle.gateway.slots.ledger import Lease, Ledger, Load
from gentiantrestle.gateway.slots.messages import (
    Ask,
    LeaseKey,
    Outgoing,
    RateLimitNotice,
    Release,
    Report,
    SlotOutcome,
    Verdict,
    ZoneSums,
)
from gentiantrestle.gateway.slots.pace import PaceTable
from gentiantrestle.gateway.slots.placing import CoordinatorScope, SlotPlacer
from gentiantrestle.gateway.slots.pool import Pool
from gentiantrestle.gateway.slots.queueing import AskQueue, WaitingAsk
from gentiantrestle.gateway.slots.remote_zones import RemoteZones, Target
from gentiantrestle.gateway.slots.service_queue import (
    NO_UPSTREAM_WAIT,
    Capacity,
    ServiceQueue,
    ServiceQueues,
)
from gentiantrestle.gateway.slots.yields import YieldNotices


class SlotCoordinator:
    """Grants the slots of the upstreams in its scope."""

    def __init__(
        self,
        scope: CoordinatorScope,
        roster: Roster,
        remote: RemoteZones,
        rand: Callable[[], float],
        find_account_rate: Callable[[str], float] = equal_rate,
    ) -> None:
        """Start without leases; ``rand`` returns numbers from 0 to 1.

        Accounts are weighed by their rates; 0 is none.
        """
        self._scope = scope
        self._roster = roster
        self._ledger = Ledger(partial(_find_service, roster), find_account_rate)
        self.health = SharedHealth(self._ledger.first_use_since)
        self.queues = ServiceQueues(self._ledger.uses)
        self.pace = PaceTable()
        self._notices = YieldNotices(self._ledger)
        self._placer = SlotPlacer(
            scope, self._ledger, self._notices, remote, rand
        )

    def ask(self, ask: Ask, now: float) -> Iterator[Outgoing]:
        """Grant a slot, queue or refuse a request, or pass it on.

        A request that is repeated gets the same answer again.
        """
        known = self._ledger.get(ask.key)
        queue = self.queues.find(ask.service)
        if known:
            yield self._placer.answer(ask, Verdict.GRANTED, known.upstream)
        elif ask.key in queue.asks:
            queue.asks.put(ask, now)
            yield self._placer.answer(ask, Verdict.QUEUED)
        else:
            yield from self._ask_new(ask, queue, now)

    def release(self, release: Release, now: float) -> Iterator[Outgoing]:
        """Free a slot, and grant it to whoever waits."""
        self._notices.remove(release.key)
        for queue in self.queues:
            withdrawn = queue.asks.remove(release.key)
            if withdrawn is not None and not withdrawn.batch:
                queue.use.note_outcome(withdrawn, now, granted=False)
        lease = self._ledger.remove(release.key, now)
        # Releases are repeated where datagrams are lost; the first one counts.
        if lease is not None:
            self._record_use(lease, release.outcome, now)
            self.pace.note_use(lease, release, now)
        yield from self.dispatch(now)

    def apply(self, report: Report, now: float) -> Iterator[Outgoing]:
        """Take over what a holder reports, but for what yields already.

        Free slots that this shows are granted.
        """
        slots = tuple(
            slot
            for slot in report.slots
            if LeaseKey(report.holder, slot.number) not in self._notices
        )
        self._ledger.apply(report._replace(slots=slots), now)
        yield from self.dispatch(now)

    def note_rate_limit(
        self, notice: RateLimitNotice, now: float
    ) -> Iterator[Outgoing]:
        """Note an upstream's limit; grant what it no longer holds back."""
        self._ledger.rates.name(notice.upstream, notice.rate_limit, now)
        yield from self.dispatch(now)

    def tick(self, now: float, *, leading: bool) -> Iterator[Outgoing]:
        """Drop what has lapsed, repeat notices, and grant free slots.

        Only the ``leading`` coordinator of its zone is told of slots that are
        given back, and may take upstreams for overbooked.
        """
        has_ended = self._scope.has_ended
        self._ledger.remove_lapsed(now, has_ended)
        self.health.note_lapsed(now)
        for queue in self.queues:
            queue.asks.remove_expired(now, has_ended)
        yield from self._notices.repeat(now)
        if leading:
            yield from self._preempt_overbooked(now)
        yield from self.dispatch(now)
        for served in self.queues:
            yield from self._refuse_hopeless(served, now)

    def dispatch(self, now: float) -> Iterator[Outgoing]:
        """Grant free slots to those that wait, or pass them on."""
        for queue in self.queues:
            yield from self._dispatch_queue(queue.asks, now)

    @property
    def zone(self) -> str:
        """Return the zone of this instance."""
        return self._scope.zone

    @property
    def is_idle(self) -> bool:
        """Return whether no slot is in use or waited for."""
        waiting = any(queue.asks.is_busy for queue in self.queues)
        return not waiting and not self._ledger.is_busy

    def load(self, upstream: str) -> Load:
        """Return the load of an upstream as counted here."""
        return self._ledger.load(upstream)

    def sums(self, now: float) -> ZoneSums:
        """Sum up the slots of each service."""
        return ZoneSums(
            self._scope.zone,
            tuple(
                self.queues.find(service).sums(self._pool(service, now))
                for service in sorted(self._roster.services())
            ),
        )

    def _ask_new(
        self, ask: Ask, queue: ServiceQueue, now: float
    ) -> Iterator[Outgoing]:
        pool = self._pool(ask.service, now, ask.version)
        ahead = queue.asks.is_ahead(ask)
        messages = () if ahead else self._place(ask, pool, now)
        if messages:
            yield from messages
            return
        waiting = queue.asks.judge(ask, now)
        wait = self._expected_wait(waiting, queue, pool, now)
        # The zone that a batch item comes from queues it better itself.
        refused = ask.passed_on if ask.batch else wait > ask.wait
        if not refused and not _is_stranded(ask, pool):
            queue.asks.put(ask, now)
            yield self._placer.answer(ask, Verdict.QUEUED, wait=wait)
            return
        if not ahead:
            messages = self._placer.grant_again(ask, pool, now)
        if not messages:
            yield self._placer.refuse(ask, wait, now)
        yield from messages

    def _refuse_hopeless(
        self, queue: ServiceQueue, now: float
    ) -> Iterator[Outgoing]:
        """Refuse what others have overtaken for too long to be in time."""
        pools: dict[str, Pool] = {}
        for queued, waiting in queue.asks.overtaken(now):
            ask = queued.ask
            if ask.version not in pools:
                pools[ask.version] = self._pool(ask.service, now, ask.version)
            pool = pools[ask.version]
            wait = self._expected_wait(waiting, queue, pool, now)
            if queued.is_hopeless(wait, now):
                queue.asks.remove(ask.key)
                yield self._placer.refuse(ask, wait, now)

    def _dispatch_queue(
        self, queue: AskQueue, now: float
    ) -> Iterator[Outgoing]:
        held_up: set[str] = set()
        for ask in queue.in_order(now):
            if ask.version in held_up:
                continue
            messages = self._place_queued(ask, now)
            if messages:
                queue.remove(ask.key)
                yield from messages
            else:
                held_up.add(ask.version)
            if held_up >= queue.versions():
                return

    def _place_queued(self, ask: Ask, now: float) -> tuple[Outgoing, ...]:
        """Return what places or ends a request that waits; empty if nothing."""
        pool = self._pool(ask.service, now, ask.version)
        messages = self._place(ask, pool, now)
        if messages or not _is_stranded(ask, pool):
            return messages
        refused = self._placer.answer(
            ask, Verdict.REFUSED, wait=NO_UPSTREAM_WAIT
        )
        return (refused,)

    def _place(self, ask: Ask, pool: Pool, now: float) -> tuple[Outgoing, ...]:
        target = Target(ask.service)
        if ask.version:
            known = self._roster.usable_upstreams(ask.service, now, ask.version)
            zones = frozenset(upstream.zone for upstream in known)
            target = Target(ask.service, zones)
        return self._placer.place(ask, pool, target, now)

    def _record_use(
        self, lease: Lease, outcome: SlotOutcome, now: float
    ) -> None:
        self.health.record_use(lease, outcome, now)
        if not lease.batch:
            service = _find_service(self._roster, lease.upstream)
            self.queues.find(service).hold_time.record(now - lease.granted_at)

    def _preempt_overbooked(self, now: float) -> Iterator[Outgoing]:
        for service in self._roster.services():
            for pool in self._pool(service, now).overbooked():
                victim = pool.choose_victim(now)
                if victim is not None:
                    yield self._notices.add(victim, now)

    def _expected_wait(
        self, waiting: WaitingAsk, queue: ServiceQueue, pool: Pool, now: float
    ) -> float:
        ask = waiting.ask
        if not pool.upstreams:
            return NO_UPSTREAM_WAIT
        whole = self._pool(ask.service, now) if ask.version else pool
        hold_time = queue.hold_time.mean
        capacity = Capacity(pool.capacity(hold_time), whole.capacity(hold_time))
        return queue.expected_wait(waiting, capacity, now)

    def _pool(self, service: str, now: float, version: str = '') -> Pool:
        zones = self._scope.zones(now)
        found = [
            upstream
            for upstream in self._roster.usable_upstreams(service, now, version)
            if upstream.zone in zones
        ]
        usable = tuple(self.health.usable(found, now))
        names = (upstream.id for upstream in usable)
        allowances = self._ledger.rates.allowances(names, now)
        view = self.pace.view(usable, now)
        return Pool(usable, self._ledger, allowances, view)


def _is_stranded(ask: Ask, pool: Pool) -> bool:
    """Return whether an ask waits for a version that nothing here has."""
    return bool(ask.version) and not pool.upstreams


def _find_service(roster: Roster, upstream: str) -> str:
    known = roster.find(upstream)
    return known.service if known else ''
