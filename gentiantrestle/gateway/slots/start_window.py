"""How many slots an upstream gets after a start; no I/O.

Answers bursts and waiting batch items, which would fill an upstream that has
just started within ms: it may have to load or warm up first. As long as its
answers keep the pace of its peers the window grows, so that it isn't left idle
either.
"""

import math

START_SHARE = 0.25  # of the slots
GROWTH_SHARE = 0.25  # of the slots, for each answer
KEPT_PACE = 1.5  # times that of the peers
# After so many answers its own pace is known, and decides instead.
MAX_ANSWERS = 8
# Items hold slots for long; an upstream that runs only them is not held back
# until they end.
MAX_TIME = 4.0  # seconds


class StartWindow:
    """The slots that an upstream may use until it has shown its pace."""

    def __init__(self, slots: int, now: float) -> None:
        """Open at ``now`` with a share of ``slots``."""
        self.size = max(1, math.ceil(slots * START_SHARE))
        self._slots = slots
        self._step = max(1, math.ceil(slots * GROWTH_SHARE))
        self._until = now + MAX_TIME
        self.answers = 0

    def note_answer(self, slowness: float) -> None:
        """Note an answer that took ``slowness`` times that of the peers."""
        self.answers += 1
        if slowness <= KEPT_PACE:
            self.size += self._step
        else:
            self.size = max(1, self.size // 2)

    def note_failure(self) -> None:
        """Note a use that failed."""
        self.size = 1

    def is_over(self, now: float) -> bool:
        """Return whether the upstream may use all its slots."""
        return (
            self.size >= self._slots
            or self.answers >= MAX_ANSWERS
            or now >= self._until
        )
