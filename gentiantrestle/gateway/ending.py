"""When a planned stop ends the requests of an instance; no I/O."""

from gentiantrestle.errors import STOPPING, refuse
from gentiantrestle.gateway.model import Request, Route, RouteKind

# A request that is passed on needs some time to be answered.
MIN_TIME_LEFT = 0.3  # seconds
NEVER = float('inf')


class Ending:
    """The time at which the requests of this instance have to be over, in s.

    From ``last_streams`` on, no stream begins that might not be over by then.
    """

    def __init__(self) -> None:
        """Plan no end."""
        self._at = NEVER
        self._last_streams = NEVER

    def plan(self, at: float, last_streams: float) -> None:
        """End requests at ``at``; both times are monotonic, in s."""
        self._at = at
        self._last_streams = last_streams

    @property
    def is_planned(self) -> bool:
        """Return whether an end was planned."""
        return self._at != NEVER

    def bound(self, req: Request, route: Route, now: float) -> Request:
        """Return a request whose deadline is before the end.

        Raises ``RefusedError`` for one that can't be answered by then.
        """
        is_late_stream = (
            route.kind is RouteKind.STREAM
            and now > self._last_streams
            and req.deadline > self._at
        )
        if is_late_stream or self._at - now < MIN_TIME_LEFT:
            raise refuse(STOPPING, 'This instance is about to end', 0)
        return req._replace(deadline=min(req.deadline, self._at))
