"""Requests that were placed and ended without a whole answer."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.margins.records import Record, Run, split_runs
from gentiantrestle.margins.registry import Bounds, Margin, meter

UNANSWERED = frozenset(('failed', 'left', 'lost'))
BY_CALLER_OR_CRASH = frozenset(('left', 'run ended'))
WHOLE = frozenset(('done', 'whole'))
ENDINGS = {
    events.ATTEMPT_ENDED.code: 'outcome',
    events.ITEM_RUN_ENDED.code: 'reason',
}
SOUND_WITHIN = 1.0  # seconds before and after in which an upstream answered


class Loss(NamedTuple):
    """A placed request without a whole answer; ``cause`` is its outcome."""

    at: float
    instance: str
    upstream: str
    cause: str


@meter
def measure_answers(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Count requests that ended without an answer at sound upstreams.

    Callers that left, and requests in runs that ended without a planned
    stop, are details.
    """
    answered = _answer_times(records)
    losses = [loss for run in split_runs(records) for loss in find_losses(run)]
    sound = [loss for loss in losses if _is_sound(loss, answered)]
    counted = Counter(
        loss.instance for loss in sound if loss.cause not in BY_CALLER_OR_CRASH
    )
    yield Margin(
        'answers of sound upstreams are passed on',
        counted.total(),
        bounds.cut_answers,
        _most_frequent(counted),
        {
            'causes': Counter(loss.cause for loss in losses),
            'causes_sound': Counter(loss.cause for loss in sound),
            'instances': counted,
        },
    )


def find_losses(run: Run) -> Iterator[Loss]:
    """Return the placed requests of a run that got no whole answer."""
    placed: dict[str, str] = {}
    for rec in run.records:
        if rec.is_a(events.REQUEST_PLACED):
            placed[rec.field('request')] = rec.field('upstream')
        elif rec.is_a(events.REQUEST_ENDED, events.PASSED_REQUEST_ENDED):
            yield from _unanswered(rec, placed.pop(rec.field('request'), ''))
    if run.is_over or run.first(events.STOPPED):
        yield from _left_open(run, placed.values())


def _unanswered(ended: Record, upstream: str) -> Iterator[Loss]:
    outcome = ended.field('outcome')
    if upstream and outcome in UNANSWERED:
        yield Loss(ended.at, ended.instance, upstream, outcome)


def _left_open(run: Run, upstreams: Iterable[str]) -> Iterator[Loss]:
    cause = 'stopped' if run.first(events.STOPPING) else 'run ended'
    last = run.records[-1].at
    for upstream in upstreams:
        yield Loss(last, run.instance, upstream, cause)


def _answer_times(records: Sequence[Record]) -> dict[str, list[float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for rec in records:
        end = rec.field(ENDINGS.get(rec.code, ''))
        if end in WHOLE:
            times[rec.field('upstream')].append(rec.at)
    return times


def _is_sound(loss: Loss, answered: dict[str, list[float]]) -> bool:
    gaps = [at - loss.at for at in answered.get(loss.upstream, ())]
    return any(-SOUND_WITHIN <= gap <= 0 for gap in gaps) and any(
        0 <= gap <= SOUND_WITHIN for gap in gaps
    )


def _most_frequent(counted: Counter[str]) -> str:
    return next((name for name, _ in counted.most_common(1)), '')
