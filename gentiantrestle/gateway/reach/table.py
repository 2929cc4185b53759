"""Which upstreams were reached lately; decisions only, no I/O.

An upstream that can't be reached may have ended, or the path to it is broken.
Failures at several upstreams at once point to the path.
"""

import math
from typing import NamedTuple

# Requests and probes renew what is known within this time.
CONTACT_LIFETIME = 4.0  # seconds
# One upstream that isn't reached has probably ended.
MIN_UNREACHED = 2  # upstreams


class Contact(NamedTuple):
    """The last try to connect to an upstream; ``at`` is in s."""

    reached: bool
    at: float


class ReachTable:
    """The last contact with each upstream, by its id."""

    def __init__(self) -> None:
        """Start without contacts."""
        self._contacts: dict[str, Contact] = {}

    def note(self, upstream: str, now: float, *, reached: bool) -> None:
        """Note whether a connection to an upstream could be made."""
        self._contacts[upstream] = Contact(reached, now)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream, which has started again."""
        self._contacts.pop(upstream, None)

    def find(self, upstream: str, now: float) -> Contact | None:
        """Return the last contact; None if it is missing or too old."""
        contact = self._contacts.get(upstream)
        if contact is None or now - contact.at > CONTACT_LIFETIME:
            return None
        return contact

    def idle_time(self, upstream: str, now: float) -> float:
        """Return how many s ago an upstream was reached; else infinity."""
        contact = self.find(upstream, now)
        return now - contact.at if contact and contact.reached else math.inf

    def is_suspect(self, now: float) -> bool:
        """Return whether failures here say more of the path than of upstreams.

        That is so if most of the upstreams tried lately were not reached.
        """
        self._expire(now)
        tried = len(self._contacts)
        unreached = sum(
            not contact.reached for contact in self._contacts.values()
        )
        return unreached >= MIN_UNREACHED and 2 * unreached > tried

    def _expire(self, now: float) -> None:
        self._contacts = {
            upstream: contact
            for upstream, contact in self._contacts.items()
            if now - contact.at <= CONTACT_LIFETIME
        }
