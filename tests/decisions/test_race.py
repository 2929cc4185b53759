"""Attempts side by side: one answer is kept, all else is given back."""

import asyncio

import pytest

from gentiantrestle.daemon.online.race import discard, first_good
from gentiantrestle.http.messages import Response

PATIENCE = 0.05  # seconds


class Stream:
    """An answer that knows whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    async def aclose(self) -> None:
        self.closed = True


async def _answer(stream: Stream, start: asyncio.Event) -> Response:
    await start.wait()
    return Response(200, stream)


async def _fail() -> Response:
    raise ConnectionError('lost')


def _started() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@pytest.mark.parametrize('second_starts', [True, False])
async def test_a_late_first_gives_way_to_a_second(second_starts: bool) -> None:
    streams = [Stream(), Stream()]
    start = _started() if second_starts else asyncio.Event()
    tasks = [
        asyncio.create_task(_answer(streams[0], _started())),
        asyncio.create_task(_answer(streams[1], start)),
    ]
    response = await first_good(tasks, PATIENCE)
    await discard(tasks)
    assert response.body is streams[int(second_starts)]
    assert not response.body.closed
    assert streams[0].closed is second_starts
    assert all(task.done() for task in tasks)


@pytest.mark.parametrize('failing', [0, 1])
async def test_a_failure_leaves_the_other(failing: int) -> None:
    stream = Stream()
    tasks = [asyncio.create_task(_answer(stream, _started()))]
    tasks.insert(failing, asyncio.create_task(_fail()))
    response = await first_good(tasks, PATIENCE)
    await discard(tasks)
    assert response.body is stream


async def test_two_failures_raise() -> None:
    tasks = [asyncio.create_task(_fail()), asyncio.create_task(_fail())]
    with pytest.raises(ConnectionError):
        await first_good(tasks, PATIENCE)
    await discard(tasks)
