"""Messages between slot coordinators and the instances that use slots."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, NamedTuple

from gentiantrestle.wire.peer import ttypes

# Kinds of messages by their field in the envelope.
ASK = 'slot_ask'
ANSWER = 'slot_answer'
RELEASE = 'slot_release'
YIELD = 'slot_yield'
REPORT = 'slot_report'
SUMS = 'zone_sums'
RATE_LIMIT = 'rate_limit_notice'
LEAVING = 'leaving_notice'


class LeaseKey(NamedTuple):
    """A slot, or the request for one: a run and its number for the slot."""

    holder: str
    number: int


def find_ended(
    keys: Iterable[LeaseKey], has_ended: Callable[[str], bool]
) -> frozenset[str]:
    """Return the holders of ``keys`` that have ended."""
    return frozenset(filter(has_ended, {key.holder for key in keys}))


class Ask(NamedTuple):
    """A request for a slot of a service; times are in s.

    ``host`` gets the answer. ``wait`` is how long it may be queued; batch
    items wait without a limit, in the order of ``slack`` and
    ``tokens_left``. ``passed_on`` means that another zone had no free slot.
    Only upstreams of ``version`` will do, unless it is empty. The work is for
    the client account ``account``, empty without accounts, and ``size`` is that
    of its body in bytes.
    """

    key: LeaseKey
    host: str
    service: str
    batch: bool = False
    priority: int = 0
    retry: bool = False
    wait: float = 0
    excluded: frozenset[str] = frozenset()
    slack: float = 0
    tokens_left: int = 0
    passed_on: bool = False
    version: str = ''
    account: str = ''
    size: int = 0


class Verdict(Enum):
    """The answer to a request for a slot."""

    GRANTED = ttypes.SlotVerdict.GRANTED
    QUEUED = ttypes.SlotVerdict.QUEUED
    REFUSED = ttypes.SlotVerdict.REFUSED


class Answer(NamedTuple):
    """A coordinator's answer; ``wait`` is the expected wait in s.

    ``host`` is where the coordinator is told that the slot is free again.
    ``rate_limit`` is what the coordinator knows of the upstream's limit, in
    requests a second; 0 for none.
    """

    key: LeaseKey
    verdict: Verdict
    upstream: str
    wait: float
    coordinator: str
    host: str
    rate_limit: float = 0


class RateLimitNotice(NamedTuple):
    """The requests a second that an upstream takes; 0 lifts its limit."""

    upstream: str
    rate_limit: float


class LeavingNotice(NamedTuple):
    """An upstream whose answers say that this run of it is leaving."""

    upstream: str
    incarnation: int


class SlotOutcome(Enum):
    """What the use of a slot says about the health of its upstream."""

    UNKNOWN = ttypes.SlotOutcome.UNKNOWN
    SERVED = ttypes.SlotOutcome.SERVED
    FAILED = ttypes.SlotOutcome.FAILED


class Release(NamedTuple):
    """Gives a slot back, or withdraws the request for one.

    ``first_event`` is the time in s from the request to the first event of its
    answer, ``event_gap`` the mean time between events; 0 if not known.
    """

    key: LeaseKey
    outcome: SlotOutcome
    first_event: float = 0
    event_gap: float = 0


class HeldSlot(NamedTuple):
    """A slot in use; ``slack`` in s is that of a batch item.

    ``account`` is the client account it is for, ``size`` that of the request's
    body in bytes.
    """

    number: int
    upstream: str
    batch: bool
    slack: float
    tokens_left: int
    account: str = ''
    size: int = 0


class Report(NamedTuple):
    """All slots that a run holds on the upstreams of one coordinator."""

    holder: str
    host: str
    slots: tuple[HeldSlot, ...]


class ServiceSums(NamedTuple):
    """Slots of a service in a zone, and the callers that wait for one.

    ``batch`` counts the slots that batch items would give back, and ``spare``
    the free slots that items with much slack may take.
    """

    service: str
    free: int
    batch: int
    waiting: int
    spare: int


class ZoneSums(NamedTuple):
    """The sums of all services of a zone."""

    zone: str
    services: tuple[ServiceSums, ...]


class Outgoing(NamedTuple):
    """A message that a decision wants sent; ``kind`` is its envelope field."""

    host: str
    kind: str
    message: Any
