"""Instances that are asked for newer state, several if some are silent."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, NamedTuple, Protocol, TypeVar

# Answers begin after tens of ms, also between regions.
PATIENCE = 0.3  # seconds without a part of an answer until another is asked
# An answer that arrives for longer may be of a slow source: another is asked.
SLOW_ANSWER = 1.2  # seconds
MAX_ARRIVING = 2  # answers at once
# Whoever has failed is asked again at once if nobody else has the state.
FAILURE_MEMORY = 3.0  # seconds
MAX_CALLS = 4  # calls in progress at once


class Named(Protocol):
    """A row about an instance."""

    instance: str


Row = TypeVar('Row', bound=Named)


class SourceStates(NamedTuple):
    """Which instances have not answered, as of now.

    ``asked`` are those whose answer is awaited, ``failed`` those that have
    not answered lately. ``receiving``: parts of an answer are arriving that
    was asked for lately, or of ``MAX_ARRIVING`` answers, and nobody else has
    answered since.
    """

    asked: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()
    receiving: bool = False

    def is_silent(self, instance: str) -> bool:
        """Return whether an instance doesn't answer, or didn't lately."""
        return instance in self.asked or instance in self.failed

    def usable(self, rows: Iterable[Row]) -> list[Row]:
        """Return those to ask: none that is asked, else failed ones last.

        Nobody is asked while an answer is arriving.
        """
        if self.receiving or len(self.asked) >= MAX_CALLS:
            return []
        idle = [row for row in rows if row.instance not in self.asked]
        sound = [row for row in idle if row.instance not in self.failed]
        return sound or idle


class SourceCall(NamedTuple):
    """A call in progress.

    ``silence`` returns for how many s no part of its answer has arrived.
    ``slow_at`` is when its source counts as slow, a time of the event loop.
    ``overtaken``: another source has answered meanwhile.
    """

    task: asyncio.Task[bool]
    silence: Callable[[], float]
    slow_at: float
    overtaken: bool = False

    @property
    def patience_left(self) -> float:
        """Return for how many s its source doesn't count as silent yet."""
        return PATIENCE - self.silence()

    @property
    def is_awaited(self) -> bool:
        """Return whether an answer is arriving that may bring newer state."""
        return not self.overtaken and self.patience_left > 0


class SourceCalls:
    """Calls for newer state; one that gets no answer holds up no other."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: dict[str, SourceCall] = {}
        self._failed_at: dict[str, float] = {}

    def states(self, now: float) -> SourceStates:
        """Return which instances have not answered."""
        for instance in tuple(self._calls):
            self._note_end(instance, now)
        self._failed_at = {
            name: failed_at
            for name, failed_at in self._failed_at.items()
            if now - failed_at < FAILURE_MEMORY
        }
        return SourceStates(
            frozenset(self._calls),
            frozenset(self._failed_at),
            self._is_receiving(asyncio.get_running_loop().time()),
        )

    async def ask(
        self,
        instance: str,
        call: Coroutine[Any, Any, bool],
        silence: Callable[[], float],
    ) -> bool:
        """Run a call that returns whether an instance has answered.

        ``silence`` returns for how many s no part of its answer has arrived.

        Returns whether it ended, or an earlier call was answered; False if
        parts stopped arriving, or arrive for long, so that it goes on beside
        others.
        """
        task = asyncio.create_task(call)
        now = asyncio.get_running_loop().time
        source_call = SourceCall(task, silence, now() + SLOW_ANSWER)
        self._calls[instance] = source_call
        waiting = {earlier.task for earlier in self._calls.values()}
        until = now() + PATIENCE
        left = PATIENCE
        while left > 0:
            ended, waiting = await asyncio.wait(
                waiting,
                timeout=left,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or any(map(_has_answered, ended)):
                return True
            left = max(until - now(), source_call.patience_left)
            left = min(left, source_call.slow_at - now())
        return False

    def cancel(self) -> None:
        """Cancel all calls."""
        for call in self._calls.values():
            call.task.cancel()
        self._calls.clear()

    def _is_receiving(self, now: float) -> bool:
        """Return whether what is arriving is to be waited for alone."""
        awaited = [call for call in self._calls.values() if call.is_awaited]
        is_recent = any(now < call.slow_at for call in awaited)
        return is_recent or len(awaited) >= MAX_ARRIVING

    def _note_end(self, instance: str, now: float) -> None:
        """Take the outcome of a call that has ended; raise what it raised."""
        if not self._calls[instance].task.done():
            return
        if self._calls.pop(instance).task.result():
            self._failed_at.pop(instance, None)
            self._calls = {
                name: call._replace(overtaken=True)
                for name, call in self._calls.items()
            }
        else:
            self._failed_at[instance] = now


def _has_answered(call: asyncio.Task[bool]) -> bool:
    """Return whether a call brought an answer, or raised something."""
    return call.exception() is not None or call.result()
