"""When coordinators suspend an upstream, and what they log of it; no I/O."""

import random
from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.slots.batch_asks import BatchAsks, WantedSlot
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.health import (
    FAILURES_TO_OPEN,
    TRIAL_TIME,
    HealthTable,
)
from gentiantrestle.gateway.slots.messages import (
    Answer,
    Ask,
    LeaseKey,
    Outgoing,
    SlotOutcome,
    Verdict,
)
from tests.gateway.samples import ENGINES, make_upstream
from tests.gateway.test_leaving import FakeDirectory
from tests.gateway.test_slots import ANYTHING, SLOTS, Desk

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


@pytest.mark.parametrize(
    ('uses', 'suspended'),
    [
        ([('a', FAILED)] * 5, False),
        ([('a', FAILED), ('b', FAILED)], True),
        ([('a', FAILED), ('b', SERVED), ('b', FAILED)], False),
        ([('a', FAILED), ('b', SERVED), ('b', FAILED), ('a', FAILED)], True),
    ],
)
def test_upstream_is_suspended_for_all_on_the_word_of_two_instances(
    uses: list[tuple[str, SlotOutcome]], suspended: bool
) -> None:
    desk = Desk()
    for holder, outcome in uses:
        use(desk, holder, outcome)
    found = desk.coordinator.health.suspended(desk.now)
    assert (found == {'u1'}) is suspended


def failures_until_suspended(instances: int, rand: random.Random) -> int:
    """Count the failed requests until nobody is granted a dead upstream.

    Requests come one after the other, each at a random instance.
    """
    desk = Desk('u1', 'u2', 'u3')
    own = [HealthTable() for _ in range(instances)]
    failures = 0
    for number in range(20 * instances):
        instance = rand.randrange(instances)
        holder = f'run-{instance}'
        desk.ask(number, holder, excluded=own[instance].suspended(desk.now))
        outcome = FAILED if desk.upstream == 'u1' else SERVED
        failures += outcome is FAILED
        own[instance].record(desk.upstream, outcome, desk.now, desk.now)
        desk.release(number, outcome, holder)
    return failures


@pytest.mark.parametrize('instances', [1, 3, 9, 60])
def test_upstream_that_is_gone_costs_one_more_request_at_most(
    instances: int,
) -> None:
    rand = random.Random(instances)
    counts = [failures_until_suspended(instances, rand) for _ in range(50)]
    assert max(counts) <= FAILURES_TO_OPEN + 1


def test_answers_that_break_at_once_suspend_an_upstream_for_half_a_second() -> (
    None
):
    desk = Desk()
    holders = [f'run-{number}' for number in range(8)]
    for holder in holders:
        desk.ask(1, holder)
    desk.now = 1
    for holder in holders:
        desk.release(1, FAILED, holder)
    assert desk.coordinator.health.suspended(1.4)
    assert not desk.coordinator.health.suspended(1.5)


@pytest.mark.parametrize(
    ('holders', 'longest'), [(['a'] * 6, 0.5), (['a', 'b'] * 3, 4)]
)
def test_suspension_is_lengthened_on_the_word_of_several_instances_only(
    holders: list[str], longest: float
) -> None:
    desk = Desk()
    use(desk, 'a', FAILED)
    use(desk, 'b', FAILED)
    for holder in holders:
        desk.now += 10
        use(desk, holder, FAILED)
    health = desk.coordinator.health
    assert health.suspended(desk.now + longest - 0.1)
    assert not health.suspended(desk.now + longest)


def make_waiting_desk() -> Desk:
    """Return a desk whose items wait; ``u1`` was suspended at 0 s."""
    desk = Desk('u1', 'u2')
    for holder in ('run-a', 'run-b'):
        desk.ask(1, holder, excluded=frozenset(('u2',)))
        desk.release(1, FAILED, holder)
    desk.fill(SLOTS, first=200)
    for number in range(SLOTS):
        desk.ask(number, batch=True, **ANYTHING)
    desk.tick(0.4)
    assert desk.load('u1') == 0
    return desk


def test_items_that_wait_do_not_all_try_an_upstream_after_its_suspension() -> (
    None
):
    desk = make_waiting_desk()
    desk.tick(0.5)
    assert desk.load('u1') == 1
    desk.release(0, FAILED)
    desk.tick(0.9)
    assert desk.load('u1') == 0
    desk.tick(1.0)
    assert desk.load('u1') == 1
    desk.release(1)
    assert desk.load('u1') > 1


def test_long_use_after_a_suspension_does_not_hold_the_others_up() -> None:
    desk = make_waiting_desk()
    desk.tick(0.5)
    desk.tick(0.5 + TRIAL_TIME - 0.1)
    assert desk.load('u1') == 1
    desk.tick(0.5 + TRIAL_TIME)
    assert desk.load('u1') > 1


def test_item_that_is_refused_asks_again_for_what_is_no_longer_suspended() -> (
    None
):
    now = [float(0)]
    sent: list[Outgoing] = []
    client = SlotClient(
        'run', 'here', FakeDirectory(), sent.append, lambda: now[0]
    )
    for _ in range(FAILURES_TO_OPEN):
        client.health.record('u1', FAILED, 0, 0)
    asks = BatchAsks('a1', client, lambda name: None, lambda: now[0])
    asks.want([WantedSlot('i1', ENGINES, 9, 100)])
    ask = sent[-1].message
    refused = Answer(ask.key, Verdict.REFUSED, '', 0, 'b', 'h')
    client.receive(refused)
    now[0] = 1
    asks.send_due(now[0])
    assert ask.excluded == {'u1'}
    assert len(sent) == 2
    assert not sent[-1].message.excluded


def released_outcome(*, suspect: bool) -> tuple[SlotOutcome, bool]:
    """Return what is told of a failure, and whether it counts here."""
    sent: list[Outgoing] = []
    client = SlotClient('run', 'here', FakeDirectory(), sent.append, lambda: 0)
    client.is_path_suspect = lambda: suspect
    for _ in range(FAILURES_TO_OPEN):
        pending = client.open(Ask(LeaseKey('', 0), '', ENGINES))
        lease = client.hold(pending, make_upstream('u1'), '')
        client.release(lease, FAILED)
    return sent[-1].message.outcome, client.health.suspended(0) == {'u1'}


def test_failure_of_a_suspect_path_is_not_told_of_the_upstream() -> None:
    assert released_outcome(suspect=True) == (SlotOutcome.UNKNOWN, True)
    assert released_outcome(suspect=False) == (FAILED, True)


def test_failures_of_one_witness_do_not_prolong_the_first_suspension() -> None:
    desk = Desk()
    use(desk, 'run-a', *[FAILED] * 5)
    use(desk, 'run-b', FAILED)
    assert desk.coordinator.health.suspended(0.4)
    assert not desk.coordinator.health.suspended(0.5)


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
