"""Limit of the slots that one client may hold; no I/O."""

from collections import Counter

MAX_CLIENT_SHARE = 0.75  # of the slots
ACTIVE_WINDOW = 10.0  # seconds


class ClientShares:
    """Keeps one client from taking every slot while others are active."""

    def __init__(self) -> None:
        """Start without clients."""
        self._running: Counter[str] = Counter()
        self._last_request_at: dict[str, float] = {}

    def record_request(self, client: str, now: float) -> None:
        """Record that a client is active."""
        self._last_request_at[client] = now

    def acquire(self, client: str) -> None:
        """Count a slot that a client has taken."""
        self._running[client] += 1

    def release(self, client: str) -> None:
        """Stop counting a slot that a client has given back."""
        self._running[client] -= 1
        if not self._running[client]:
            self._running.pop(client)

    def is_at_limit(self, client: str, slots: int, now: float) -> bool:
        """Tell whether a client already holds all it may of ``slots``.

        There is no limit while no other client is active.
        """
        has_others = any(
            now - last_at <= ACTIVE_WINDOW
            for name, last_at in self._last_request_at.items()
            if name != client
        )
        if not has_others:
            return False
        return self._running[client] >= max(1, int(slots * MAX_CLIENT_SHARE))
