"""Reads of batch jobs that were refused, or whose callers left."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence

from gentiantrestle import job_events
from gentiantrestle.margins.records import Record
from gentiantrestle.margins.registry import Bounds, Margin, meter

RESULTS = 'results'
# Callers read again sooner. An answer by an instance that has refused no read
# of the job leaves no line.
READ_AGAIN_WITHIN = 3.0  # seconds


@meter
def measure_reads(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Count refused reads of jobs, and measure for how long one was unread.

    A stretch is over with the next answer that is logged, or with its last
    refusal.
    """
    unanswered = [
        rec for rec in records if rec.is_a(job_events.JOB_CALL_UNANSWERED)
    ]
    reads = [rec for rec in unanswered if rec.field('operation') == RESULTS]
    counted = Counter(rec.field('job') for rec in reads)
    nearest = counted.most_common(1)
    yield Margin(
        'reads of jobs that were refused',
        len(reads),
        None,
        nearest[0][0] if nearest else '',
        {
            'by_job': dict(counted.most_common()),
            'steps': Counter(rec.field('step') for rec in unanswered),
            'operations': Counter(rec.field('operation') for rec in unanswered),
            'instances': Counter(rec.instance for rec in reads),
        },
    )
    unread = {
        job: max(_stretches(own)) for job, own in _by_job(records).items()
    }
    longest = max(unread, key=lambda job: unread[job], default='')
    yield Margin(
        'longest time in which a job could not be read',
        unread.get(longest, 0),
        None,
        longest,
        {'seconds': unread},
    )


def _by_job(records: Iterable[Record]) -> dict[str, list[Record]]:
    """Return the records of each job, from its first refused read on."""
    found: dict[str, list[Record]] = defaultdict(list)
    for rec in records:
        job = rec.field('job')
        is_refused = (
            rec.is_a(job_events.JOB_CALL_UNANSWERED)
            and rec.field('operation') == RESULTS
        )
        is_answered = rec.is_a(job_events.JOB_READ_AGAIN) and job in found
        if is_refused or is_answered:
            found[job].append(rec)
    return found


def _stretches(records: Sequence[Record]) -> Iterator[float]:
    first = records[0].at
    last = first
    is_open = True
    for rec in records:
        is_answered = rec.is_a(job_events.JOB_READ_AGAIN)
        if not is_open or rec.at - last > READ_AGAIN_WITHIN:
            first = rec.at
        last = rec.at
        is_open = not is_answered
        yield round(last - first, 3)
