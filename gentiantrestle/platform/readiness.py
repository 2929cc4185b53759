"""Answers the balancer's question whether callers may come."""

from collections.abc import Callable
from http import HTTPStatus

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.callers import Callers, Exchange
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.models import Address

PATH = b'/gentiantrestle/readyz'


class Readiness:
    """A listener of its own, so that full callers' ports don't hide it."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Ask ``ready`` for each question."""
        self._ready = ready
        self._callers = Callers(self._answer, _refuse, CallerLimits)

    async def start(self, address: Address) -> None:
        """Listen for the balancer."""
        await self._callers.start(address.host, address.port)

    async def _answer(self, exchange: Exchange) -> None:
        status = HTTPStatus.NOT_FOUND
        if exchange.head.target.partition(b'?')[0] == PATH:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if self._ready():
                status = HTTPStatus.OK
        await exchange.respond(status, [])


def _refuse(refusal: Refusal) -> tuple[int, list, bytes]:
    return refusal.kind.status, [], b''
