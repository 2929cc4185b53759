"""What an instance knows of crashes and of sound traits; no I/O.

Instances exchange their findings and merge them, so that all of them draw the
same conclusions, also those that have just started. Times are wall-clock times
in s: they are compared between instances, and in minutes only.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.quarantine.culprits import (
    Crash,
    Culprit,
    Traits,
    find_culprits,
)
from gentiantrestle.quarantine.sound import SoundTrait, SoundTraits

CRASH_LIFETIME = 3600  # seconds that a crash is remembered
# Crashes that explain nothing yet are passed on for this long.
SHARING_TIME = 60  # seconds
SOUND_STEP = 15  # seconds; rounds the times that are passed on
MAX_CRASHES = 64
MAX_SUSPECTS = 32  # of one crash
# All findings have to fit into one datagram.
MAX_SHARED_TRAITS = 1200
REFRESH_INTERVAL = 1  # seconds until conclusions are drawn again


class Findings(NamedTuple):
    """What one instance tells the others."""

    crashes: tuple[Crash, ...] = ()
    sound: tuple[SoundTrait, ...] = ()


NO_FINDINGS = Findings()


class Conclusions(NamedTuple):
    """The culprits and what to pass on, as of a time in s."""

    culprits: tuple[Culprit, ...]
    findings: Findings
    drawn_at: float


class Evidence:
    """Crashes and sound traits, own and of other instances."""

    def __init__(self) -> None:
        """Know nothing."""
        self._crashes: dict[str, Crash] = {}
        self._sound = SoundTraits()
        self._conclusions: Conclusions | None = None
        # Called with each crash that was not known.
        self.on_crash: Callable[[Crash], None] = _ignore

    def add_crash(self, upstream: str, suspect: Traits, wall: float) -> None:
        """Note that an upstream ended while it began to answer a request."""
        self._add(Crash(upstream, int(wall), frozenset((suspect,))), wall)

    def note_sound(self, traits: Iterable[str], wall: float) -> None:
        """Note that a request with these traits has ended no upstream."""
        self._note_sound(SoundTrait(trait, wall) for trait in traits)

    def merge(self, findings: Findings, wall: float) -> None:
        """Add what another instance knows."""
        self._note_sound(
            SoundTrait(trait, min(at, wall)) for trait, at in findings.sound
        )
        for crash in findings.crashes:
            # The clock of another instance may be ahead.
            seen_at = min(crash.at, int(wall))
            if wall - seen_at < CRASH_LIFETIME:
                self._add(crash._replace(at=seen_at), wall)

    def culprits(self, wall: float) -> tuple[Culprit, ...]:
        """Return what must not be sent to upstreams."""
        if not self._crashes:
            return ()
        return self._conclude(wall).culprits

    def findings(self, wall: float) -> Findings:
        """Return what to tell the other instances."""
        if not self._crashes:
            return NO_FINDINGS
        return self._conclude(wall).findings

    def _note_sound(self, found: Iterable[SoundTrait]) -> None:
        """Note sound traits; a blame on one of them ends at once."""
        blamed = self._blamed()
        for trait, at in found:
            self._sound.note(trait, at)
            if trait in blamed:
                self._conclusions = None

    def _blamed(self) -> Traits:
        """Return the traits of the culprits concluded last."""
        if self._conclusions is None:
            return frozenset()
        return frozenset().union(
            *(known.traits for known in self._conclusions.culprits)
        )

    def _add(self, crash: Crash, wall: float) -> None:
        known = self._crashes.get(crash.upstream)
        merged = crash
        if known is not None:
            suspects = known.suspects | crash.suspects
            merged = Crash(
                crash.upstream,
                min(known.at, crash.at),
                frozenset(sorted(suspects, key=sorted)[:MAX_SUSPECTS]),
            )
        if merged == known:
            return
        self._crashes[crash.upstream] = merged
        self._conclusions = None
        if known is None:
            self.on_crash(crash)
            self._drop_surplus(wall)

    def _drop_surplus(self, wall: float) -> None:
        """Drop the oldest crashes, first those that explain nothing."""
        if len(self._crashes) <= MAX_CRASHES:
            return
        culprits = tuple(self._find_culprits(wall))
        oldest = min(
            self._crashes.values(),
            key=lambda crash: (_supports(crash, culprits), crash.at),
        )
        self._crashes.pop(oldest.upstream)

    def _conclude(self, wall: float) -> Conclusions:
        known = self._conclusions
        if known is None or not (0 <= wall - known.drawn_at < REFRESH_INTERVAL):
            self._remove_old(wall)
            culprits = tuple(self._find_culprits(wall))
            known = Conclusions(
                culprits, self._select_findings(culprits, wall), wall
            )
            self._conclusions = known
        return known

    def _remove_old(self, wall: float) -> None:
        self._crashes = {
            upstream: crash
            for upstream, crash in self._crashes.items()
            if wall - crash.at < CRASH_LIFETIME
        }

    def _find_culprits(self, wall: float) -> Iterator[Culprit]:
        return find_culprits(self._stripped(wall))

    def _stripped(self, wall: float) -> Iterator[Crash]:
        """Yield the crashes without sound traits."""
        sound = {known.trait for known in self._sound_suspects(wall)}
        return (crash.without(sound) for crash in self._crashes.values())

    def _sound_suspects(self, wall: float) -> Iterator[SoundTrait]:
        """Yield the sound ones of the traits that occur in crashes."""
        suspects = frozenset().union(
            *(crash.traits for crash in self._crashes.values())
        )
        yield from self._sound.select(suspects, wall)

    def _select_findings(
        self, culprits: tuple[Culprit, ...], wall: float
    ) -> Findings:
        """Choose what others need: recent crashes, and those of culprits."""
        crashes = (
            crash
            if wall - crash.at < SHARING_TIME
            else _reduce(crash, culprits)
            for crash in self._stripped(wall)
        )
        sound = (
            SoundTrait(trait, int(at // SOUND_STEP * SOUND_STEP))
            for trait, at in self._sound_suspects(wall)
        )
        chosen = sorted(
            (crash for crash in crashes if crash.suspects),
            key=lambda crash: (_supports(crash, culprits), crash.at, crash),
            reverse=True,
        )
        return Findings(
            tuple(sorted(_take(chosen, MAX_SHARED_TRAITS))),
            tuple(sorted(sound))[:MAX_SHARED_TRAITS],
        )


def _take(crashes: Iterable[Crash], traits: int) -> Iterator[Crash]:
    """Yield the first crashes that have so many traits in all."""
    for crash in crashes:
        traits -= sum(map(len, crash.suspects))
        if traits < 0:
            return
        yield crash


def _supports(crash: Crash, culprits: Iterable[Culprit]) -> bool:
    return any(crash.involves(culprit.traits) for culprit in culprits)


def _reduce(crash: Crash, culprits: Iterable[Culprit]) -> Crash:
    """Return a crash with nothing but the culprits that it shows."""
    shown = (
        culprit.traits for culprit in culprits if crash.involves(culprit.traits)
    )
    return crash._replace(suspects=frozenset(shown))


def _ignore(crash: Crash) -> None:
    """Do nothing until a handler is set."""
