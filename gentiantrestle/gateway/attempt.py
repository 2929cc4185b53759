"""How an attempt on an upstream ended, for its request and its upstream."""

from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle.gateway.model import Route
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import AttemptOutcome
from gentiantrestle.gateway.slots.messages import SlotOutcome

# What the outcome of an attempt says about its upstream.
UPSTREAM_HEALTH = MappingProxyType(
    {
        AttemptOutcome.LOST: SlotOutcome.FAILED,
        AttemptOutcome.UNREACHED: SlotOutcome.FAILED,
        AttemptOutcome.DONE: SlotOutcome.SERVED,
        AttemptOutcome.FAILED: SlotOutcome.SERVED,
    }
)


# An idempotent request is retried elsewhere if the upstream sends nothing for
# this many latency targets. Callers abandon a silent stream after 2 s.
STALL_TIMEOUT_TARGETS = 3.0
MAX_STALL_TIMEOUT = 1.0  # seconds


class HeldResponse(NamedTuple):
    """A complete upstream response, held back while a retry may follow."""

    reply: Reply
    body: bytes


class AttemptFailedError(Exception):
    """An attempt ended without a response that could be forwarded."""

    def __init__(self, outcome: AttemptOutcome, reason: str) -> None:
        """Keep the outcome, and the reason for the log and the refusal."""
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


def stall_timeout(route: Route) -> float | None:
    """Return the longest silence of an upstream, in s.

    None if the route is not idempotent: then only the deadline counts.
    """
    if not route.idempotent:
        return None
    return min(MAX_STALL_TIMEOUT, route.latency_target * STALL_TIMEOUT_TARGETS)
