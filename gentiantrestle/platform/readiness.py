"""Answers the balancer's question whether callers may come."""

from collections.abc import Callable
from http import HTTPStatus

from gentiantrestle.gateway.http_server import Exchange

PATH = b'/gentiantrestle/readyz'


class Readiness:
    """Tells the balancer whether to send callers."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Ask ``ready`` for each question."""
        self._ready = ready

    async def answer(self, exchange: Exchange) -> None:
        """Answer one question."""
        status = HTTPStatus.NOT_FOUND
        if exchange.head.target.partition(b'?')[0] == PATH:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if self._ready():
                status = HTTPStatus.OK
        await exchange.respond(status, [])
