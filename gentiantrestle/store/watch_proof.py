"""What a watch without changes proves of the time before it; no I/O.

A store may lose touch with its watches: for ``DEAF_TIME`` at most they hear
nothing while changes are made, and then they are cut, or told that the history
is gone. A watch that ends in between, without changes, looks like a sound one.
"""

DEAF_TIME = 1.0  # seconds


class WatchProof:
    """Judges answers without changes of one kind's watches, in their order."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self._candidate = 0
        self._heard_for = float(0)

    def reset(self) -> None:
        """Start over: an answer had changes, or the kind was listed."""
        self._candidate = 0
        self._heard_for = 0

    def next_revision(
        self, watched: int, answered: int, heard_for: float
    ) -> int:
        """Return the revision from which to watch next.

        A watch from ``watched`` waited for ``heard_for`` s and brought nothing
        up to the revision ``answered``. That one may follow a change that
        wasn't heard, so it is used only once later watches from ``watched``
        have outlasted a deaf time.
        """
        if not self._candidate:
            self._candidate = answered
            self._heard_for = 0
            return watched
        self._heard_for += heard_for
        if self._heard_for < DEAF_TIME:
            return watched
        settled = self._candidate
        self._candidate = answered
        self._heard_for = 0
        return settled


def proven_time(asked_at: float, heard_for: float) -> float:
    """Return a time up to which a watch without changes has missed none.

    It was sent at ``asked_at`` and waited for ``heard_for`` s.
    """
    return asked_at + min(0, heard_for - DEAF_TIME)
