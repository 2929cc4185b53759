"""Header fields by which a peer says who has answered a passed request; no I/O.

They are between instances only: no caller gets them, and what an upstream
sends under their names is dropped.
"""

from typing import NamedTuple, TypeVar

import msgspec

from gentiantrestle.errors import (
    ANSWER_TIMEOUT,
    NO_UPSTREAM,
    OVERLOADED,
    QUARANTINED,
    ErrorKind,
    Refusal,
    Run,
)
from gentiantrestle.gateway.model import HeaderTuple, Upstream
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import AttemptOutcome

UPSTREAM_FIELD = b'gentiantrestle-upstream'
REFUSAL_FIELD = b'gentiantrestle-refusal'
FIELDS = frozenset((UPSTREAM_FIELD, REFUSAL_FIELD))
Field = TypeVar('Field')
MAX_REASON = 300  # characters
UNREACHED = ErrorKind(
    'unreached',
    NO_UPSTREAM.status,
    'Have another instance serve the request.',
)
# What is refused for one of these is refused for all instances.
FINAL_KINDS = {
    kind.name: kind for kind in (NO_UPSTREAM, OVERLOADED, QUARANTINED)
}


class ServedBy(msgspec.Struct, frozen=True):
    """The run of the upstream that has made an answer."""

    id: str
    incarnation: int
    version: str


class PeerRefusal(msgspec.Struct, frozen=True):
    """Why a peer has no answer of an upstream; ``run`` is a ``Run``."""

    kind: str
    run: Run
    reason: str
    retry_after: float | None = None

    @property
    def outcome(self) -> AttemptOutcome:
        """What the refusal means for the attempt through this peer."""
        if self.run is not Run.NOT_RUN:
            expired = self.kind == ANSWER_TIMEOUT.name
            return AttemptOutcome.EXPIRED if expired else AttemptOutcome.LOST
        if self.kind == UNREACHED.name:
            return AttemptOutcome.UNREACHED
        if self.kind in FINAL_KINDS:
            return AttemptOutcome.REFUSED
        return AttemptOutcome.NOT_RUN

    def as_refusal(self) -> Refusal:
        """Return what the caller is told; only of a final kind."""
        return Refusal(FINAL_KINDS[self.kind], self.reason, self.retry_after)


class PeerAnswer(NamedTuple):
    """The head of a peer's answer, without the fields between instances.

    One of ``served_by`` and ``refusal`` is set, unless the answer doesn't come
    from an instance.
    """

    reply: Reply
    served_by: ServedBy | None
    refusal: PeerRefusal | None


def upstream_fields(upstream: Upstream) -> HeaderTuple:
    """Return the field that names the upstream of an answer."""
    served = ServedBy(upstream.id, upstream.incarnation, upstream.version)
    return ((UPSTREAM_FIELD, msgspec.json.encode(served)),)


def refusal_fields(refusal: Refusal) -> HeaderTuple:
    """Return the field that tells a peer of a refusal."""
    kind = refusal.kind
    told = PeerRefusal(
        kind.name, kind.run, refusal.reason[:MAX_REASON], refusal.retry_after
    )
    return ((REFUSAL_FIELD, msgspec.json.encode(told)),)


def without_fields(headers: HeaderTuple) -> HeaderTuple:
    """Leave out the fields between instances."""
    return tuple(pair for pair in headers if pair[0] not in FIELDS)


def read_answer(reply: Reply) -> PeerAnswer:
    """Decode the head of a peer's answer; raise ``ValueError``."""
    fields = dict(reply.headers)
    return PeerAnswer(
        reply._replace(headers=without_fields(reply.headers)),
        _decode(fields.get(UPSTREAM_FIELD), ServedBy),
        _decode(fields.get(REFUSAL_FIELD), PeerRefusal),
    )


def _decode(raw: bytes | None, kind: type[Field]) -> Field | None:
    return None if raw is None else msgspec.json.decode(raw, type=kind)
