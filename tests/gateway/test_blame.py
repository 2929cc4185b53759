"""What is blamed for crashes before it is proved, and for how long."""

from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.quarantine import blames
from gentiantrestle.quarantine.culprits import MIN_CRASHES
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard

START = 1_700_000_000
CLASS = 'class'  # the prompt part that all requests of a class share


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
