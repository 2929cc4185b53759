"""Holds back requests that crash upstreams, and notices such crashes."""

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.errors import QUARANTINED, refuse
from gentiantrestle.quarantine.guard import (
    RequestGuard,
    describe,
    retry_after,
)
from gentiantrestle.quarantine.traits import fingerprint
from gentiantrestle.quarantine.watch import RequestWatch


class CrashGuard:
    """The gate that all online requests pass."""

    def __init__(self, ctx: Context, membership: Membership) -> None:
        """Decide from what all live instances know of crashes."""
        self._ctx = ctx
        self._view = membership.view
        self._guard = RequestGuard(membership.evidence, self._is_elected)

    def admit(self, request: OnlineRequest) -> tuple[str, ...]:
        """Return the traits of a request.

        Raises ``RefusedError`` for one that crashes upstreams.
        """
        traits = request_traits(request)
        wall = self._ctx.wall()
        culprit = self._guard.find_refused(traits, wall)
        if culprit is None:
            return traits
        reason = describe(culprit)
        events.emit(
            events.REQUEST_QUARANTINED, request=traits[-1], reason=reason
        )
        raise refuse(QUARANTINED, reason, retry_after(culprit, wall))

    def watch(self, traits: tuple[str, ...]) -> RequestWatch:
        """Return the watch of one attempt of a request."""
        return RequestWatch(self._guard, traits, self._ctx)

    def _is_elected(self, traits: str) -> bool:
        live = self._view.live_names(self._ctx.now())
        return owner(traits, live) == self._view.local_member.instance


def request_traits(request: OnlineRequest) -> tuple[str, ...]:
    """Return what a request has again when it recurs.

    Where sound requests have the same body, the client tells it from them.
    """
    fields = (request.method, request.endpoint, request.target)
    return (
        fingerprint('path', fields, request.body),
        fingerprint('request', (*fields, request.client), request.body),
    )
