"""Racing attempts: one answer is used, all others are closed."""

import asyncio

import pytest

from gentiantrestle.daemon.online.race import cancel_losers, first_success
from gentiantrestle.http.messages import Response

SECOND_TIMEOUT = 0.05  # seconds


class Stream:
    """An answer body that records whether it was closed."""

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
async def test_second_attempt_wins_if_it_starts_in_time(
    second_starts: bool,
) -> None:
    streams = [Stream(), Stream()]
    start = _started() if second_starts else asyncio.Event()
    tasks = [
        asyncio.create_task(_answer(streams[0], _started())),
        asyncio.create_task(_answer(streams[1], start)),
    ]
    response = await first_success(tasks, SECOND_TIMEOUT)
    await cancel_losers(tasks)
    assert response.body is streams[int(second_starts)]
    assert not response.body.closed
    assert streams[0].closed is second_starts
    assert all(task.done() for task in tasks)


@pytest.mark.parametrize('failing', [0, 1])
async def test_other_attempt_wins_when_one_fails(failing: int) -> None:
    stream = Stream()
    tasks = [asyncio.create_task(_answer(stream, _started()))]
    tasks.insert(failing, asyncio.create_task(_fail()))
    response = await first_success(tasks, SECOND_TIMEOUT)
    await cancel_losers(tasks)
    assert response.body is stream


async def test_failure_is_raised_when_both_attempts_fail() -> None:
    tasks = [asyncio.create_task(_fail()), asyncio.create_task(_fail())]
    with pytest.raises(ConnectionError):
        await first_success(tasks, SECOND_TIMEOUT)
    await cancel_losers(tasks)
