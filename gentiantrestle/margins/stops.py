"""Planned stops, reloads and changes of the configuration."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.event_kinds import Event
from gentiantrestle.margins.answers import BY_CALLER_OR_CRASH, find_losses
from gentiantrestle.margins.records import Record, Run, split_runs
from gentiantrestle.margins.registry import Bounds, Margin, meter

MOST_TIMES_AS_OFTEN = 3


class Stop(NamedTuple):
    """A planned stop; ``took`` is the time to the last line, in seconds."""

    instance: str
    took: float
    cut: int
    unanswered: int
    is_reported: bool


@meter
def measure_stops(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Measure what planned stops cut, and how long they took."""
    stops = list(_find_stops(split_runs(records)))
    cut = Counter({stop.instance: stop.cut + stop.unanswered for stop in stops})
    longest = max(stops, key=lambda stop: stop.took, default=None)
    yield Margin(
        'planned stops cut no request',
        cut.total(),
        0,
        next((name for name, count in cut.most_common(1) if count), ''),
        {
            'stops': len(stops),
            'unreported': sum(not stop.is_reported for stop in stops),
            'cut': sum(stop.cut for stop in stops),
            'unanswered': sum(stop.unanswered for stop in stops),
        },
    )
    yield Margin(
        'planned stops end within their grace time',
        round(longest.took, 3) if longest else None,
        bounds.grace,
        longest.instance if longest else '',
        {},
    )


@meter
def measure_changes(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Compare losses beside reloads and configurations with other times."""
    for name, kind in (
        ('reloads', events.RELOAD_REQUESTED),
        ('configurations', events.CONFIG_APPLIED),
    ):
        during: Counter[bool] = Counter()
        lost: Counter[bool] = Counter()
        for run in split_runs(records):
            starts = _change_times(run, kind)
            during.update(_placed_beside(run, starts, bounds.apply))
            lost.update(
                _is_beside(loss.at, starts, bounds.apply)
                for loss in find_losses(run)
                if loss.cause not in BY_CALLER_OR_CRASH
            )
        yield Margin(
            f'{name} cut no more requests than other times do',
            _ratio(lost, during),
            MOST_TIMES_AS_OFTEN,
            '',
            {
                'lost': [lost[True], lost[False]],
                'placed': [during[True], during[False]],
            },
        )


def _find_stops(runs: Sequence[Run]) -> Iterator[Stop]:
    for run in runs:
        began = run.first(events.STOPPING)
        ended = run.first(events.STOPPED)
        if began is None:
            continue
        yield Stop(
            run.instance,
            run.records[-1].at - began.at,
            int(ended.fields['cut']) if ended else 0,
            sum(loss.cause == 'stopped' for loss in find_losses(run)),
            is_reported=ended is not None,
        )


def _change_times(run: Run, kind: Event) -> list[float]:
    times = [rec.at for rec in run.records if rec.is_a(kind)]
    # The first configuration of a run belongs to its start.
    return times[1:] if kind == events.CONFIG_APPLIED else times


def _placed_beside(
    run: Run, starts: list[float], apply: float
) -> Iterator[bool]:
    for rec in run.records:
        if rec.is_a(events.REQUEST_PLACED):
            yield _is_beside(rec.at, starts, apply)


def _is_beside(at: float, starts: list[float], apply: float) -> bool:
    return any(start <= at <= start + apply + 1 for start in starts)


def _ratio(lost: Counter[bool], placed: Counter[bool]) -> float | None:
    """Return how many times as often requests are lost; none is 0."""
    if not placed[True] or not placed[False] or not lost[True]:
        return 0 if placed[True] else None
    share = lost[True] / placed[True]
    return round(share / (max(lost[False], 1) / placed[False]), 2)
