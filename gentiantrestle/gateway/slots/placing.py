"""Decides where a request for a slot is served; no I/O.

A request gets a free slot of its zone, else one of another zone of the region,
else that of a batch item, else one beyond the window of an upstream that has
just started, else one of another region.
"""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.gateway.slots.ledger import Lease, Ledger
from gentiantrestle.gateway.slots.messages import (
    ANSWER,
    ASK,
    Answer,
    Ask,
    Outgoing,
    Verdict,
)
from gentiantrestle.gateway.slots.pool import Pool
from gentiantrestle.gateway.slots.remote_zones import RemoteZones, Target
from gentiantrestle.gateway.slots.share_log import ShareLog
from gentiantrestle.gateway.slots.yields import YieldNotices


class CoordinatorScope(NamedTuple):
    """What an instance coordinates, and where it finds the others.

    ``zones`` returns the zones whose upstreams count here, ``find_host`` the
    host of another zone's coordinator, and ``has_ended`` whether a run that
    holds slots has ended.
    """

    instance: str
    host: str
    zone: str
    zones: Callable[[float], frozenset[str]]
    find_host: Callable[[str, float], str | None]
    has_ended: Callable[[str], bool]


class SlotPlacer:
    """Grants slots, has batch items yield, and passes requests on."""

    def __init__(
        self,
        scope: CoordinatorScope,
        ledger: Ledger,
        notices: YieldNotices,
        remote: RemoteZones,
        rand: Callable[[], float],
    ) -> None:
        """Note grants in ``ledger``; ``rand`` returns numbers from 0 to 1."""
        self._scope = scope
        self._ledger = ledger
        self._notices = notices
        self._remote = remote
        self._rand = rand
        self._share_log = ShareLog()

    def place(
        self, ask: Ask, pool: Pool, target: Target, now: float
    ) -> tuple[Outgoing, ...]:
        """Return the messages that give a request its slot; none if full.

        ``pool`` are the upstreams here that will do, and ``target`` says what
        will do in other zones.
        """
        pool = pool.without(ask.excluded)
        if ask.batch:
            if pool.free_for_batch(ask.slack) > 0:
                return self._grant_free(ask, pool, now)
            if ask.passed_on:
                return ()
            zone = self._remote.choose_for_batch(target, now)
            return self._pass_on(ask, zone, now)
        return (
            self._grant_free(ask, pool, now)
            or self._pass_near(ask, target, now)
            or self._make_room(ask, pool, now)
            or self._pass_far(ask, pool, target, now)
        )

    def grant_again(
        self, ask: Ask, pool: Pool, now: float
    ) -> tuple[Outgoing, ...]:
        """Grant a slot on an excluded upstream if there is no other one.

        For a request that would be refused otherwise.
        """
        if ask.batch or pool.without(ask.excluded).upstreams:
            return ()
        return self._grant_free(ask, pool.without_windows(), now)

    def answer(
        self, ask: Ask, verdict: Verdict, upstream: str = '', wait: float = 0
    ) -> Outgoing:
        """Return the answer to a request, for its holder."""
        scope = self._scope
        answer = Answer(
            ask.key,
            verdict,
            upstream,
            wait,
            scope.instance,
            scope.host,
            self._ledger.rates.limit(upstream),
        )
        return Outgoing(ask.host, ANSWER, answer)

    def refuse(self, ask: Ask, wait: float, now: float) -> Outgoing:
        """Return a refusal, which counts for its account."""
        if not ask.batch:
            use = self._ledger.uses.find(ask.service, batch=False)
            use.note_outcome(ask, now, granted=False)
            self._share_log.note_refused(ask, use, now)
        return self.answer(ask, Verdict.REFUSED, wait=wait)

    def _grant_free(
        self, ask: Ask, pool: Pool, now: float
    ) -> tuple[Outgoing, ...]:
        upstream = pool.choose_free(self._rand, ask)
        if upstream is None:
            return ()
        return (self._grant(ask, upstream.id, now),)

    def _make_room(
        self, ask: Ask, pool: Pool, now: float
    ) -> tuple[Outgoing, ...]:
        """Give a request the slot of a batch item, else one beyond a window."""
        victim = pool.choose_victim(now)
        if victim is None:
            return self._grant_free(ask, pool.without_windows(), now)
        notice = self._notices.add(victim, now)
        return notice, self._grant(ask, victim.upstream, now)

    def _pass_near(
        self, ask: Ask, target: Target, now: float
    ) -> tuple[Outgoing, ...]:
        if ask.passed_on:
            return ()
        zone = self._remote.choose_free(target, now, near=True)
        return self._pass_on(ask, zone, now)

    def _pass_far(
        self, ask: Ask, pool: Pool, target: Target, now: float
    ) -> tuple[Outgoing, ...]:
        if ask.passed_on:
            return ()
        remote = self._remote
        zone = (
            remote.choose_preemptible(target, now, near=True)
            or remote.choose_free(target, now, near=False)
            or remote.choose_preemptible(target, now, near=False)
        )
        if zone is None and not pool.slots:
            zone = remote.choose_any(target, now)
        return self._pass_on(ask, zone, now)

    def _pass_on(
        self, ask: Ask, zone: str | None, now: float
    ) -> tuple[Outgoing, ...]:
        host = zone and self._scope.find_host(zone, now)
        if not host:
            return ()
        self._remote.note_passed(ask.service, zone)
        return (Outgoing(host, ASK, ask._replace(passed_on=True)),)

    def _grant(self, ask: Ask, upstream: str, now: float) -> Outgoing:
        lease = Lease(
            ask.key,
            ask.host,
            upstream,
            ask.batch,
            ask.slack,
            now,
            now,
            ask.tokens_left,
            ask.account,
            ask.size,
            ask.service,
        )
        self._ledger.put(lease)
        use = self._ledger.uses.find(ask.service, batch=ask.batch)
        use.note_outcome(ask, now, granted=True)
        self._ledger.rates.record(upstream, now)
        return self.answer(ask, Verdict.GRANTED, upstream)
