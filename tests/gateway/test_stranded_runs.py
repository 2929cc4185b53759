"""Whose jobs are run by others, with plain times."""

import pytest

from gentiantrestle.gateway.batch.stranded_runs import (
    LEAVE_AFTER,
    RETURN_AFTER,
    StrandedRuns,
)
from tests.gateway.samples import ENGINES

BOTH = frozenset((ENGINES, 'small'))
ONE = frozenset((ENGINES,))
NONE: frozenset[str] = frozenset()


def _after(
    seconds: float, one: frozenset[str], two: frozenset[str]
) -> frozenset[str]:
    """Return whose jobs are run by others if nothing changes for a while."""
    stranded = StrandedRuns()
    for now in (0, seconds):
        stranded.update({'one': one, 'two': two}, BOTH, now)
    return stranded.runs


@pytest.mark.parametrize(
    ('one', 'two', 'seconds', 'expected'),
    [
        (NONE, NONE, 99, set()),
        (ONE, NONE, 99, set()),
        (BOTH, NONE, LEAVE_AFTER - 0.1, set()),
        (BOTH, NONE, LEAVE_AFTER, {'one'}),
        (BOTH, ONE, LEAVE_AFTER, {'one'}),
        (BOTH, BOTH, 99, set()),
    ],
)
def test_jobs_change_hands(
    one: frozenset[str],
    two: frozenset[str],
    seconds: float,
    expected: set[str],
) -> None:
    assert _after(seconds, one, two) == expected


def test_jobs_return_after_a_while_of_contact() -> None:
    stranded = StrandedRuns()
    rows = {'one': BOTH, 'two': NONE}
    stranded.update(rows, BOTH, 0)
    assert stranded.update(rows, BOTH, LEAVE_AFTER)
    back = LEAVE_AFTER + 1
    reached = rows | {'one': NONE}
    assert not stranded.update(reached, BOTH, back)
    assert not stranded.update(reached, (), back + RETURN_AFTER - 0.1)
    assert stranded.update(reached, (), back + RETURN_AFTER)
    assert not stranded.runs


def test_cut_of_one_second_moves_no_job() -> None:
    stranded = StrandedRuns()
    for now in range(20):
        row = BOTH if now % 2 else NONE
        stranded.update({'one': row, 'two': NONE}, BOTH, now)
        assert not stranded.runs


def test_run_that_is_gone_is_forgotten() -> None:
    stranded = StrandedRuns()
    for now in (0, LEAVE_AFTER):
        stranded.update({'one': BOTH, 'two': NONE}, BOTH, now)
    assert stranded.update({'two': NONE}, BOTH, LEAVE_AFTER)
    assert not stranded.runs


def test_without_services_no_job_moves() -> None:
    stranded = StrandedRuns()
    for now in (0, LEAVE_AFTER):
        stranded.update({'one': BOTH, 'two': NONE}, (), now)
    assert not stranded.runs


def test_no_job_moves_as_all_are_cut_off_and_return_one_by_one() -> None:
    stranded = StrandedRuns()
    rows = {'one': NONE, 'two': NONE, 'three': NONE}
    for step in range(100):
        now = step / 4
        for number, run in enumerate(rows):
            is_cut = 4 + number / 2 <= now < 12 + number / 2
            rows[run] = BOTH if is_cut else NONE
        stranded.update(rows, BOTH, now)
        assert not stranded.runs
