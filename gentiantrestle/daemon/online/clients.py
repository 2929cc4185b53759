"""Slots that one client may hold while others are there too; no I/O."""

from collections import Counter

CLIENT_SHARE = 0.75
ACTIVE_FOR = 10.0  # seconds


class ClientShares:
    """Keeps a flood of one client from taking every slot."""

    def __init__(self) -> None:
        """Start without clients."""
        self._running: Counter[str] = Counter()
        self._seen: dict[str, float] = {}

    def note(self, client: str, now: float) -> None:
        """Note that a client sends requests."""
        self._seen[client] = now

    def enter(self, client: str) -> None:
        """Count a request that has got a slot."""
        self._running[client] += 1

    def leave(self, client: str) -> None:
        """Count a request that has ended."""
        self._running[client] -= 1
        if not self._running[client]:
            self._running.pop(client)

    def is_over(self, client: str, slots: int, now: float) -> bool:
        """Tell whether a client holds its share of ``slots`` already.

        A client that is alone may use them all.
        """
        others = any(
            now - at <= ACTIVE_FOR
            for name, at in self._seen.items()
            if name != client
        )
        if not others:
            return False
        return self._running[client] >= max(1, int(slots * CLIENT_SHARE))
