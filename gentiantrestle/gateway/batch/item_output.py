"""The output of a batch item while it is not complete; no I/O."""

from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream

# Covers the pause before a retry and a scheduling round of the runner.
MIN_PATIENCE = 2.0  # seconds


# Larger ones can't be stored or listed; a sound one has some tens of KB.
MAX_OUTPUT = 1000000  # characters


class OutputTooLongError(Exception):
    """The output of an item has no end within the longest size."""


class Build(NamedTuple):
    """The service and software version of an upstream."""

    service: str
    version: str

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> 'Build':
        """Return that of an upstream."""
        return cls(upstream.service, upstream.version)


class ItemOutput:
    """The texts of an item's events so far, all of one build."""

    def __init__(self, build: Build) -> None:
        """Start without events."""
        self.build = build
        self.texts: list[str] = []
        self.last_event = 0
        self._size = 0
        self._received_at = float('-inf')
        self._spent = float(0)

    def add(self, text: str, last_event: int) -> None:
        """Add the text of an event; ``last_event`` is the last id so far.

        Raises ``OutputTooLongError``.
        """
        self._size += len(text) + 1
        if self._size > MAX_OUTPUT:
            raise OutputTooLongError(f'more than {MAX_OUTPUT} characters')
        self.texts.append(text)
        self.last_event = last_event

    def note_time(self, now: float, spent: float) -> None:
        """Note when events came, and how long the item has run up to then.

        ``spent`` in s includes the runs whose output was dropped, so that an
        item doesn't start again and again.
        """
        self._received_at = now
        self._spent = spent

    def is_awaited(self, now: float) -> bool:
        """Return whether to wait for an upstream that can go on with it.

        Not for longer than it took: then it is made again elsewhere as soon.
        """
        patience = max(MIN_PATIENCE, self._spent)
        return bool(self.texts) and now - self._received_at <= patience
