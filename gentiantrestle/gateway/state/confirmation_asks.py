"""Whom to ask how new the configuration is, and when; no I/O."""

import math
import random
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.state.confirmation import NEVER

# Shares of the time that a revocation may take.
ASK_SHARE = 0.1  # between two rounds of questions
OLD_SHARE = 0.6  # an age from which instances of other zones are asked, too
URGENT_ASK_SHARE = 0.05  # between two rounds then, or if nobody answers
# Ages, by lot, from which the store itself is read. Whoever reads first
# confirms the others before their turn.
FIRST_READ_SHARE = 0.5
LAST_READ_SHARE = 0.85
# Of so many instances one reads first; the later, the more do.
READ_SPREAD = 64
READ_PAUSE = 1.0  # seconds between two reads
# Watchers that don't answer within this are silent, or of an older build.
ANSWER_SILENCE = 1.0  # seconds
WIDE_TARGETS = 3  # instances that are asked in one round
NUMBER_BITS = 62


class Target(NamedTuple):
    """Where a question goes; ``instance`` is empty where only a host is known.

    ``watches`` if that instance says that it watches the store.
    """

    host: str
    instance: str = ''
    watches: bool = False


class Question(NamedTuple):
    """A question that was sent to ``target`` at ``asked_at``, in s."""

    number: int
    asked_at: float
    target: Target


class Situation(NamedTuple):
    """What the next step depends on.

    ``age`` is that of the confirmation in s, ``watches`` if this instance
    watches the store and reaches it. ``peers`` are alive, ``hosts`` are where
    instances were heard of, for when nobody is.
    """

    age: float
    watches: bool
    peers: Sequence[Peer]
    hosts: Sequence[str] = ()


class ConfirmationAsks:
    """Plans the questions of one instance, and keeps those without answer.

    In calm times only instances that don't watch the store ask, each a watcher
    of its zone. What one learns reaches all by their questions, so where no
    watcher answers few have to read the store.
    """

    def __init__(
        self, zone: str, revocation_time: float, rng: random.Random
    ) -> None:
        """Ask nothing yet; ``revocation_time`` is in s."""
        self._zone = zone
        self._limit = revocation_time
        self._rng = rng
        # No answer to a former run of this instance has a number that is due.
        self._next_number = rng.getrandbits(NUMBER_BITS)
        self._open: dict[int, Question] = {}
        self._asked_at = NEVER
        self._read_at = NEVER
        self._watcher_answered_at = NEVER
        self._read_share = self._draw()

    def plan(self, now: float, situation: Situation) -> list[Question]:
        """Return the questions to send now."""
        self._forget(now)
        is_old = situation.age >= self._limit * OLD_SHARE
        is_urgent = is_old or self._is_silent(now)
        share = URGENT_ASK_SHARE if is_urgent else ASK_SHARE
        if now - self._asked_at < self._limit * share:
            return []
        if situation.watches and not is_old:
            return []
        self._asked_at = now
        targets = self._targets(now, situation, is_old=is_old)
        return [self._ask(target, now) for target in targets]

    def close(self, number: int, now: float) -> Question | None:
        """Return the question that was answered; None for an unknown one."""
        question = self._open.pop(number, None)
        if question is None:
            return None
        is_late = now - question.asked_at >= ANSWER_SILENCE
        if question.target.watches and not is_late:
            self._watcher_answered_at = now
        return question

    def must_read(self, now: float, situation: Situation) -> bool:
        """Return whether to read the store, as the others don't help.

        That is where others say that they reach it, and none of them has
        answered: they are of an older build, or their datagrams are lost.
        """
        is_early = situation.age < self._limit * self._read_share
        if is_early or now - self._read_at < READ_PAUSE:
            return False
        if not self._is_silent(now):
            return False
        if not any(peer.store_reached for peer in situation.peers):
            return False
        self._read_at = now
        self._read_share = self._draw()
        return True

    def _is_silent(self, now: float) -> bool:
        """Return whether no watcher has answered in time lately."""
        return now - self._watcher_answered_at >= ANSWER_SILENCE

    def _targets(
        self, now: float, situation: Situation, *, is_old: bool
    ) -> Iterable[Target]:
        near, far, others = self._shuffled_groups(situation)
        if self._is_silent(now):
            # Watchers of older builds answer nothing: anybody may know more.
            rest = self._shuffle((*near[1:], *far, *others))
            return (*near[:1], *rest)[:WIDE_TARGETS]
        if not is_old:
            return (*near, *far, *others)[:1]
        # One of each group, then whoever is left.
        groups = (near, far, others)
        chosen = [group.pop() for group in groups if group]
        rest = [target for group in groups for target in group]
        return (*chosen, *rest)[:WIDE_TARGETS]

    def _shuffled_groups(self, situation: Situation) -> Iterator[list[Target]]:
        """Yield the watchers of the zone, other watchers, and all others."""
        watchers = [peer for peer in situation.peers if peer.store_reached]
        near = [peer for peer in watchers if peer.zone == self._zone]
        far = [peer for peer in watchers if peer.zone != self._zone]
        others = [peer for peer in situation.peers if not peer.store_reached]
        yield self._shuffle(map(_peer_target, near))
        yield self._shuffle(map(_peer_target, far))
        if situation.peers:
            yield self._shuffle(map(_peer_target, others))
        else:
            yield self._shuffle(map(Target, situation.hosts))

    def _shuffle(self, targets: Iterable[Target]) -> list[Target]:
        shuffled = list(targets)
        self._rng.shuffle(shuffled)
        return shuffled

    def _ask(self, target: Target, now: float) -> Question:
        question = Question(self._next_number, now, target)
        self._next_number += 1
        self._open[question.number] = question
        return question

    def _forget(self, now: float) -> None:
        """Forget the questions whose answers would confirm nothing any more."""
        self._open = {
            number: question
            for number, question in self._open.items()
            if now - question.asked_at < self._limit
        }

    def _draw(self) -> float:
        """Draw the share of the limit at whose age the store is read."""
        lot = 1 + math.log(1 - self._rng.random()) / math.log(READ_SPREAD)
        span = LAST_READ_SHARE - FIRST_READ_SHARE
        return FIRST_READ_SHARE + span * max(0, lot)


def _peer_target(peer: Peer) -> Target:
    return Target(peer.host, peer.instance, peer.store_reached)
