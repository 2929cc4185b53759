"""Attempts side by side: the first good one wins, the others leave no trace."""

import asyncio
from collections.abc import Sequence
from typing import TypeAlias

from gentiantrestle.http.messages import Response

KEPT = 'kept'

Attempts: TypeAlias = Sequence[asyncio.Task[Response]]


async def first_good(tasks: Attempts) -> Response:
    """Return the first answer; raise the last failure if there is none."""
    waiting = set(tasks)
    while True:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        good = [task for task in done if task.exception() is None]
        if good:
            return keep(good[0])
        if not waiting:
            return done.pop().result()


def keep(task: asyncio.Task[Response]) -> Response:
    """Mark an answer as the one that is used."""
    task.set_name(KEPT)
    return task.result()


async def discard(tasks: Attempts) -> None:
    """Cancel the attempts that did not win, and close their answers."""
    for task in tasks:
        if task.get_name() != KEPT:
            task.cancel()
    await asyncio.wait(tasks)
    for task in tasks:
        if task.get_name() != KEPT and not task.cancelled():
            await _close(task)


async def _close(task: asyncio.Task[Response]) -> None:
    if task.exception() is not None:
        return
    body = task.result().body
    if not isinstance(body, bytes):
        await body.aclose()
