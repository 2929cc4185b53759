"""Answers the readiness checks of the load balancer."""

from collections.abc import Callable
from http import HTTPStatus

from gentiantrestle.gateway.exchange import Exchange

PATH = b'/gentiantrestle/readyz'


class ReadinessEndpoint:
    """Readiness check: whether callers may be sent to this instance."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Call ``ready`` for each check."""
        self._ready = ready

    async def answer(self, exchange: Exchange) -> None:
        """Answer 200 if ready, 503 if not, and 404 to any other path."""
        status = HTTPStatus.NOT_FOUND
        if exchange.head.target.partition(b'?')[0] == PATH:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if self._ready():
                status = HTTPStatus.OK
        await exchange.respond(status, [])
