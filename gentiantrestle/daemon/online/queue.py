"""Waiting requests, fair between clients; decisions only, no I/O."""

from collections import OrderedDict, deque
from typing import Any, NamedTuple

from gentiantrestle.errors import OVERLOADED, Refusal

RETRY_AFTER = 1  # seconds


class Ticket(NamedTuple):
    """One waiting request: whose it is, and when it is too late."""

    client: str
    deadline: float
    token: Any


class FairQueue:
    """Clients take turns; within a client, first come is first served."""

    def __init__(self, length: int) -> None:
        """Hold at most ``length`` requests."""
        self._length = length
        self._clients: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return self._size

    @property
    def clients(self) -> int:
        """Count the clients that wait."""
        return len(self._clients)

    def push(self, ticket: Ticket) -> Ticket | Refusal | None:
        """Queue a request.

        When the queue is full, the newest request of the client that waits
        with most makes room and is returned; if that is this client, it is
        refused itself.
        """
        evicted = None
        if self._size >= self._length:
            evicted = self._make_room(ticket.client)
            if isinstance(evicted, Refusal):
                return evicted
        self._clients.setdefault(ticket.client, deque()).append(ticket)
        self._size += 1
        return evicted

    def pop(self, now: float) -> Ticket | None:
        """Take the next request that is not too late."""
        while self._clients:
            client, waiting = next(iter(self._clients.items()))
            ticket = waiting.popleft()
            self._size -= 1
            self._clients.move_to_end(client)
            if not waiting:
                self._clients.pop(client)
            if ticket.deadline > now:
                return ticket
        return None

    def push_front(self, ticket: Ticket) -> None:
        """Put a request back that was popped in vain."""
        waiting = self._clients.setdefault(ticket.client, deque())
        waiting.appendleft(ticket)
        self._clients.move_to_end(ticket.client, last=False)
        self._size += 1

    def remove(self, ticket: Ticket) -> None:
        """Take a request out that waits no longer."""
        waiting = self._clients.get(ticket.client)
        if waiting is None or ticket not in waiting:
            return
        waiting.remove(ticket)
        self._size -= 1
        if not waiting:
            self._clients.pop(ticket.client)

    def _make_room(self, client: str) -> Ticket | Refusal:
        longest = max(
            self._clients,
            key=lambda name: len(self._clients[name]),
            default=client,
        )
        own = len(self._clients.get(client, ()))
        most = len(self._clients.get(longest, ()))
        if own >= most - 1:
            return Refusal(OVERLOADED, 'The queue is full', RETRY_AFTER)
        evicted = self._clients[longest].pop()
        self._size -= 1
        return evicted
