"""Checks of plays whose upstreams change version, leave or fall silent."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from tests.soak.history import (
    APPLY_TIME,
    OK,
    ONLINE_KINDS,
    Check,
    History,
    iter_rows,
)
from tests.soak.records import VERSION_MARK, CallerRequest, Serving

MAX_JOINED = 2  # texts that may hold events of two versions
MIN_TAKE_UPS = 12  # fewer show nothing about their share
MIN_UPSTREAMS = 2  # of the version of a stream that has to go on
MIN_SHARE = 0.5  # of the share of new streams that begin
# Seconds after an answer that said that an upstream is leaving.
DRAIN_TIME = 2.5
UNKNOWN_OUTCOME = frozenset((502, 504))
# Seconds after a silence in which requests may still suffer from it.
AFTERMATH = 0.5
# Exit statuses, and signals of the play, with which an entry may end.
EXPECTED_ENDS = frozenset((0, 7, -1, -9, -15))
FOLLOW_TIME = 4.0  # seconds until a new upstream must have got work
MIN_LOAD = 20  # runs in that time that show that there was work
# First tries at entries without a path, against those at the others.
MIN_CUT_OFF_SHARE = 2 / 3
MIN_TRIES = 12  # fewer show nothing about their share
# Id and process of an upstream.
Run = tuple[str, int]
UPSTREAM_CHECKS: list[Check] = []


def _check(check: Check) -> Check:
    """Register a check."""
    UPSTREAM_CHECKS.append(check)
    return check


@_check
def streams_hold_events_of_one_version(history: History) -> Iterator[str]:
    """Check the events of each stream over all tries of its caller."""
    versions: dict[str, set[str]] = defaultdict(set)
    for req in history.requests:
        if req.events:
            versions[req.first or req.id] |= req.versions
    yield from _find_joined('streams', versions)


@_check
def texts_hold_events_of_one_version(history: History) -> Iterator[str]:
    """Check the output of each item."""
    versions = {
        row[0]: set(VERSION_MARK.findall(row[2]))
        for _, _, row in iter_rows(history)
    }
    yield from _find_joined('texts', versions)


def _find_joined(kind: str, versions: dict[str, set[str]]) -> Iterator[str]:
    joined = sorted(name for name, found in versions.items() if len(found) > 1)
    if len(joined) > MAX_JOINED:
        yield f'ORDER: {len(joined)} {kind} of two versions: {joined[:9]}'


@_check
def streams_go_on_while_their_version_serves(
    history: History,
) -> Iterator[str]:
    """Check in the calm phase that take-ups go on as new streams begin."""
    streams = [
        req
        for req in history.requests
        if req.kind == 'chat' and req.reached and req.sent > history.calm_from
    ]
    taken_up = [
        req for req in streams if req.first and _may_go_on(history, req)
    ]
    share = _served_share(taken_up)
    begun = _served_share(req for req in streams if not req.first)
    if len(taken_up) >= MIN_TAKE_UPS and share < MIN_SHARE * begun:
        yield (
            f'LOST: of {len(taken_up)} streams {share:.2f} went on, '
            f'of new ones {begun:.2f} began'
        )


def _may_go_on(history: History, req: CallerRequest) -> bool:
    """Return whether enough upstreams of a stream's version serve."""
    first = next(found for found in history.requests if found.id == req.first)
    serving = [
        known
        for known in history.serving
        if known.version in first.versions
        and known.at + APPLY_TIME < req.sent
        and req.ended < known.until
    ]
    return len(serving) >= MIN_UPSTREAMS


def _served_share(streams: Iterable[CallerRequest]) -> float:
    served = [req.status == OK and req.last_event > 0 for req in streams]
    return sum(served) / max(1, len(served))


@_check
def silence_makes_no_outcome_unknown(history: History) -> Iterator[str]:
    """Check in the calm phase that silent upstreams are waited for."""
    for req in history.requests:
        if req.status in UNKNOWN_OUTCOME and any(
            silence.at > history.calm_from
            and req.sent < silence.until + AFTERMATH
            and req.ended > silence.at
            for silence in history.silences
        ):
            yield f'LOST: {req.kind} {req.id} got {req.status} in a silence'


@_check
def leaving_upstreams_get_no_late_work(history: History) -> Iterator[str]:
    """Check that entries heed answers that say that an upstream is leaving."""
    told = _told_at(history)
    leaving = {upstream for _, upstream in told}
    by_id = {req.id: req for req in history.requests}
    for run in history.runs:
        upstream = (run['upstream'], run['pid'])
        if upstream in leaving and _is_late(
            history, run, by_id.get(run['id']), told
        ):
            yield f'DRAIN: {run["id"]} reached {upstream}, which was leaving'


