"""What is blamed for crashes before it is proved, and for how long."""

from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.refusals import refuse_quarantined
from gentiantrestle.quarantine.blames import MANY
from gentiantrestle.quarantine.culprits import MIN_CRASHES
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import (
    EARLY_INTERVAL,
    TRIAL_INTERVAL,
    RequestGuard,
)
from gentiantrestle.quarantine.watch import (
    OPENING_TIME,
    SOUND_AFTER,
    STEADY_TIME,
    RequestWatch,
)
from tests.gateway.samples import make_request

EVENT_INTERVAL = 0.05  # seconds
UPSTREAMS = 30
START = 1_700_000_000
CLASS = 'class'  # the prompt part that all requests of a class share


class ManualClock:
    """A clock that a test moves; times are in s."""

    def __init__(self) -> None:
        """Begin at 0."""
        self.time = float(0)

    def now(self) -> float:
        """Return the monotonic time."""
        return self.time

    def wall(self) -> float:
        """Return the wall-clock time."""
        return START + self.time


def answer(
    guard: RequestGuard, clock: ManualClock, until: float, *events_at: float
) -> None:
    """Let all upstreams but three answer a request of the class each.

    Events arrive at ``events_at`` s, without any at all times.
    """
    watches = [
        RequestWatch(guard, (CLASS, f'path:{number}'), clock)
        for number in range(MIN_CRASHES, UPSTREAMS)
    ]
    steps = [step * EVENT_INTERVAL for step in range(UPSTREAMS)]
    for at in events_at or [step for step in steps if step <= until]:
        clock.time = at
        for watch in watches:
            watch.note_event()
    clock.time = until


def make_guard(*, elected: bool = False) -> RequestGuard:
    """Return the guard of an instance that knows nothing."""
    return RequestGuard(Evidence(), lambda key: elected)


def end_upstreams(guard: RequestGuard, count: int, *own: str) -> None:
    """Let upstreams end under a request of the class each."""
    for number in range(count):
        traits = frozenset((CLASS, *own))
        guard.evidence.add_crash(f'u{number}/1', traits, START)


def test_log_tells_how_many_requests_a_blame_concerned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[tuple[int, dict[str, Any]]] = []
    monkeypatch.setattr(
        events,
        'emit',
        lambda event, **fields: logged.append((event.code, fields)),
    )
    guard = make_guard()
    end_upstreams(guard, MIN_CRASHES)
    logged.clear()
    for _ in range(2):
        assert guard.find_refused((CLASS,), START)
    guard.evidence.note_sound((CLASS,), START)
    assert guard.find_refused((CLASS,), START + 2) is None
    assert logged == [
        (events.BLAME_BEGUN.code, {'traits': [CLASS], 'crashes': MIN_CRASHES}),
        (
            events.BLAME_ENDED.code,
            {'traits': [CLASS], 'refused': 2, 'held_s': 2},
        ),
    ]


def test_class_that_upstreams_are_answering_is_not_blamed() -> None:
    clock = ManualClock()
    guard = make_guard()
    answer(guard, clock, SOUND_AFTER + STEADY_TIME + 2 * EVENT_INTERVAL)
    end_upstreams(guard, MIN_CRASHES)
    assert guard.find_refused((CLASS, 'path:new'), clock.wall()) is None


def test_events_that_were_read_late_do_not_clear_a_class() -> None:
    clock = ManualClock()
    guard = make_guard()
    answer(guard, clock, 2, 0, 1, 1 + EVENT_INTERVAL)
    end_upstreams(guard, MIN_CRASHES)
    assert guard.find_refused((CLASS, 'path:new'), clock.wall())


def test_crash_after_the_opening_events_can_still_be_blamed() -> None:
    clock = ManualClock()
    guard = make_guard()
    answer(guard, clock, OPENING_TIME, 0, OPENING_TIME)
    end_upstreams(guard, MIN_CRASHES)
    assert guard.find_refused((CLASS, 'path:new'), clock.wall())


def test_culprit_whose_upstream_ends_a_little_late_once_stays_blamed() -> None:
    clock = ManualClock()
    guard = make_guard()
    answer(guard, clock, 0.5, 0, 0.2, 0.35, 0.46)
    end_upstreams(guard, MIN_CRASHES)
    assert guard.find_refused((CLASS, 'path:new'), clock.wall())


@pytest.mark.parametrize('told', [False, True])
def test_blame_ends_as_soon_as_its_class_is_known_to_be_sound(
    *, told: bool
) -> None:
    guard = make_guard()
    end_upstreams(guard, MIN_CRASHES)
    assert guard.find_refused((CLASS,), START)
    informed = Evidence()
    informed.merge(guard.evidence.findings(START), START)
    informed.note_sound((CLASS,), START)
    if told:
        guard.evidence.merge(informed.findings(START), START)
    else:
        guard.evidence.note_sound((CLASS,), START)
    assert guard.find_refused((CLASS,), START) is None


def refuse_each(guard: RequestGuard, count: int) -> None:
    """Have requests of the class refused that differ otherwise."""
    for number in range(count):
        assert guard.find_refused((CLASS, f'path:{number}'), START)


def test_blame_that_holds_back_all_requests_is_tried_early_once() -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, MANY)
    assert guard.find_refused((CLASS,), START + EARLY_INTERVAL - 1)
    later = START + EARLY_INTERVAL
    guard.note_run(guard.check((CLASS,), later))
    assert guard.find_refused((CLASS,), later + TRIAL_INTERVAL - 1)
    guard.evidence.note_sound((CLASS,), later)
    guard.check((CLASS,), later)


def test_early_trial_that_ends_an_upstream_is_not_repeated() -> None:
    guard = make_guard(elected=True)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, MANY)
    later = START + EARLY_INTERVAL
    traits = frozenset((CLASS, 'path:trial'))
    guard.evidence.add_crash('tried/1', traits, later)
    assert guard.find_refused((CLASS,), later + 2 * TRIAL_INTERVAL - 1)
    assert guard.find_refused((CLASS,), later + 2 * TRIAL_INTERVAL) is None


@pytest.mark.parametrize(
    ('kinds', 'elected'), [(MANY - 1, True), (MANY, False)]
)
def test_blame_on_few_requests_or_elsewhere_elected_is_not_tried_early(
    *, kinds: int, elected: bool
) -> None:
    guard = make_guard(elected=elected)
    end_upstreams(guard, MIN_CRASHES)
    refuse_each(guard, kinds)
    refuse_each(guard, 1)
    assert guard.find_refused((CLASS,), START + TRIAL_INTERVAL - 1)


@pytest.mark.parametrize(
    ('at', 'delay'),
    [(1, EARLY_INTERVAL), (EARLY_INTERVAL + 3, TRIAL_INTERVAL)],
)
def test_caller_is_told_to_come_back_when_a_blame_may_have_ended(
    at: int, delay: int
) -> None:
    guard = make_guard()
    end_upstreams(guard, MIN_CRASHES)
    req = make_request('r1', 0)
    with pytest.raises(RefusedError) as refused:
        refuse_quarantined(guard, req, (CLASS,), START + at)
    assert refused.value.refusal.retry_after == delay
