"""What the unfinished items of this instance's jobs wait for; no I/O."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.gateway.slots.batch_asks import WantedSlot


class ItemStates(NamedTuple):
    """How many items are in each state; each is in one.

    ``unserved`` ones wait for a service that has no usable upstream, and
    ``unwritten`` ones have a result that is not in the store yet. Those of
    jobs that can't be queued yet wait for what ``job_waits`` names.
    """

    running: int = 0
    waiting: int = 0
    unserved: int = 0
    delayed: int = 0
    quarantined: int = 0
    unwritten: int = 0
    unread: int = 0
    bodiless: int = 0
    no_room: int = 0


class ItemStateLog:
    """The states as of the last look, and the services without upstreams."""

    def __init__(self) -> None:
        """Start without items."""
        self.states = ItemStates()
        self._unserved: Counter[str] = Counter()

    def update(
        self,
        wanted: Iterable[WantedSlot],
        served: set[str],
        others: ItemStates,
    ) -> dict[str, int]:
        """Count the items that wait for slots, beside ``others``.

        ``served`` are the services with usable upstreams. Returns how many
        items wait for each service that has none since this look.
        """
        by_service = Counter(slot.service for slot in wanted)
        unserved = Counter(
            {
                service: waiting
                for service, waiting in by_service.items()
                if service not in served
            }
        )
        self.states = others._replace(
            waiting=by_service.total() - unserved.total(),
            unserved=unserved.total(),
        )
        new = {
            service: waiting
            for service, waiting in unserved.items()
            if service not in self._unserved
        }
        self._unserved = unserved
        return new
