"""Attempts side by side: the first good one wins, the others leave no trace."""

import asyncio
from collections.abc import Sequence
from typing import TypeAlias

from gentiantrestle.http.messages import Response

KEPT = 'kept'

Attempts: TypeAlias = Sequence[asyncio.Task[Response]]


async def first_good(tasks: Attempts, patience: float) -> Response:
    """Return the first answer; raise the last failure if there is none.

    The first attempt is late already: when it begins all the same, the
    second still has ``patience`` seconds to begin and win.
    """
    if len(tasks) > 1:
        await asyncio.wait(tasks[1:], timeout=patience)
        if is_good(tasks[1]):
            return keep(tasks[1])
    waiting = set(tasks)
    while True:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        good = [task for task in done if is_good(task)]
        if good:
            return keep(good[0])
        if not waiting:
            return done.pop().result()


def is_good(task: asyncio.Task[Response]) -> bool:
    """Tell whether an attempt has an answer."""
    return task.done() and not task.cancelled() and task.exception() is None


def keep(task: asyncio.Task[Response]) -> Response:
    """Mark an answer as the one that is used."""
    task.set_name(KEPT)
    return task.result()


def was_kept(task: asyncio.Task[Response]) -> bool:
    """Tell whether an attempt has won."""
    return task.get_name() == KEPT


async def discard(tasks: Attempts) -> None:
    """Cancel the attempts that did not win, and close their answers."""
    for task in tasks:
        if not was_kept(task):
            task.cancel()
    await asyncio.wait(tasks)
    for task in tasks:
        if not was_kept(task) and is_good(task):
            await _close(task)


async def _close(task: asyncio.Task[Response]) -> None:
    body = task.result().body
    if not isinstance(body, bytes):
        await body.aclose()
