"""Requests for slots of the batch items that wait at this instance.

The coordinator orders the items of its whole zone, so that an instance asks
for as many slots as it has items, within a bound for each pool, and starts
whichever item is granted one. Nothing is chosen without a coordinator: batch
can wait.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.client import SlotClient, SlotLease
from gentiantrestle.gateway.slots.messages import (
    Answer,
    Ask,
    LeaseKey,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.pending import PendingAsk

# Items of one instance that wait in the coordinators' queues, for each service
# and version: one without free slots must not hold up another.
MAX_ASKS = 24
UNANSWERED_AFTER = 0.15  # seconds until the next coordinator is asked
ASKS_PER_COORDINATOR = 3
REFRESH_INTERVAL = 1.0  # seconds until a queued item is asked for again
# A zone that a request was passed on to may have no slot left any more.
REFUSED_PAUSE = 0.2  # seconds
UNNUMBERED = LeaseKey('', 0)


class WantedSlot(NamedTuple):
    """An item that waits; ``slack`` is in s.

    Only upstreams of ``version`` will do, unless it is empty. ``account`` is
    that of the item's job, and ``size`` that of its body in bytes.
    """

    item_id: str
    service: str
    slack: float
    tokens_left: int
    version: str = ''
    account: str = ''
    size: int = 0

    @property
    def pool(self) -> tuple[str, str]:
        """The service and version whose slots the item competes for."""
        return self.service, self.version


class _OpenAsk:
    """The request for one item's slot, and when it was last sent."""

    def __init__(self, pending: PendingAsk) -> None:
        self.pending = pending
        self.asked_at = float('-inf')
        self.tries = 0

    @property
    def service(self) -> str:
        """The service whose slots are asked for."""
        return self.pending.ask.service

    def update(self, slot: WantedSlot) -> None:
        """Ask for what the item needs now; at once if its version changes."""
        ask = self.pending.ask
        if ask.version != slot.version:
            self.asked_at = float('-inf')
        self.pending.ask = ask._replace(
            slack=slot.slack,
            tokens_left=slot.tokens_left,
            version=slot.version,
        )

    def exclude(self, suspended: frozenset[str]) -> None:
        """Ask for no slot of the upstreams that are suspended at present."""
        self.pending.ask = self.pending.ask._replace(excluded=suspended)

    def is_due(self, now: float) -> bool:
        """Return whether the request has to be sent again."""
        elapsed = now - self.asked_at
        if self.pending.answer is None:
            return elapsed > UNANSWERED_AFTER
        if self.pending.refused:
            return elapsed > REFUSED_PAUSE
        return elapsed > REFRESH_INTERVAL


class BatchAsks:
    """Keeps the requests for slots in line with the items that wait."""

    def __init__(
        self,
        zone: str,
        client: SlotClient,
        find_upstream: Callable[[str], Upstream | None],
        now: Callable[[], float],
    ) -> None:
        """Ask the coordinators of ``zone``."""
        self._zone = zone
        self._client = client
        self._find_upstream = find_upstream
        self._now = now
        self._open: dict[str, _OpenAsk] = {}
        self._coordinator = ''
        # Starts an item; returns False if it no longer waits.
        self.start: Callable[[str, SlotLease], bool] = _start_nothing

    @property
    def is_busy(self) -> bool:
        """Return whether slots are asked for."""
        return bool(self._open)

    def want(self, wanted: Iterable[WantedSlot]) -> None:
        """Ask for the first of each pool; withdraw what is not among them."""
        chosen = {slot.item_id: slot for slot in _first_of_pools(wanted)}
        for item_id, ask in tuple(self._open.items()):
            slot = chosen.get(item_id)
            # A service that the route no longer names grants nothing of use.
            if slot is None or slot.service != ask.service:
                self._open.pop(item_id)
                self._client.withdraw(ask.pending, self._zone)
        for item_id, slot in chosen.items():
            known = self._open.get(item_id)
            if known is None:
                self._open[item_id] = self._open_ask(slot)
            else:
                known.update(slot)
        self.send_due(self._now())

    def send_due(self, now: float) -> None:
        """Send the requests that are new, unanswered or due again."""
        targets = self._client.targets(self._zone, now)
        if not targets:
            return
        changed = targets[0].run != self._coordinator
        self._coordinator = targets[0].run
        for ask in self._open.values():
            if changed or ask.is_due(now):
                unanswered = ask.pending.answer is None
                turn = ask.tries // ASKS_PER_COORDINATOR
                target = targets[turn % len(targets)]
                ask.tries += int(unanswered)
                ask.asked_at = now
                ask.exclude(self._client.health.suspended(now))
                self._client.send_ask(ask.pending, target.host)

    def _open_ask(self, slot: WantedSlot) -> _OpenAsk:
        pending = self._client.open(
            Ask(
                UNNUMBERED,
                '',
                slot.service,
                batch=True,
                slack=slot.slack,
                tokens_left=slot.tokens_left,
                version=slot.version,
                account=slot.account,
                size=slot.size,
            )
        )
        pending.on_answer = lambda answer: self._receive(slot.item_id, answer)
        return _OpenAsk(pending)

    def _receive(self, item_id: str, answer: Answer) -> None:
        """Start the item if its slot is granted."""
        ask = self._open.get(item_id)
        if ask is None or answer.verdict is not Verdict.GRANTED:
            return
        self._open.pop(item_id)
        upstream = self._find_upstream(answer.upstream)
        if upstream is None:
            self._client.withdraw(ask.pending, self._zone)
            return
        lease = self._client.hold(ask.pending, upstream, answer.host)
        if not self.start(item_id, lease):
            self._client.release(lease, SlotOutcome.UNKNOWN)


def _first_of_pools(wanted: Iterable[WantedSlot]) -> Iterator[WantedSlot]:
    """Yield the first ``MAX_ASKS`` of each pool, in their order."""
    taken: Counter[tuple[str, str]] = Counter()
    for slot in wanted:
        taken[slot.pool] += 1
        if taken[slot.pool] <= MAX_ASKS:
            yield slot


def _start_nothing(item_id: str, lease: SlotLease) -> bool:
    return False
