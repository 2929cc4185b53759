"""What callers and upstreams saw, and the promises that it must keep.

Times are of the clock of the machine, in s. Each check yields a line for each
breach; nothing here asks the entries what they believe.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from itertools import product
from typing import Any, NamedTuple

from tests.gateway.wire_samples import expected_output, expected_stream

Check = Callable[['History'], Iterator[str]]
# An item, its state and its text.
Row = tuple[str, str, str]
CHECKS: list[Check] = []
REFUSALS = frozenset((408, 421, 429, 503))
OK = 200
COMPLETED = 'completed'
ACCEPTED = 202
# Kinds of request that may run once at most, by their route.
ONCE = frozenset(('once', 'pay'))
ONLINE = ONCE | {'chat', 'get'}
FAILURES = 3  # answers of 500 after which an item may be given up
CANCEL_TIME = 3.0  # seconds until an end binds
# Seconds until a change is in force, and until a leaving upstream is left.
APPLY_TIME = 2.5


class Asked(NamedTuple):
    """One attempt of a caller; ``status`` is 0 where no answer came."""

    id: str
    kind: str
    entry: int
    sent: float
    ended: float
    status: int
    complete: bool
    body: bytes
    events: int = 0

    def fits(self) -> bool:
        """Tell whether the body is the request's own, as far as it came."""
        wanted = (
            expected_stream(self.id, self.events) if self.events else b'plain'
        )
        if self.complete:
            return self.body == wanted
        return wanted.startswith(self.body)


class Page(NamedTuple):
    """Results of a job that a caller read, from a position on."""

    job: str
    after: int
    total: int
    rows: tuple[Row, ...]
    at: float


class Ended(NamedTuple):
    """A job's end, acknowledged."""

    job: str
    at: float


class Probe(NamedTuple):
    """Whether a run of an entry knew a version's own route."""

    entry: int
    run: int
    version: int
    sent: float
    ended: float
    found: bool


class Drained(NamedTuple):
    """An upstream that reports to be leaving, acknowledged by the store."""

    upstream: str
    at: float
    until: float = float('inf')


class History:
    """All that was seen in one play."""

    def __init__(self) -> None:
        """Start empty."""
        self.asked: list[Asked] = []
        self.pages: list[Page] = []
        self.ended: list[Ended] = []
        # Jobs whose end was asked for, acknowledged or not.
        self.unsure_ends: set[str] = set()
        self.probes: list[Probe] = []
        # When the store acknowledged each version.
        self.acked: dict[int, float] = {}
        self.drained: list[Drained] = []
        # When each fault began, for those who trace a breach.
        self.happened: list[tuple[float, str]] = []
        self.items: dict[str, tuple[str, ...]] = {}
        self.lengths: dict[str, int] = {}
        self.poison: set[str] = set()
        # Runs that upstreams began, with the upstream's name.
        self.runs: list[dict[str, Any]] = []
        # From here on only planned work happens.
        self.calm_from = float('inf')

    def returned(self, upstream: str) -> None:
        """Note that a leaving upstream is about to take work again."""
        now = time.time()
        self.drained = [
            one._replace(until=min(one.until, now))
            if one.upstream == upstream
            else one
            for one in self.drained
        ]

    def breaches(self) -> list[str]:
        """Check everything."""
        return [line for check in CHECKS for line in check(self)]

    def starts(self) -> dict[str, list[dict[str, Any]]]:
        """Group the runs by the id that they were asked with."""
        found = defaultdict(list)
        for run in self.runs:
            found[run['id']].append(run)
        return found

    def text(self, item: str) -> str:
        """Return the whole text of an item."""
        return expected_output(item, self.lengths[item])

    def fault_of(self, job: str, row: Row) -> str:
        """Say what is wrong with a result; nothing where all is well."""
        item, state, text = row
        if item not in self.items[job]:
            return f'is not of {job}'
        if state != COMPLETED:
            return '' if self.may_be_given_up(job, item) else 'was given up'
        return '' if text == self.text(item) else f'has {text[-60:]!r}'

    def may_be_given_up(self, job: str, item: str) -> bool:
        """Tell whether an item may be listed without its text."""
        if item in self.poison or job in self.unsure_ends:
            return True
        runs = [run for run in self.runs if run['id'] == item]
        return sum(run['failed'] for run in runs) >= FAILURES

    def accepted(self) -> set[str]:
        """Return the jobs of which a caller was told that they are kept."""
        return {
            one.id
            for one in self.asked
            if one.kind == 'job' and one.status == ACCEPTED
        }


def _check(check: Check) -> Check:
    """Register a promise."""
    CHECKS.append(check)
    return check


@_check
def runs_once(seen: History) -> Iterator[str]:
    """Check that what isn't idempotent ran once at most."""
    counts = Counter(run['id'] for run in seen.runs)
    for one in seen.asked:
        if one.kind in ONCE and counts[one.id] > 1:
            yield f'TWICE: {one.kind} {one.id} ran {counts[one.id]} times'


