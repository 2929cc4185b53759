"""Takes the slots of one request, one for each attempt."""

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.silence import Silence
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.slot_request import SlotRequest


class RequestSlots:
    """The slots of one request; prefers upstreams that were not tried yet."""

    def __init__(
        self, admission: Admission, req: Request, route: Route
    ) -> None:
        """Take slots from ``admission``; none is held yet."""
        self._admission = admission
        self._req = req
        self._route = route
        self._tried: frozenset[str] = frozenset()
        # Taken while the attempt before was silent.
        self._next: SlotLease | None = None

    async def take(self, service: str, version: str) -> SlotLease:
        """Take the slot of the next attempt; raise ``RefusedError``.

        Only upstreams of ``version`` will do, unless it is empty.
        """
        lease = self._next
        self._next = None
        if lease is None:
            lease = await self._admission.acquire(self._ask(service, version))
        self._tried |= {lease.upstream.id}
        return lease

    async def find_other(
        self, lease: SlotLease, silence: Silence, version: str
    ) -> SlotLease | None:
        """Take a slot elsewhere while the upstream of ``lease`` is silent.

        An upstream that sends bytes without an event may be asked again.
        """
        try:
            found = await self._admission.acquire(
                self._ask(lease.upstream.service, version)
            )
        except RefusedError:
            return None
        if found.upstream.id == lease.upstream.id and not silence.trickles:
            self.release(found)
            return None
        return found

    def keep(self, lease: SlotLease) -> None:
        """Keep a slot for the next attempt."""
        self._next = lease

    def release(
        self, lease: SlotLease, health: SlotOutcome = SlotOutcome.UNKNOWN
    ) -> None:
        """Give a slot back; ``health`` is that of its upstream."""
        self._admission.release(lease, health)

    def release_kept(self) -> None:
        """Give back the slot that was kept, if there is one."""
        if self._next is not None:
            self.release(self._next)
            self._next = None

    def _ask(self, service: str, version: str) -> SlotRequest:
        return SlotRequest(
            self._req, self._route, service, self._tried, version
        )
