"""How an attempt on an upstream ended, for its request and its upstream."""

from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import AttemptOutcome
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.sse import ForeignEventError

# What the outcome of an attempt says about its upstream.
UPSTREAM_HEALTH = MappingProxyType(
    {
        AttemptOutcome.LOST: SlotOutcome.FAILED,
        AttemptOutcome.UNREACHED: SlotOutcome.FAILED,
        AttemptOutcome.DONE: SlotOutcome.SERVED,
        AttemptOutcome.FAILED: SlotOutcome.SERVED,
    }
)


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


def check_events(reply: Reply) -> None:
    """Raise ``ForeignEventError`` for an answer that is no event stream."""
    if not reply.event_stream:
        raise ForeignEventError('the answer has no events')
