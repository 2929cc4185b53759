"""Registry of meters, filled by a decorator."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple, TypeAlias

from gentiantrestle.margins.records import Record


class Bounds(NamedTuple):
    """What the operator has promised; times in seconds.

    settle: from a job's acceptance until every instance knows it.
    grace: longest time of a planned stop.
    apply: from a changed configuration or reload until it is in force.
    cut_answers: answers lost at sound upstreams, per log.
    repeated_refusals: refusals of one job that had been accepted.
    idle: time in which an open job with items makes no progress.
    """

    settle: float = 1.0
    grace: float = 30.0
    apply: float = 2.5
    cut_answers: int = 3
    repeated_refusals: int = 2
    idle: float = 5.0


class Margin(NamedTuple):
    """One figure, its bound, and what came nearest.

    The bound is the last figure that keeps the promise: the largest, or
    the smallest where ``is_least``. Figures without a bound have ``None``.
    """

    promise: str
    figure: float | None
    bound: float | None
    nearest: str
    details: dict[str, Any]
    is_least: bool = False

    @property
    def is_kept(self) -> bool:
        """Whether the figure is within its bound."""
        if self.figure is None or self.bound is None:
            return True
        if self.is_least:
            return self.figure >= self.bound
        return self.figure <= self.bound


Meter: TypeAlias = Callable[[Sequence[Record], Bounds], Iterator[Margin]]
METERS: list[Meter] = []


def meter(function: Meter) -> Meter:
    """Register a function that measures promises."""
    METERS.append(function)
    return function


def measure(records: Iterable[Record], bounds: Bounds) -> Iterator[Margin]:
    """Return the figures of all meters, over events in any order."""
    ordered = sorted(records, key=lambda rec: rec.at)
    for entry in METERS:
        yield from entry(ordered, bounds)
