"""What is blamed for crashes before it is proved, and for how long."""

from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.quarantine import blames
from gentiantrestle.quarantine.culprits import MIN_CRASHES
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard
from gentiantrestle.quarantine.watch import OPENING_TIME, RequestWatch

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


def make_guard() -> RequestGuard:
    """Return the guard of an instance that knows nothing."""
    return RequestGuard(Evidence(), lambda key: False)


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
        blames.events,
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
    answer(guard, clock, 0.6)
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
