"""A trial that no upstream has executed proves nothing."""

import pytest

from gentiantrestle.quarantine.guard import TRIAL_INTERVAL, QuarantinedError
from tests.gateway.test_blame import (
    CLASS,
    EARLY_INTERVAL,
    MANY,
    MIN_CRASHES,
    START,
    ManualClock,
    RequestWatch,
    end_upstreams,
    make_guard,
    refuse_each,
)


def test_early_trial_that_was_not_run_is_made_again() -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, MANY)
    clock = ManualClock()
    clock.time = EARLY_INTERVAL
    watch = RequestWatch(guard, (CLASS,), clock)
    watch.check()
    # The upstream answers that it hasn't executed it; nothing tells the guard.
    assert guard.find_refused((CLASS,), START + EARLY_INTERVAL + 5) is None


def test_trial_that_was_not_run_is_made_again_but_not_at_once() -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    clock = ManualClock()
    for time in (TRIAL_INTERVAL, TRIAL_INTERVAL + EARLY_INTERVAL):
        clock.time = time - 1
        with pytest.raises(QuarantinedError):
            RequestWatch(guard, (CLASS,), clock).check()
        clock.time = time
        RequestWatch(guard, (CLASS,), clock).check()


@pytest.mark.parametrize('how', ['note_run', 'note_event', 'note_crash'])
def test_trial_that_an_upstream_has_taken_is_not_repeated_early(
    how: str,
) -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, MANY)
    clock = ManualClock()
    clock.time = EARLY_INTERVAL
    watch = RequestWatch(guard, (CLASS,), clock)
    watch.check()
    getattr(watch, how)(*(['u9/1'] if how == 'note_crash' else []))
    clock.time = EARLY_INTERVAL + TRIAL_INTERVAL - 1
    with pytest.raises(QuarantinedError):
        RequestWatch(guard, (CLASS,), clock).check()


def test_trial_that_an_upstream_is_working_on_is_not_made_again() -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, MANY)
    clock = ManualClock()
    clock.time = EARLY_INTERVAL
    watch = RequestWatch(guard, (CLASS,), clock)
    watch.check()
    watch.note_run()
    clock.time = EARLY_INTERVAL + TRIAL_INTERVAL - 1
    with pytest.raises(QuarantinedError):
        RequestWatch(guard, (CLASS,), clock).check()
    watch.note_run(was_run=False)
    RequestWatch(guard, (CLASS,), clock).check()
