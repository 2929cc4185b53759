"""Connects to upstreams while failures make one doubt the path to them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.judging import Probed, ProbeRound
from gentiantrestle.gateway.upstream_connection import CONNECT_TIMEOUT
from gentiantrestle.http.probe import accepts_connections

# Between the starts of two rounds.
UNDECIDED_INTERVAL = 0.25  # seconds
CUT_OFF_INTERVAL = 0.5  # seconds
# A service that stays undecided, as one whose only upstream has ended, is
# probed less after a while.
UNDECIDED_TIME = 2.0  # seconds
LONG_INTERVAL = 1.0  # seconds

Connect = Callable[[Upstream], Awaitable[bool]]


def round_interval(
    undecided_since: float | None, now: float, *, cut_off: bool
) -> float:
    """Return the time in s between the starts of two rounds."""
    if undecided_since is not None and now - undecided_since <= UNDECIDED_TIME:
        return UNDECIDED_INTERVAL
    return CUT_OFF_INTERVAL if cut_off else LONG_INTERVAL


async def connect(upstream: Upstream) -> bool:
    """Return whether an upstream accepts a connection; it is closed at once.

    No request is sent, so that a probe takes no slot.
    """
    return await accepts_connections(upstream.address, CONNECT_TIMEOUT)


async def any_true(asked: Iterable[Awaitable[bool]]) -> bool:
    """Return whether one of these is true, as soon as one is; end the rest."""
    answers = [asyncio.ensure_future(one) for one in asked]
    try:
        for answer in asyncio.as_completed(answers):
            if await answer:
                return True
    finally:
        for unfinished in answers:
            unfinished.cancel()
    return False


async def probe(
    chosen: Iterable[Upstream], now: Callable[[], float], connects: Connect
) -> ProbeRound:
    """Probe the chosen upstreams at once."""
    upstreams = tuple(chosen)
    started = now()
    reached = await asyncio.gather(*map(connects, upstreams))
    probed = tuple(map(Probed, upstreams, reached))
    return ProbeRound(started, now(), probed)
