"""A caller's request for a slot, and what it is told without one; no I/O."""

from collections.abc import Sequence
from typing import NamedTuple

from gentiantrestle.errors import (
    NO_UPSTREAM,
    OVERLOADED,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.model import Request, Route, Upstream


class SlotRequest(NamedTuple):
    """A request that needs a slot of ``service``.

    ``excluded`` holds the ids of upstreams that must not be chosen at once;
    a request that has to wait may still be given a slot on one of them.
    Only upstreams of ``version`` will do, unless it is empty.
    """

    request: Request
    route: Route
    service: str
    excluded: frozenset[str] = frozenset()
    version: str = ''

    def allows(self, upstream: Upstream) -> bool:
        """Return whether an upstream has the version that is needed."""
        return self.version in {'', upstream.version}


class VersionGoneError(RefusedError):
    """All usable upstreams have another version than a request needs."""


def build_refusal(
    slot_request: SlotRequest, delay: float, usable: Sequence[Upstream]
) -> RefusedError:
    """Return the refusal of a request, with a Retry-After of ``delay`` s.

    ``usable`` are the upstreams of its service, of whatever version. Without
    any it isn't known that the version is gone.
    """
    if any(slot_request.allows(upstream) for upstream in usable):
        return refuse(OVERLOADED, 'All slots of this service are in use', delay)
    if slot_request.version and usable:
        reason = f'No upstream has version {slot_request.version}'
        return VersionGoneError(Refusal(NO_UPSTREAM, reason, delay))
    return refuse(
        NO_UPSTREAM, 'No upstream of this service is available', delay
    )
