"""Accepted jobs: known everywhere, accepted again, and finished."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.event_kinds import Event
from gentiantrestle.margins.records import Record
from gentiantrestle.margins.registry import Bounds, Margin, meter

PROGRESS = (
    events.JOB_ACCEPTED,
    events.ITEM_PLACED,
    events.ITEM_RUN_ENDED,
    events.JOBS_TAKEN_OVER,
    events.JOB_WAITS,
    events.JOB_WITHOUT_ROOM,
)
NONE_STORED = 'none'


class Case(NamedTuple):
    """An event of a job and the time since the job was accepted."""

    age: float
    job: str
    rec: Record

    @property
    def place(self) -> str:
        """The job and the instance of the event."""
        instance = self.rec.instance
        return f'{self.job} at {instance}'


@meter
def measure_unknown(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Count calls on accepted jobs that were answered as unknown."""
    accepted = _first_times(records, events.JOB_ACCEPTED)
    refusals = [
        rec
        for rec in records
        if rec.is_a(events.JOB_UNFOUND, events.BODY_UNFOUND)
    ]
    ours = [
        case
        for case in _with_age(refusals, accepted)
        if case.rec.fields.get('stored', NONE_STORED) == NONE_STORED
    ]
    late = [case for case in ours if case.age > bounds.settle]
    yield Margin(
        'accepted jobs and their bodies are found',
        len(late),
        0,
        max(late, default=Case(0, '', records[0])).job if records else '',
        {
            'refusals': len(refusals),
            'accepted_before': len(ours),
            'oldest_s': _oldest(ours),
        },
    )


@meter
def measure_owners(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Measure how late owners learned of their jobs by being asked.

    The time counts from the acceptance or, if later, the owner's start.
    """
    accepted = _first_times(records, events.JOB_ACCEPTED)
    learned = [
        case
        for case in _with_age(records, accepted)
        if case.rec.is_a(events.JOB_LEARNED)
    ]
    learned = list(_since_start(learned, records))
    latest = max(learned, default=None, key=lambda case: case.age)
    yield Margin(
        'owners know their jobs',
        _oldest(learned),
        bounds.settle,
        latest.place if latest else '',
        {
            'asked': len(learned),
            'late': sum(case.age > bounds.settle for case in learned),
        },
    )


@meter
def measure_repeats(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Count refusals of a job that had been accepted before."""
    accepted = _first_times(records, events.JOB_ACCEPTED)
    refused = [
        case
        for case in _with_age(records, accepted)
        if case.rec.is_a(events.JOB_REFUSED)
    ]
    by_job = Counter(case.job for case in refused)
    nearest = by_job.most_common(1)
    yield Margin(
        'a job that was accepted is accepted again',
        nearest[0][1] if nearest else 0,
        bounds.repeated_refusals,
        nearest[0][0] if nearest else '',
        {
            'jobs': len(by_job),
            'kinds': Counter(case.rec.field('kind') for case in refused),
        },
    )


@meter
def measure_open(records: Sequence[Record], bounds: Bounds) -> Iterator[Margin]:
    """Measure how long open jobs have made no progress at the end."""
    if not records:
        return
    end = records[-1].at
    accepted = _first_times(records, events.JOB_ACCEPTED)
    finished = _first_times(records, events.JOB_FINISHED)
    active = {rec.field('job'): rec for rec in records if rec.is_a(*PROGRESS)}
    idle = {
        job: round(end - active[job].at, 3)
        for job in accepted
        if job not in finished
    }
    nearest = max(idle, key=lambda job: idle[job], default='')
    yield Margin(
        'open jobs make progress',
        idle.get(nearest, 0),
        bounds.idle,
        nearest,
        {
            'open': len(idle),
            'accepted': len(accepted),
            'runs_ended_lately': sum(
                rec.is_a(events.ITEM_RUN_ENDED) and rec.at > end - bounds.idle
                for rec in records
            ),
            'idle_since': {
                job: _describe(active[job])
                for job, seconds in idle.items()
                if seconds > bounds.idle
            },
        },
    )
    yield _first_placement(records, accepted, finished)


def _first_placement(
    records: Sequence[Record],
    accepted: dict[str, float],
    finished: dict[str, float],
) -> Margin:
    end = records[-1].at
    placed = _first_times(records, events.ITEM_PLACED)
    waited = {
        job: round(placed.get(job, finished.get(job, end)) - at, 3)
        for job, at in accepted.items()
    }
    nearest = max(waited, key=lambda job: waited[job], default='')
    return Margin(
        'longest wait of a job for its first slot',
        waited.get(nearest),
        None,
        nearest,
        {'never_placed': len(set(accepted) - set(placed))},
    )


def _describe(rec: Record) -> str:
    instance = rec.instance
    return f'{rec.code} {rec.at:.1f} {instance}'


def _first_times(records: Sequence[Record], kind: Event) -> dict[str, float]:
    times: dict[str, float] = {}
    for rec in records:
        if rec.is_a(kind):
            times.setdefault(rec.field('job'), rec.at)
    return times


def _with_age(
    records: Sequence[Record], accepted: dict[str, float]
) -> Iterator[Case]:
    for rec in records:
        job = rec.field('job')
        if job in accepted and rec.at >= accepted[job]:
            yield Case(rec.at - accepted[job], job, rec)


def _since_start(
    cases: Iterable[Case], records: Sequence[Record]
) -> Iterator[Case]:
    """Limit ages to the time since the last start of the case's instance."""
    starts: dict[str, list[float]] = defaultdict(list)
    for rec in records:
        if rec.is_a(events.STARTED):
            starts[rec.instance].append(rec.at)
    for case in cases:
        at = case.rec.at
        ages = [at - start for start in starts[case.rec.instance]]
        younger = [age for age in ages if 0 <= age < case.age]
        yield case._replace(age=min(younger, default=case.age))


def _oldest(cases: Sequence[Case]) -> float | None:
    return max((round(case.age, 3) for case in cases), default=None)
