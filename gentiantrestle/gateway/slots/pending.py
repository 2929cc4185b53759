"""A request for a slot that is on its way; no I/O."""

import asyncio
from collections.abc import Callable

from gentiantrestle.gateway.slots.messages import Answer, Ask, Verdict


class PendingAsk:
    """A request for a slot until it is granted, refused or withdrawn."""

    def __init__(self, ask: Ask) -> None:
        """Start unanswered."""
        self.ask = ask
        self.answer: Answer | None = None
        self.answered = asyncio.Event()
        # Called with each answer; online requests wait for the event instead.
        self.on_answer: Callable[[Answer], None] = _ignore

    @property
    def refused(self) -> bool:
        """Return whether the last answer was a refusal."""
        answer = self.answer
        return answer is not None and answer.verdict is Verdict.REFUSED

    def settle(self, answer: Answer) -> None:
        """Note an answer."""
        self.answer = answer
        self.answered.set()
        self.on_answer(answer)


def _ignore(answer: Answer) -> None:
    """Do nothing until a handler is set."""
