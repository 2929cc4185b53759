"""Error budget burn rates over several windows, without I/O."""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

BUCKET_LENGTH = 30.0  # seconds
WINDOWS = (300, 3600, 21600)  # seconds
AVAILABILITY = 'availability'
FIRST_TOKEN = 'first_token'
TOKEN_PACE = 'token_pace'
BATCH_DEADLINE = 'batch_deadline'


class Objective(NamedTuple):
    """The share of events that must be good.

    In an objective on durations, a duration of up to ``bound`` s is good.
    """

    share: float
    bound: float | None = None


OBJECTIVES = {
    AVAILABILITY: Objective(0.999),
    FIRST_TOKEN: Objective(0.95, 1.7),
    TOKEN_PACE: Objective(0.95, 0.055),
    BATCH_DEADLINE: Objective(0.999),
}


class ObjectiveKey(NamedTuple):
    """An objective of an endpoint, the key that events are counted by."""

    endpoint: str
    objective: str


class Row(NamedTuple):
    """Good and bad events of one objective within ``window`` s."""

    endpoint: str
    objective: str
    window: int
    good: int
    bad: int

    @property
    def burn(self) -> float:
        """Burn rate of the error budget; at 1 it is used up exactly."""
        total = self.good + self.bad
        if not total:
            return 0
        allowed = 1 - OBJECTIVES[self.objective].share
        return self.bad / total / allowed


class Bucket:
    """Events counted within one period of ``BUCKET_LENGTH``."""

    def __init__(self, index: int) -> None:
        """Start empty."""
        self.index = index
        self.good = 0
        self.bad = 0


class BurnCounter:
    """Counts events by objective; those older than all windows are dropped."""

    def __init__(self) -> None:
        """Start without events."""
        self._buckets: dict[ObjectiveKey, deque[Bucket]] = defaultdict(deque)

    def record(self, key: ObjectiveKey, now: float, *, good: bool) -> None:
        """Count one event at time ``now`` in s."""
        index = int(now // BUCKET_LENGTH)
        buckets = self._buckets[key]
        if not buckets or buckets[-1].index < index:
            buckets.append(Bucket(index))
        while buckets[0].index <= index - max(WINDOWS) / BUCKET_LENGTH:
            buckets.popleft()
        buckets[-1].good += good
        buckets[-1].bad += not good

    def record_duration(
        self, key: ObjectiveKey, seconds: float, now: float
    ) -> None:
        """Count a duration as good if it is within its objective's bound."""
        bound = OBJECTIVES[key.objective].bound
        self.record(key, now, good=bound is None or seconds <= bound)

    def rows(self, now: float) -> Iterator[Row]:
        """Yield the event counts of each objective within each window."""
        newest = int(now // BUCKET_LENGTH)
        for key, buckets in sorted(self._buckets.items()):
            for window in WINDOWS:
                oldest = newest - window / BUCKET_LENGTH
                recent = [bucket for bucket in buckets if bucket.index > oldest]
                yield Row(
                    key.endpoint,
                    key.objective,
                    window,
                    sum(bucket.good for bucket in recent),
                    sum(bucket.bad for bucket in recent),
                )


def sum_rows(rows: Iterable[Row]) -> list[Row]:
    """Sum the rows of several instances by objective and window."""
    totals: dict[tuple[str, str, int], Row] = {}
    for row in rows:
        key = (row.endpoint, row.objective, row.window)
        total = totals.get(key, row._replace(good=0, bad=0))
        totals[key] = row._replace(
            good=total.good + row.good,
            bad=total.bad + row.bad,
        )
    return [totals[key] for key in sorted(totals)]


class Risk(NamedTuple):
    """A running job and its predicted end; times in s since the epoch.

    ``predicted`` is None while the job has made no progress.
    """

    job: str
    client: str
    deadline: float
    predicted: float | None
    at_risk: bool


def predict_end(
    created: float,
    deadline: float,
    share_done: float,
    wall: float,
) -> tuple[float | None, bool]:
    """Return a job's predicted end, and whether its deadline is at risk.

    The job is expected to go on at its mean speed. Without progress there is
    no prediction, and it is at risk after half of its time. Times are in s
    since the epoch.
    """
    if share_done <= 0:
        return None, wall > (created + deadline) / 2
    predicted = created + (wall - created) / share_done
    return predicted, predicted > deadline
