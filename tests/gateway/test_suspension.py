"""When coordinators suspend an upstream, and what they log of it; no I/O."""

from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.slots.messages import SlotOutcome
from tests.gateway.test_slots import Desk

FAILED, SERVED = SlotOutcome.FAILED, SlotOutcome.SERVED
Logged = list[tuple[int, dict[str, Any]]]


@pytest.fixture(name='logged')
def fixture_logged(monkeypatch: pytest.MonkeyPatch) -> Logged:
    """Return the events that are logged, in their order."""
    logged: Logged = []
    monkeypatch.setattr(
        events,
        'emit',
        lambda event, **fields: logged.append((event.code, fields)),
    )
    return logged


def use(desk: Desk, holder: str, *outcomes: SlotOutcome) -> None:
    """Use the only upstream of a desk, once for each outcome."""
    for outcome in outcomes:
        desk.ask(1, holder)
        desk.release(1, outcome, holder)


def test_suspension_is_logged_with_its_witnesses_until_it_is_over(
    logged: Logged,
) -> None:
    desk = Desk()
    use(desk, 'run-b', FAILED)
    use(desk, 'run-a', FAILED)
    suspended = {
        'upstream': 'u1',
        'witnesses': 'run-a, run-b',
        'for_ms': 500,
    }
    assert logged == [(3023, suspended)]
    desk.tick(0.4)
    assert len(logged) == 1
    desk.tick(0.5)
    assert logged[1:] == [(3024, {'upstream': 'u1', 'reason': 'waited'})]


def test_end_of_a_suspension_is_logged_with_its_reason(logged: Logged) -> None:
    desk = Desk()
    for end, reason in (
        (lambda: desk.release(9), 'served'),
        (lambda: desk.coordinator.health.forget('u1'), 'started'),
    ):
        desk.fill(1, first=9)
        use(desk, 'run-a', FAILED)
        use(desk, 'run-b', FAILED)
        logged.clear()
        end()
        end()
        assert logged == [(3024, {'upstream': 'u1', 'reason': reason})]
