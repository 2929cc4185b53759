"""Encodes and decodes the messages about slots; no I/O."""

from collections.abc import Callable
from typing import Any

from gentiantrestle.gateway.slots import messages as kinds
from gentiantrestle.gateway.slots.messages import (
    Answer,
    Ask,
    HeldSlot,
    LeaseKey,
    LeavingNotice,
    RateLimitNotice,
    Release,
    Report,
    ServiceSums,
    SlotOutcome,
    Verdict,
    ZoneSums,
)
from gentiantrestle.models import MAX_INT32
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000
US_PER_S = 1000000
Convert = Callable[[Any], Any]
# By kind of message: to and from its thrift structure.
PACKERS: dict[str, Convert] = {}
UNPACKERS: dict[str, Convert] = {}


def _register(
    registry: dict[str, Convert], kind: str
) -> Callable[[Convert], Convert]:
    """Register the decorated function for a kind of message."""

    def register(convert: Convert) -> Convert:
        registry[kind] = convert
        return convert

    return register


@_register(PACKERS, kinds.ASK)
def pack_ask(ask: Ask) -> ttypes.SlotAsk:
    """Encode a request for a slot."""
    return ttypes.SlotAsk(
        holder=ask.key.holder,
        lease=ask.key.number,
        host=ask.host,
        service_name=ask.service,
        batch=ask.batch,
        priority=ask.priority,
        retry=ask.retry,
        wait=int(ask.wait * MS_PER_S),
        excluded=sorted(ask.excluded),
        slack=int(ask.slack * MS_PER_S),
        tokens_left=ask.tokens_left,
        passed_on=ask.passed_on,
        version=ask.version or None,
        account=ask.account or None,
        size=min(ask.size, MAX_INT32) or None,
    )


@_register(UNPACKERS, kinds.ASK)
def unpack_ask(ask: ttypes.SlotAsk) -> Ask:
    """Decode a request for a slot."""
    return Ask(
        LeaseKey(ask.holder, ask.lease),
        ask.host,
        ask.service_name,
        ask.batch,
        ask.priority,
        ask.retry,
        ask.wait / MS_PER_S,
        frozenset(ask.excluded),
        ask.slack / MS_PER_S,
        ask.tokens_left,
        ask.passed_on,
        ask.version or '',
        ask.account or '',
        ask.size or 0,
    )


@_register(PACKERS, kinds.ANSWER)
def pack_answer(answer: Answer) -> ttypes.SlotAnswer:
    """Encode an answer."""
    return ttypes.SlotAnswer(
        answer.key.holder,
        answer.key.number,
        answer.verdict.value,
        answer.upstream,
        int(answer.wait * MS_PER_S),
        answer.coordinator,
        answer.host,
        answer.rate_limit or None,
    )


@_register(UNPACKERS, kinds.ANSWER)
def unpack_answer(answer: ttypes.SlotAnswer) -> Answer:
    """Decode an answer."""
    return Answer(
        LeaseKey(answer.holder, answer.lease),
        Verdict(answer.verdict),
        answer.upstream,
        answer.wait / MS_PER_S,
        answer.coordinator,
        answer.host,
        answer.rate_limit or 0,
    )


@_register(PACKERS, kinds.RATE_LIMIT)
def pack_rate_limit(notice: RateLimitNotice) -> ttypes.RateLimitNotice:
    """Encode an upstream's limit."""
    return ttypes.RateLimitNotice(*notice)


@_register(UNPACKERS, kinds.RATE_LIMIT)
def unpack_rate_limit(notice: ttypes.RateLimitNotice) -> RateLimitNotice:
    """Decode an upstream's limit."""
    return RateLimitNotice(notice.upstream, notice.rate_limit)


@_register(PACKERS, kinds.LEAVING)
def pack_leaving(notice: LeavingNotice) -> ttypes.LeavingNotice:
    """Encode the notice of a leaving upstream."""
    return ttypes.LeavingNotice(*notice)


@_register(UNPACKERS, kinds.LEAVING)
def unpack_leaving(notice: ttypes.LeavingNotice) -> LeavingNotice:
    """Decode the notice of a leaving upstream."""
    return LeavingNotice(notice.upstream, notice.incarnation)


@_register(PACKERS, kinds.RELEASE)
def pack_release(release: Release) -> ttypes.SlotRelease:
    """Encode the end of a lease."""
    return ttypes.SlotRelease(
        *release.key,
        release.outcome.value,
        _to_us(release.first_event),
        _to_us(release.event_gap),
    )


@_register(UNPACKERS, kinds.RELEASE)
def unpack_release(release: ttypes.SlotRelease) -> Release:
    """Decode the end of a lease."""
    return Release(
        LeaseKey(release.holder, release.lease),
        SlotOutcome(release.outcome),
        (release.first_event or 0) / US_PER_S,
        (release.event_gap or 0) / US_PER_S,
    )


def _to_us(seconds: float) -> int | None:
    return min(int(seconds * US_PER_S), MAX_INT32) or None


@_register(PACKERS, kinds.YIELD)
def pack_yield(key: LeaseKey) -> ttypes.SlotYield:
    """Encode the notice that a batch item has to yield."""
    return ttypes.SlotYield(*key)


@_register(UNPACKERS, kinds.YIELD)
def unpack_yield(notice: ttypes.SlotYield) -> LeaseKey:
    """Decode the notice that a batch item has to yield."""
    return LeaseKey(notice.holder, notice.lease)


@_register(PACKERS, kinds.REPORT)
def pack_report(report: Report) -> ttypes.SlotReport:
    """Encode a report of held slots."""
    slots = [
        ttypes.HeldSlot(
            slot.number,
            slot.upstream,
            slot.batch,
            int(slot.slack * MS_PER_S),
            slot.tokens_left,
            slot.account or None,
            min(slot.size, MAX_INT32) or None,
        )
        for slot in report.slots
    ]
    return ttypes.SlotReport(report.holder, report.host, slots)


@_register(UNPACKERS, kinds.REPORT)
def unpack_report(report: ttypes.SlotReport) -> Report:
    """Decode a report of held slots."""
    slots = tuple(
        HeldSlot(
            slot.lease,
            slot.upstream,
            slot.batch,
            slot.slack / MS_PER_S,
            slot.tokens_left,
            slot.account or '',
            slot.size or 0,
        )
        for slot in report.slots
    )
    return Report(report.holder, report.host, slots)


@_register(PACKERS, kinds.SUMS)
def pack_sums(sums: ZoneSums) -> ttypes.ZoneSums:
    """Encode the sums of a zone."""
    return ttypes.ZoneSums(
        sums.zone, [ttypes.ServiceSums(*service) for service in sums.services]
    )


@_register(UNPACKERS, kinds.SUMS)
def unpack_sums(sums: ttypes.ZoneSums) -> ZoneSums:
    """Decode the sums of a zone."""
    services = (
        ServiceSums(
            service.service_name,
            service.free,
            service.batch,
            service.waiting,
            service.spare,
        )
        for service in sums.services
    )
    return ZoneSums(sums.zone, tuple(services))
