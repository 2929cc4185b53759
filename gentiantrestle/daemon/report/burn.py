"""Good and bad events over several windows; decisions only, no I/O."""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

BUCKET = 30.0  # seconds
WINDOWS = (300, 3600, 21600)  # seconds
AVAILABILITY = 'availability'
FIRST_TOKEN = 'first_token'
TOKEN_PACE = 'token_pace'
BATCH_DEADLINE = 'batch_deadline'


class Objective(NamedTuple):
    """A share of events that has to be good, and the bound in s, if any."""

    share: float
    bound: float | None = None


OBJECTIVES = {
    AVAILABILITY: Objective(0.999),
    FIRST_TOKEN: Objective(0.95, 1.7),
    TOKEN_PACE: Objective(0.95, 0.055),
    BATCH_DEADLINE: Objective(0.999),
}


class Subject(NamedTuple):
    """What is counted: an objective of an endpoint."""

    endpoint: str
    objective: str


class Row(NamedTuple):
    """Events of one subject within one window, in s."""

    endpoint: str
    objective: str
    window: int
    good: int
    bad: int

    @property
    def burn(self) -> float:
        """Speed at which the budget burns; 1 uses it up just in time."""
        total = self.good + self.bad
        if not total:
            return 0
        allowed = 1 - OBJECTIVES[self.objective].share
        return self.bad / total / allowed


class Bucket:
    """Events that began within one span of time."""

    def __init__(self, index: int) -> None:
        """Start empty."""
        self.index = index
        self.good = 0
        self.bad = 0


class BurnCounter:
    """Counts events of all subjects; old ones are forgotten."""

    def __init__(self) -> None:
        """Start without events."""
        self._buckets: dict[Subject, deque[Bucket]] = defaultdict(deque)

    def record(self, subject: Subject, now: float, *, good: bool) -> None:
        """Count one event."""
        index = int(now // BUCKET)
        buckets = self._buckets[subject]
        if not buckets or buckets[-1].index < index:
            buckets.append(Bucket(index))
        while buckets[0].index <= index - max(WINDOWS) / BUCKET:
            buckets.popleft()
        buckets[-1].good += good
        buckets[-1].bad += not good

    def measure(self, subject: Subject, seconds: float, now: float) -> None:
        """Count a time as good or bad by its objective's bound."""
        bound = OBJECTIVES[subject.objective].bound
        self.record(subject, now, good=bound is None or seconds <= bound)

    def rows(self, now: float) -> Iterator[Row]:
        """Yield the events of each subject within each window."""
        newest = int(now // BUCKET)
        for subject, buckets in sorted(self._buckets.items()):
            for window in WINDOWS:
                oldest = newest - window / BUCKET
                recent = [one for one in buckets if one.index > oldest]
                yield Row(
                    subject.endpoint,
                    subject.objective,
                    window,
                    sum(one.good for one in recent),
                    sum(one.bad for one in recent),
                )


def add_up(rows: Iterable[Row]) -> list[Row]:
    """Add the rows of several instances up, by subject and window."""
    totals: dict[tuple[str, str, int], Row] = {}
    for row in rows:
        key = (row.endpoint, row.objective, row.window)
        known = totals.get(key, row._replace(good=0, bad=0))
        totals[key] = row._replace(
            good=known.good + row.good,
            bad=known.bad + row.bad,
        )
    return [totals[key] for key in sorted(totals)]


class Risk(NamedTuple):
    """A running job, and when it will end if it goes on as it did, in s."""

    job: str
    client: str
    deadline: float
    predicted: float | None
    at_risk: bool


def predict(
    created: float,
    deadline: float,
    share_done: float,
    wall: float,
) -> tuple[float | None, bool]:
    """Predict a job's end from its progress; without any, only the clock."""
    if share_done <= 0:
        return None, wall > (created + deadline) / 2
    predicted = created + (wall - created) / share_done
    return predicted, predicted > deadline