@_check
def refusals_are_true(seen: History) -> Iterator[str]:
    """Check that what was refused has not run."""
    starts = seen.starts()
    for one in seen.asked:
        if one.kind in ONCE and one.status in REFUSALS and one.id in starts:
            yield f'REFUSED: {one.id} got {one.status} and ran'


@_check
def nothing_runs_unasked(seen: History) -> Iterator[str]:
    """Check that upstreams ran only what callers sent."""
    known = {one.id for one in seen.asked}
    known |= {item for listed in seen.items.values() for item in listed}
    for run in seen.runs:
        if run['id'] not in known:
            yield f'UNASKED: {run["id"]} ran'


@_check
def answers_are_whole(seen: History) -> Iterator[str]:
    """Check that a success is the request's own whole answer, or was cut."""
    for one in seen.asked:
        if one.status != OK or one.kind not in ONLINE:
            continue
        if not one.fits():
            yield f'MIXED: {one.kind} {one.id} got {one.body[-60:]!r}'


def _rows(seen: History) -> Iterator[tuple[str, int, Row]]:
    """Pass on every result that was read: its job, position and row."""
    for page in seen.pages:
        for number, row in enumerate(page.rows, page.after):
            yield page.job, number, row


@_check
def positions_are_fixed(seen: History) -> Iterator[str]:
    """Check that each position holds one result, and no item stands twice."""
    held: dict[tuple[str, int], Row] = {}
    for job, number, row in _rows(seen):
        known = held.setdefault((job, number), row)
        if known != row:
            yield f'TWICE: {job} at {number}: {known} and {row}'
    counts = Counter((job, row[0]) for (job, _), row in held.items())
    for (job, item), count in counts.items():
        if count > 1:
            yield f'TWICE: {item} stands {count} times in {job}'


@_check
def totals_are_right(seen: History) -> Iterator[str]:
    """Check that a job has as many items as were handed in."""
    for page in seen.pages:
        if page.total != len(seen.items[page.job]):
            yield f'MIXED: {page.job} has {page.total} items'


@_check
def results_are_whole(seen: History) -> Iterator[str]:
    """Check that completed items have their whole text, and others a cause."""
    for job, _, row in _rows(seen):
        fault = seen.fault_of(job, row)
        if fault:
            yield f'MIXED: {row[0]} {fault}'


@_check
def accepted_jobs_end(seen: History) -> Iterator[str]:
    """Check that the last reads list every item of the accepted jobs."""
    listed = {row[0] for _, _, row in _rows(seen)}
    for job in sorted(seen.accepted() - seen.unsure_ends):
        missing = set(seen.items[job]) - listed
        if missing:
            yield f'LOST: {job} lacks {sorted(missing)}'


@_check
def ends_bind(seen: History) -> Iterator[str]:
    """Check that no item of an ended job begins to run later."""
    starts = seen.starts()
    for one in seen.ended:
        for item in seen.items[one.job]:
            late = [run['at'] - one.at for run in starts[item]]
            if late and max(late) > CANCEL_TIME:
                yield f'UNASKED: {item} ran {max(late):.1f} s after its end'


@_check
def leaving_upstreams_are_left(seen: History) -> Iterator[str]:
    """Check in calm times that a leaving upstream gets no new work."""
    for one, run in product(seen.drained, seen.runs):
        due = one.at + APPLY_TIME
        here = one.upstream == run['upstream']
        if one.at > seen.calm_from and here and due < run['at'] < one.until:
            yield f'DRAIN: {run["id"]} at {run["at"] - one.at:.1f} s'


@_check
def planned_stops_cut_nothing(seen: History) -> Iterator[str]:
    """Check in calm times that what ran got its complete answer."""
    starts = seen.starts()
    for one in seen.asked:
        calm = one.sent > seen.calm_from
        if calm and not one.complete and one.id in starts:
            yield f'LOST: {one.kind} {one.id} at entry {one.entry} was cut'


@_check
def configurations_stay(seen: History) -> Iterator[str]:
    """Check that a run of an entry never goes back behind a version."""
    known: dict[tuple[int, int], list[Probe]] = defaultdict(list)
    for one in sorted(seen.probes, key=lambda probe: probe.ended):
        before = [
            probe.version
            for probe in known[(one.entry, one.run)]
            if probe.ended < one.sent
        ]
        if not one.found and one.version <= max(before, default=0):
            yield f'CONFIG: {one} after {max(before)}'
        if one.found:
            known[(one.entry, one.run)].append(one)


@_check
def configurations_come_in_force(seen: History) -> Iterator[str]:
    """Check in calm times that every entry follows within the bound."""
    for one in seen.probes:
        acked = seen.acked.get(one.version, float('inf'))
        due = max(acked, seen.calm_from) + APPLY_TIME
        if one.sent > due and not one.found:
            yield f'CONFIG: {one} is unknown after {one.sent - acked:.1f} s'
