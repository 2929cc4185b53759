"""Open-loop load: requests start on schedule, however slow the answers."""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from gentiantrestle.http.client import (
    ClientConnection,
    ClientRequest,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.models import Address
from tests.utils.fleet import CLIENT_KEY

CONNECT_TIMEOUT = 5.0  # seconds
MAX_LATENCY = 120_000_000  # microseconds
SIGNIFICANT_DIGITS = 3
US_PER_SECOND = 1_000_000
DONE = b'data: [DONE]'


class RequestShape(NamedTuple):
    """One kind of request.

    ``tokens`` is the length of its answer, ``share`` its weight among the
    arrivals, and ``client`` the key of the client that sends it.
    """

    name: str
    tokens: int
    share: float
    client: str = CLIENT_KEY


class Arrival(NamedTuple):
    """One request to send.

    ``due`` is its time of start, in seconds after that of the load, and
    ``target`` the index of the daemon that gets it.
    """

    due: float
    shape: RequestShape
    target: int
    prompt: str


class Timings:
    """Counts and latencies of requests, as their callers saw them.

    A refused request got a status other than 200. A broken one could not be
    sent, or its answer was cut.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.totals: dict[str, HdrHistogram] = {}
        self.first = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
        self.whole = 0
        self.refused = 0
        self.broken = 0

    def record(self, name: str, first: float, total: float) -> None:
        """Record a whole answer: times to the first part and the end, in s."""
        histogram = self.totals.setdefault(
            name,
            HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS),
        )
        histogram.record_value(int(total * US_PER_SECOND))
        self.first.record_value(int(first * US_PER_SECOND))
        self.whole += 1

    def percentile(self, name: str, percent: float) -> float:
        """Return a percentile of the time to the end of an answer, in s."""
        return (
            self.totals[name].get_value_at_percentile(percent) / US_PER_SECOND
        )


def arrivals(
    seed: int,
    rate: float,
    seconds: float,
    shapes: tuple[RequestShape, ...],
    targets: int,
) -> Iterator[Arrival]:
    """Draw Poisson arrivals, ``rate`` a second, for ``targets`` daemons.

    Equal arguments give equal arrivals.
    """
    rng = random.Random(seed)
    due = rng.expovariate(rate)
    count = 0
    while due < seconds:
        shape = rng.choices(shapes, [kind.share for kind in shapes])[0]
        count += 1
        yield Arrival(due, shape, rng.randrange(targets), f'{seed}/{count}')
        due += rng.expovariate(rate)


async def drive(
    addresses: list[Address],
    plan: list[Arrival],
    timings: Timings,
) -> None:
    """Send each request when it is due, and wait for all answers."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for arrival in plan:
            delay = started + arrival.due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            address = addresses[arrival.target % len(addresses)]
            group.create_task(_send(address, arrival, timings))


async def _send(
    address: Address,
    arrival: Arrival,
    timings: Timings,
) -> None:
    started = time.monotonic()
    with suppress(NotSentError):
        conn = await ClientConnection.open(address, CONNECT_TIMEOUT)
        try:
            await _exchange(conn, address, arrival, timings, started)
        except ConnectionLostError:
            timings.broken += 1
        finally:
            conn.close()
        return
    timings.broken += 1


async def _exchange(
    conn: ClientConnection,
    address: Address,
    arrival: Arrival,
    timings: Timings,
    started: float,
) -> None:
    answer = await conn.send(build_call(arrival), str(address))
    if answer.status != 200:
        timings.refused += 1
        await answer.read()
        return
    first = None
    tail = b''
    async for part in conn.iter_body():
        first = first or time.monotonic()
        tail = (tail + part)[-32:]
    if DONE not in tail:
        timings.broken += 1
        return
    timings.record(
        arrival.shape.name,
        first - started,
        time.monotonic() - started,
    )


def build_call(arrival: Arrival) -> ClientRequest:
    """Build the streamed completion call of an arrival."""
    body = msgspec.json.encode(
        {
            'model': 'chat',
            'prompt': arrival.prompt,
            'max_tokens': arrival.shape.tokens,
            'stream': True,
        }
    )
    headers = (
        ('Authorization', f'Bearer {arrival.shape.client}'),
        ('Content-Type', 'application/json'),
    )
    return ClientRequest('POST', '/v1/completions', headers, body)
