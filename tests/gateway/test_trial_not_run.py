"""An early trial that no upstream has executed proves nothing."""

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
