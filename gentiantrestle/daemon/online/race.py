"""Concurrent attempts: the first success wins, the others are cancelled."""

import asyncio
from collections.abc import Sequence
from typing import TypeAlias

from gentiantrestle.http.messages import Response

WINNER_NAME = 'kept'

Attempts: TypeAlias = Sequence[asyncio.Task[Response]]


async def first_success(tasks: Attempts, second_timeout: float) -> Response:
    """Return the first answer; if all attempts fail, raise a failure.

    A second attempt is preferred if it succeeds within ``second_timeout``
    seconds, even if the first, which is already late, succeeds before it.
    """
    if len(tasks) > 1:
        await asyncio.wait(tasks[1:], timeout=second_timeout)
        if has_succeeded(tasks[1]):
            return mark_winner(tasks[1])
    waiting = set(tasks)
    while True:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        succeeded = [task for task in done if has_succeeded(task)]
        if succeeded:
            return mark_winner(succeeded[0])
        if not waiting:
            return done.pop().result()


def has_succeeded(task: asyncio.Task[Response]) -> bool:
    """Tell whether an attempt has ended with an answer."""
    return task.done() and not task.cancelled() and task.exception() is None


def mark_winner(task: asyncio.Task[Response]) -> Response:
    """Mark an attempt as the winner and return its answer."""
    task.set_name(WINNER_NAME)
    return task.result()


def is_winner(task: asyncio.Task[Response]) -> bool:
    """Tell whether an attempt was marked as the winner."""
    return task.get_name() == WINNER_NAME


async def cancel_losers(tasks: Attempts) -> None:
    """Cancel the attempts that did not win, and close their streams."""
    for task in tasks:
        if not is_winner(task):
            task.cancel()
    await asyncio.wait(tasks)
    for task in tasks:
        if not is_winner(task) and has_succeeded(task):
            await _close(task)


async def _close(task: asyncio.Task[Response]) -> None:
    body = task.result().body
    if not isinstance(body, bytes):
        await body.aclose()
