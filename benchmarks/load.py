"""Open-loop load: requests start when they are due, whatever is slow."""

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
LONGEST = 120_000_000  # microseconds
DIGITS = 3
MICROSECONDS = 1_000_000
DONE = b'data: [DONE]'


class Shape(NamedTuple):
    """One kind of request: answer length and its share of the arrivals."""

    name: str
    tokens: int
    share: float
    client: str = CLIENT_KEY


class Arrival(NamedTuple):
    """One request: when it is due, in s, and what it asks."""

    due: float
    shape: Shape
    target: int
    prompt: str


class Timings:
    """What the callers of one arm have seen."""

    def __init__(self) -> None:
        """Start without a request."""
        self.totals: dict[str, HdrHistogram] = {}
        self.first = HdrHistogram(1, LONGEST, DIGITS)
        self.whole = 0
        self.refused = 0
        self.broken = 0

    def note(self, name: str, first: float, total: float) -> None:
        """Note a whole answer; times in s."""
        histogram = self.totals.setdefault(
            name,
            HdrHistogram(1, LONGEST, DIGITS),
        )
        histogram.record_value(int(total * MICROSECONDS))
        self.first.record_value(int(first * MICROSECONDS))
        self.whole += 1

    def quantile(self, name: str, percent: float) -> float:
        """Return a quantile of the whole time of a shape, in s."""
        return self.totals[name].get_value_at_percentile(percent) / MICROSECONDS


def arrivals(
    seed: int,
    rate: float,
    seconds: float,
    shapes: tuple[Shape, ...],
    targets: int,
) -> Iterator[Arrival]:
    """Draw Poisson arrivals; the same seed draws the same ones."""
    draw = random.Random(seed)
    due = draw.expovariate(rate)
    count = 0
    while due < seconds:
        shape = draw.choices(shapes, [one.share for one in shapes])[0]
        count += 1
        yield Arrival(due, shape, draw.randrange(targets), f'{seed}/{count}')
        due += draw.expovariate(rate)


async def drive(
    addresses: list[Address],
    plan: list[Arrival],
    timings: Timings,
) -> None:
    """Send every arrival when it is due, and wait for all answers."""
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for arrival in plan:
            delay = began + arrival.due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            address = addresses[arrival.target % len(addresses)]
            group.create_task(_send(address, arrival, timings))


async def _send(
    address: Address,
    arrival: Arrival,
    timings: Timings,
) -> None:
    began = time.monotonic()
    with suppress(NotSentError):
        conn = await ClientConnection.open(address, CONNECT_TIMEOUT)
        try:
            await _converse(conn, address, arrival, timings, began)
        except ConnectionLostError:
            timings.broken += 1
        finally:
            conn.close()
        return
    timings.broken += 1


async def _converse(
    conn: ClientConnection,
    address: Address,
    arrival: Arrival,
    timings: Timings,
    began: float,
) -> None:
    answer = await conn.send(build(arrival), str(address))
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
    timings.note(
        arrival.shape.name,
        first - began,
        time.monotonic() - began,
    )


def build(arrival: Arrival) -> ClientRequest:
    """Write the call of an arrival."""
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
