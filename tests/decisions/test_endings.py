"""Lost answers and the end of their upstream."""

import asyncio
import random
import time
from collections.abc import Iterable
from types import SimpleNamespace

import pytest

from gentiantrestle.daemon.online.attempt import (
    Attempt,
    AttemptError,
    OnlineRequest,
)
from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.http.client import ConnectionLostError
from gentiantrestle.models import Address
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard
from gentiantrestle.quarantine.watch import RequestWatch
from tests.utils.ports import HOST, free_ports

REQUEST = OnlineRequest('c', 'completions', {}, '/v1/completions', '{}')


async def lose(call: object, *, fresh: bool) -> None:
    """Lose the connection of a request."""
    raise ConnectionLostError('reset')


async def is_crash_noted(address: Address, others: Iterable[Address]) -> bool:
    """Return whether a request whose answer is lost counts as the cause."""
    ctx = SimpleNamespace(
        cfg=SimpleNamespace(answer_timeout=1),
        now=time.monotonic,
        wall=time.time,
        random=random.Random(1),
        metrics=SimpleNamespace(
            attempts=SimpleNamespace(inc=lambda labels: None)
        ),
    )
    pool = SimpleNamespace(address=address, send=lose)
    upstream = SimpleNamespace(name='u1', health=Health(), pool=pool)
    evidence = Evidence()
    guard = RequestGuard(evidence, lambda _: True)
    attempt = Attempt(ctx, REQUEST, upstream, RequestWatch(guard, ('t',), ctx))
    attempt.others = lambda: others
    with pytest.raises(AttemptError) as caught:
        await attempt.send()
    noted = bool(evidence.findings(time.time()).crashes)
    assert caught.value.crashed == noted
    return noted


async def test_answer_lost_with_the_path_to_all_upstreams_is_no_crash() -> None:
    ended, *refusing = (Address(HOST, port) for port in free_ports(3))
    assert not await is_crash_noted(ended, refusing)
    assert await is_crash_noted(ended, [])


async def test_answer_lost_while_another_upstream_is_reached_is_a_crash() -> (
    None
):
    ended, refusing, listening = (Address(HOST, port) for port in free_ports(3))
    server = await asyncio.start_server(lambda *_: None, *listening)
    assert await is_crash_noted(ended, [refusing, listening])
    server.close()
