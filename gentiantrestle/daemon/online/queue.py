"""Queue of waiting requests, fair between clients; no I/O."""

from collections import OrderedDict, deque
from typing import Any, NamedTuple

from gentiantrestle.errors import OVERLOADED, Refusal

RETRY_AFTER = 1  # seconds


class Ticket(NamedTuple):
    """A queued request of one client.

    ``pop`` drops it once ``deadline``, in seconds of the local clock, has
    passed. The queue does not look at ``payload``.
    """

    client: str
    deadline: float
    payload: Any


class FairQueue:
    """Serves clients in turn, and the requests of one client in order."""

    def __init__(self, length: int) -> None:
        """Hold at most ``length`` requests."""
        self._max_length = length
        self._clients: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Number of queued requests."""
        return self._size

    @property
    def client_count(self) -> int:
        """Number of clients that have queued requests."""
        return len(self._clients)

    def push(self, ticket: Ticket) -> Ticket | Refusal | None:
        """Queue a request.

        When the queue is full, the newest request of the client with the most
        queued requests is evicted and returned. If this client has as many,
        or just one fewer, its request is not queued and a refusal is
        returned.
        """
        evicted = None
        if self._size >= self._max_length:
            evicted = self._make_room(ticket.client)
            if isinstance(evicted, Refusal):
                return evicted
        self._clients.setdefault(ticket.client, deque()).append(ticket)
        self._size += 1
        return evicted

    def pop(self, now: float) -> Ticket | None:
        """Take the next request whose deadline has not passed.

        Requests that are past their deadline are dropped.
        """
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
        """Return a popped request to the head of the queue."""
        waiting = self._clients.setdefault(ticket.client, deque())
        waiting.appendleft(ticket)
        self._clients.move_to_end(ticket.client, last=False)
        self._size += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; do nothing if it is not queued."""
        waiting = self._clients.get(ticket.client)
        if waiting is None or ticket not in waiting:
            return
        waiting.remove(ticket)
        self._size -= 1
        if not waiting:
            self._clients.pop(ticket.client)

    def _make_room(self, client: str) -> Ticket | Refusal:
        longest_client = max(
            self._clients,
            key=lambda name: len(self._clients[name]),
            default=client,
        )
        own_count = len(self._clients.get(client, ()))
        longest_count = len(self._clients.get(longest_client, ()))
        if own_count >= longest_count - 1:
            return Refusal(OVERLOADED, 'The queue is full', RETRY_AFTER)
        evicted = self._clients[longest_client].pop()
        self._size -= 1
        return evicted
