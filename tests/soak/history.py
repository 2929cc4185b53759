"""What callers and upstreams observed in a play, and checks of it.

Times are Unix times of the machine in seconds. Each check yields a line for
each breach. No check asks the entries for their own view.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from itertools import product
from typing import Any

from tests.gateway.wire_samples import expected_output
from tests.soak.records import (
    VERSION_MARK,
    CallerRequest,
    Cancellation,
    Drain,
    Page,
    Probe,
    Row,
    Serving,
    Silence,
)

Check = Callable[['History'], Iterator[str]]
CHECKS: list[Check] = []
REFUSALS = frozenset((408, 421, 429, 503))
OK = 200
COMPLETED = 'completed'
ACCEPTED = 202
# Kinds of request whose route allows one run at most.
AT_MOST_ONCE_KINDS = frozenset(('once', 'pay'))
ONLINE_KINDS = AT_MOST_ONCE_KINDS | {'chat', 'get'}
MAX_FAILURES = 3  # responses of 500 after which an item may be dead-lettered
CANCEL_TIME = 3.0  # seconds until a cancellation must take effect
# Seconds until a configuration must be in force on every entry, and until a
# draining upstream must get no new work.
APPLY_TIME = 2.5
# The prompt part on which upstreams end, within this many s.
CRASHING = 'c0ffee00'
CRASH_TIME = 0.2


class History:
    """Everything observed in one play."""

    def __init__(self) -> None:
        """Start empty."""
        self.requests: list[CallerRequest] = []
        self.pages: list[Page] = []
        self.cancellations: list[Cancellation] = []
        # Jobs with a cancellation sent, acknowledged or not.
        self.cancel_requests: set[str] = set()
        self.probes: list[Probe] = []
        # When the store acknowledged each version.
        self.acked_at: dict[int, float] = {}
        self.drains: list[Drain] = []
        self.entries = 0
        self.serving: list[Serving] = []
        # When entries lost their path to the upstreams, until the end.
        self.cut_off: dict[int, float] = {}
        self.silences: list[Silence] = []
        # When each entry was started, frozen or resumed.
        self.disturbed: dict[int, list[float]] = defaultdict(list)
        # Entry and exit status of each process that has ended.
        self.ends: list[tuple[int, int]] = []
        # Start time and name of each fault, to trace a breach to its cause.
        self.faults: list[tuple[float, str]] = []
        self.items: dict[str, tuple[str, ...]] = {}
        self.event_counts: dict[str, int] = {}
        self.poison_items: set[str] = set()
        # By request with a key that isn't valid: when the key was gone.
        self.revoked_at: dict[str, float] = {}
        # Runs that upstreams started, with the upstream's id.
        self.runs: list[dict[str, Any]] = []
        # Start of the calm phase, in which all operations are planned ones.
        self.calm_from = float('inf')
        # When callers have sent their last requests.
        self.loaded_until = float('inf')

    def end_drain(self, upstream: str) -> None:
        """Record that a draining upstream is about to accept work again."""
        now = time.time()
        self.drains = [
            drain._replace(until=min(drain.until, now))
            if drain.upstream == upstream
            else drain
            for drain in self.drains
        ]

    def end_serving(self, upstream: str) -> None:
        """Record that an upstream begins to leave, or has ended."""
        now = time.time()
        self.serving = [
            serving._replace(until=min(serving.until, now))
            if serving.upstream == upstream
            else serving
            for serving in self.serving
        ]

    def breaches(self) -> list[str]:
        """Run all checks; return a line for each breach."""
        return [line for check in CHECKS for line in check(self)]

    def runs_by_id(self) -> dict[str, list[dict[str, Any]]]:
        """Group the runs by the id of their request or item."""
        found = defaultdict(list)
        for run in self.runs:
            found[run['id']].append(run)
        return found

    def expected_text(self, item: str) -> str:
        """Return the complete output of an item."""
        return expected_output(item, self.event_counts[item])

    def find_mismatch(self, job: str, row: Row) -> str:
        """Describe what is wrong with a result; empty if it is correct."""
        item, state, text = row
        if item not in self.items[job]:
            return f'is not of {job}'
        if state != COMPLETED:
            return (
                ''
                if self.may_be_dead_lettered(job, item)
                else 'was dead-lettered'
            )
        plain = VERSION_MARK.sub('', text)
        return (
            '' if plain == self.expected_text(item) else f'has {text[-60:]!r}'
        )

    def may_be_dead_lettered(self, job: str, item: str) -> bool:
        """Tell whether an item may be listed without its output."""
        if item in self.poison_items or job in self.cancel_requests:
            return True
        runs = [run for run in self.runs if run['id'] == item]
        return sum(run['failed'] for run in runs) >= MAX_FAILURES

    def has_crashed(self, req: CallerRequest) -> bool:
        """Tell whether an upstream that ran a request ended meanwhile."""
        return any(
            crash['upstream'] == run['upstream']
            and run['at'] - CRASH_TIME < crash['at'] < req.ended
            for run in self.runs
            if run['id'] == req.id
            for crash in self.runs
            if is_crash(crash)
        )

    def accepted(self) -> set[str]:
        """Return the jobs whose submission was acknowledged to a caller."""
        return {
            req.id
            for req in self.requests
            if req.kind == 'job' and req.status == ACCEPTED
        }


def is_crash(run: dict[str, Any]) -> bool:
    """Return whether a run is one of a request that crashes upstreams."""
    return CRASHING in run.get('prompt', '') or '"crash"' in run.get('body', '')


def _check(check: Check) -> Check:
    """Register a check."""
    CHECKS.append(check)
    return check


@_check
def non_idempotent_runs_at_most_once(history: History) -> Iterator[str]:
    """Check that requests that are not idempotent ran once at most."""
    counts = Counter(run['id'] for run in history.runs)
    for req in history.requests:
        if req.kind in AT_MOST_ONCE_KINDS and counts[req.id] > 1:
            yield f'TWICE: {req.kind} {req.id} ran {counts[req.id]} times'


@_check
def refused_does_not_run(history: History) -> Iterator[str]:
    """Check that a refused request that is not idempotent did not run."""
    runs_by_id = history.runs_by_id()
    for req in history.requests:
        if (
            req.kind in AT_MOST_ONCE_KINDS
            and req.status in REFUSALS
            and req.id in runs_by_id
        ):
            yield f'REFUSED: {req.id} got {req.status} and ran'


@_check
def only_sent_ids_run(history: History) -> Iterator[str]:
    """Check that upstreams ran only what callers sent."""
    known = {req.id for req in history.requests}
    known |= {item for listed in history.items.values() for item in listed}
    for run in history.runs:
        if run['id'] not in known:
            yield f'UNASKED: {run["id"]} ran'


@_check
def responses_match_requests(history: History) -> Iterator[str]:
    """Check that a success has the expected body, or a prefix if cut."""
    for req in history.requests:
        if req.status != OK or req.kind not in ONLINE_KINDS:
            continue
        if not req.is_body_correct():
            yield f'MIXED: {req.kind} {req.id} got {req.body[-60:]!r}'


def iter_rows(history: History) -> Iterator[tuple[str, int, Row]]:
    """Yield the job, position and row of every result that was read."""
    for page in history.pages:
        for position, row in enumerate(page.rows, page.after):
            yield page.job, position, row


@_check
def result_positions_do_not_change(history: History) -> Iterator[str]:
    """Check that positions keep their row and no item is listed twice."""
    rows_by_position: dict[tuple[str, int], Row] = {}
    for job, position, row in iter_rows(history):
        known = rows_by_position.setdefault((job, position), row)
        if known != row:
            yield f'TWICE: {job} at {position}: {known} and {row}'
    counts = Counter(
        (job, row[0]) for (job, _), row in rows_by_position.items()
    )
    for (job, item), count in counts.items():
        if count > 1:
            yield f'TWICE: {item} is listed {count} times in {job}'


@_check
def job_totals_match(history: History) -> Iterator[str]:
    """Check that a job has as many items as were submitted."""
    for page in history.pages:
        if page.total != len(history.items[page.job]):
            yield f'MIXED: {page.job} has {page.total} items'


@_check
def results_match_items(history: History) -> Iterator[str]:
    """Check that items have the expected output or may be dead-lettered."""
    for job, _, row in iter_rows(history):
        mismatch = history.find_mismatch(job, row)
        if mismatch:
            yield f'MIXED: {row[0]} {mismatch}'


@_check
def accepted_jobs_complete(history: History) -> Iterator[str]:
    """Check that every item of accepted jobs was read, unless cancelled."""
    listed = {row[0] for _, _, row in iter_rows(history)}
    for job in sorted(history.accepted() - history.cancel_requests):
        missing = set(history.items[job]) - listed
        if missing:
            yield f'LOST: {job} lacks {sorted(missing)}'


@_check
def cancelled_items_do_not_start(history: History) -> Iterator[str]:
    """Check that a cancelled job starts no item after ``CANCEL_TIME``."""
    runs_by_id = history.runs_by_id()
    for cancellation in history.cancellations:
        for item in history.items[cancellation.job]:
            delays = [run['at'] - cancellation.at for run in runs_by_id[item]]
            if delays and max(delays) > CANCEL_TIME:
                yield f'UNASKED: {item} ran {max(delays):.1f} s after cancel'


@_check
def draining_upstreams_get_no_work(history: History) -> Iterator[str]:
    """Check in the calm phase that a draining upstream gets no new work."""
    for drain, run in product(history.drains, history.runs):
        due = drain.at + APPLY_TIME
        same_upstream = drain.upstream == run['upstream']
        if (
            drain.at > history.calm_from
            and same_upstream
            and due < run['at'] < drain.until
        ):
            yield f'DRAIN: {run["id"]} at {run["at"] - drain.at:.1f} s'


@_check
def planned_operations_cut_no_response(history: History) -> Iterator[str]:
    """Check in the calm phase that requests that ran were not cut."""
    runs_by_id = history.runs_by_id()
    for req in history.requests:
        calm = req.sent > history.calm_from
        if req.left or history.has_crashed(req):
            continue
        if calm and not req.complete and req.id in runs_by_id:
            yield f'LOST: {req.kind} {req.id} at entry {req.entry} was cut'


@_check
def config_versions_do_not_go_back(history: History) -> Iterator[str]:
    """Check that a run of an entry never loses a version that it served."""
    known: dict[tuple[int, int], list[Probe]] = defaultdict(list)
    for probe in sorted(history.probes, key=lambda candidate: candidate.ended):
        seen_versions = [
            earlier.version
            for earlier in known[(probe.entry, probe.run)]
            if earlier.ended < probe.sent
        ]
        if not probe.found and probe.version <= max(seen_versions, default=0):
            yield f'CONFIG: {probe} after {max(seen_versions)}'
        if probe.found:
            known[(probe.entry, probe.run)].append(probe)


@_check
def config_versions_are_applied_in_time(history: History) -> Iterator[str]:
    """Check in the calm phase that entries apply versions in time."""
    for probe in history.probes:
        acked = history.acked_at.get(probe.version, float('inf'))
        due = max(acked, history.calm_from) + APPLY_TIME
        if probe.sent > due and not probe.found:
            yield f'CONFIG: {probe} is unknown after {probe.sent - acked:.1f} s'
