"""Traits of requests whose answers were completed; no I/O."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.quarantine.traits import is_fingerprint

# A trait may begin to crash upstreams after a change of their software.
SOUND_LIFETIME = 120  # seconds after a complete answer
MAX_SOUND = 8192  # of each kind of trait


class SoundTrait(NamedTuple):
    """A trait, and the wall-clock time in s when an answer was completed."""

    trait: str
    at: float


class SoundTraits:
    """When answers to requests with a trait were last completed.

    Fingerprints are kept apart: nearly all differ, and would displace the parts
    of prompts, which recur.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._parts: OrderedDict[str, float] = OrderedDict()
        self._fingerprints: OrderedDict[str, float] = OrderedDict()

    def note(self, trait: str, at: float) -> None:
        """Note a complete answer, and forget the oldest of too many traits."""
        times = self._fingerprints if is_fingerprint(trait) else self._parts
        known = times.pop(trait, at)
        times[trait] = max(known, at)
        if len(times) > MAX_SOUND:
            times.popitem(last=False)

    def select(
        self, traits: Iterable[str], wall: float
    ) -> Iterator[SoundTrait]:
        """Yield those of the traits that are sound at the time ``wall``."""
        for trait in traits:
            times = self._fingerprints if is_fingerprint(trait) else self._parts
            at = times.get(trait)
            if at is not None and wall - at < SOUND_LIFETIME:
                yield SoundTrait(trait, at)