def _is_late(
    history: History,
    run: dict[str, Any],
    req: CallerRequest | None,
    told: dict[tuple[int, Run], list[float]],
) -> bool:
    """Return whether work was sent to a leaving upstream too late."""
    sent = req.sent if req else run['at']
    if _serves_on(history, run['upstream'], sent):
        return False
    upstream = (run['upstream'], run['pid'])
    # Which entry sends an item isn't known.
    entries = (req.entry,) if req else range(history.entries)
    return all(
        _has_known(history, entry, told[(entry, upstream)], sent)
        for entry in entries
    )


def _told_at(history: History) -> dict[tuple[int, Run], list[float]]:
    """Return when entries had passed on answers of leaving upstreams."""
    told: dict[tuple[int, Run], list[float]] = defaultdict(list)
    runs_by_id = history.runs_by_id()
    for req in history.requests:
        runs = runs_by_id.get(req.id, ())
        if req.leaving and len(runs) == 1:
            upstream = (runs[0]['upstream'], runs[0]['pid'])
            told[(req.entry, upstream)].append(req.ended)
    return told


def _serves_on(history: History, upstream: str, at: float) -> bool:
    """Return whether a leaving upstream is the last one of its version.

    What that has begun goes on there until ``DRAIN_TIME`` after the store has
    acknowledged that it is leaving, which is what the rule counts from.
    """
    is_told = any(
        drain.upstream == upstream and drain.at <= at <= drain.at + DRAIN_TIME
        for drain in history.drains
    )
    known = [found for found in history.serving if found.at <= at]
    versions = [found.version for found in known if found.upstream == upstream]
    return is_told and not any(
        found.version == versions[-1] and at < found.until for found in known
    )


def _has_known(
    history: History, entry: int, told: list[float], sent: float
) -> bool:
    """Return whether an entry had to know of it, undisturbed since."""
    disturbed = max(
        (at for at in history.disturbed[entry] if at < sent), default=0
    )
    return any(disturbed < at < sent - DRAIN_TIME for at in told)


@_check
def entries_do_not_end_by_themselves(history: History) -> Iterator[str]:
    """Check that entries end only when the play ends them."""
    for entry, status in history.ends:
        if status not in EXPECTED_ENDS:
            yield f'ENDED: entry {entry} with status {status}'


@_check
def new_upstreams_get_work(history: History) -> Iterator[str]:
    """Check in the calm phase that entries follow the list of upstreams."""
    for serving in history.serving:
        end = serving.at + FOLLOW_TIME
        judged_until = min(serving.until, history.loaded_until)
        if serving.at < history.calm_from or judged_until < end:
            continue
        runs = [run for run in history.runs if serving.at < run['at'] < end]
        if len(runs) > MIN_LOAD and not _has_run(serving, runs):
            yield f'LIST: {serving.upstream} got no work in {FOLLOW_TIME} s'


def _has_run(serving: Serving, runs: list[dict]) -> bool:
    return any(run['upstream'] == serving.upstream for run in runs)


@_check
def entries_without_a_path_serve(history: History) -> Iterator[str]:
    """Check in the calm phase that callers are served at entries cut off."""
    tries = [
        req
        for req in history.requests
        if req.sent > history.calm_from
        and _is_first_try(req)
        and not _is_settling(history, req)
        and not all_drain(history, req.sent)
    ]
    here = [req.status == OK for req in tries if req.entry in history.cut_off]
    others = [
        req.status == OK for req in tries if req.entry not in history.cut_off
    ]
    if min(len(here), len(others)) < MIN_TRIES:
        return
    shares = [sum(served) / len(served) for served in (here, others)]
    if shares[0] < MIN_CUT_OFF_SHARE * shares[1]:
        yield (
            f'RECOVER: without a path {shares[0]:.2f} of {len(here)} served, '
            f'elsewhere {shares[1]:.2f} of {len(others)}'
        )


def _is_first_try(req: CallerRequest) -> bool:
    """Return whether a caller sent it for the first time, and waited."""
    begun = req.kind in ONLINE_KINDS and not req.first
    return begun and req.reached and not req.left


def _is_settling(history: History, req: CallerRequest) -> bool:
    """Return whether an entry was cut off or disturbed shortly before."""
    changes = list(history.disturbed[req.entry])
    if req.entry in history.cut_off:
        changes.append(history.cut_off[req.entry])
    return any(at < req.sent < at + FOLLOW_TIME for at in changes)


def all_drain(history: History, at: float) -> bool:
    """Return whether no upstream may be used at a time."""
    draining = {
        drain.upstream
        for drain in history.drains
        if drain.at <= at <= drain.until + APPLY_TIME
    }
    return draining >= {run['upstream'] for run in history.runs}
