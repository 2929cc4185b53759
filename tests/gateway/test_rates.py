"""Limits that upstreams name: grants of coordinators; no I/O."""

from collections import Counter

import pytest

from gentiantrestle.gateway.slots.ledger import Lease, Ledger
from gentiantrestle.gateway.slots.messages import (
    LeaseKey,
    RateLimitNotice,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.pool import Pool
from gentiantrestle.gateway.slots.rates import (
    CROSSING_TIME,
    MAX_UPSTREAMS,
    WINDOW,
    RateLimits,
)
from tests.gateway.samples import make_upstream
from tests.gateway.test_slots import ANYTHING, SLOTS, Desk

RUN_TIME = 0.65  # seconds that a request holds its slot


def notice(desk: Desk, limit: float, name: str = 'u1') -> None:
    """Let an upstream name a limit."""
    told = RateLimitNotice(name, limit)
    desk.note(desk.coordinator.note_rate_limit(told, desk.now))


def load(desk: Desk, rate: float, seconds: float, **fields: object) -> Counter:
    """Ask for slots at a rate; return the grants of each upstream."""
    granted: Counter[str] = Counter()
    running: list[tuple[float, int]] = []
    start = desk.now
    for number in range(int(rate * seconds)):
        desk.now = start + number / rate
        for ends, key in tuple(running):
            if ends <= desk.now:
                running.remove((ends, key))
                desk.release(key)
        key = 1000 + int(start * 100) + number
        if desk.ask(key, **fields) == Verdict.GRANTED.name:
            granted[desk.upstream] += 1
            running.append((desk.now + RUN_TIME, key))
    return granted


@pytest.mark.parametrize('limit', [0.5, 2.2, 9])
@pytest.mark.parametrize('fields', [{}, {'batch': True, **ANYTHING}])
def test_limited_upstream_is_granted_no_more_than_it_takes(
    limit: float, fields: dict
) -> None:
    desk = Desk()
    notice(desk, limit)
    granted = load(desk, 40, WINDOW, **fields)
    assert granted['u1'] <= max(1, limit * WINDOW)
    assert granted['u1'] >= 0.7 * limit * WINDOW or fields


def test_grants_before_the_limit_was_known_count_as_well() -> None:
    desk = Desk()
    load(desk, 20, 1)
    notice(desk, 2)
    assert not load(desk, 20, 1)


def test_unlimited_upstreams_take_what_a_limited_one_does_not() -> None:
    desk = Desk('u1', 'u2')
    notice(desk, 2)
    granted = load(desk, 10, 10)
    assert granted['u1'] <= 2 * 10 + 2
    assert sum(granted.values()) == 100


def test_request_that_the_limit_cannot_serve_in_time_is_refused_at_once() -> (
    None
):
    desk = Desk()
    notice(desk, 1)
    desk.fill(1)
    assert desk.ask(1, wait=0.3) == Verdict.REFUSED.name
    assert desk.ask(2, wait=2) == Verdict.QUEUED.name


def test_queued_request_is_granted_when_the_limit_allows_it() -> None:
    desk = Desk()
    notice(desk, 1)
    desk.fill(1)
    assert desk.ask(1, wait=2) == Verdict.QUEUED.name
    assert desk.tick(0.9) == ''
    assert desk.tick(1.1) == Verdict.GRANTED.name


def test_batch_item_is_not_preempted_where_the_limit_allows_no_request() -> (
    None
):
    desk = Desk()
    desk.fill(SLOTS - 1, batch=True, **ANYTHING)
    notice(desk, 1)
    assert desk.ask(1, wait=0.2) == Verdict.REFUSED.name


def test_answer_tells_the_limit_and_lifting_it_frees_the_slots() -> None:
    desk = Desk()
    notice(desk, 2.5)
    desk.fill(1)
    assert desk.sent[-1].message.rate_limit == 2.5
    desk.now = 2 * CROSSING_TIME
    notice(desk, 0)
    desk.fill(SLOTS - 1, first=200)
    assert desk.sent[-1].message.rate_limit == 0


def test_limit_is_not_lifted_by_an_answer_that_crossed_it() -> None:
    rates = RateLimits()
    rates.name('u1', 2, 1)
    rates.name('u1', 0, 1 + CROSSING_TIME / 2)
    assert rates.limit('u1') == 2


def test_instance_alone_sends_one_request_to_a_limited_upstream() -> None:
    rates = RateLimits()
    rates.name('u1', 2, 0)
    assert rates.may_send_alone('u1', 0)
    rates.record('u1', 0)
    rates.record('u2', 0)
    assert not rates.may_send_alone('u1', 1)
    assert rates.may_send_alone('u2', 1)
    assert rates.may_send_alone('u1', WINDOW)


def test_limited_slots_count_as_far_as_requests_can_fill_them() -> None:
    ledger = Ledger()
    ledger.rates.name('u1', 2, 0)
    upstreams = tuple(make_upstream(name, slots=8) for name in ('u1', 'u2'))
    assert Pool(upstreams, ledger).capacity(0.5) == 9


def test_failed_use_of_a_limited_upstream_counts() -> None:
    desk = Desk()
    notice(desk, 0.5)
    desk.fill(1)
    desk.release(100, SlotOutcome.FAILED)
    desk.now = 1.5
    desk.fill(1, first=200)
    assert desk.ask(1, wait=0.2) == Verdict.REFUSED.name


def test_batch_uses_limited_upstreams_first_and_requests_the_others() -> None:
    desk = Desk('u1', 'u2')
    notice(desk, 2)
    desk.fill(1)
    assert desk.upstream == 'u2'
    desk.fill(1, first=200, batch=True, **ANYTHING)
    assert desk.upstream == 'u1'


def test_item_on_a_limited_upstream_is_preempted_last() -> None:
    upstreams = tuple(make_upstream(name, slots=1) for name in ('u1', 'u2'))
    ledger = Ledger()
    for number, upstream in enumerate(('u1', 'u2')):
        key = LeaseKey('run', number)
        ledger.put(Lease(key, 'h', upstream, True, 9, 0, 0, 99 - number))
    pool = Pool(upstreams, ledger, {'u1': 1})
    assert pool.choose_victim(1).upstream == 'u2'


def test_upstreams_that_are_gone_are_forgotten() -> None:
    rates = RateLimits()
    for number in range(2 * MAX_UPSTREAMS):
        rates.name(f'u{number}', 2, number)
        rates.record(f'u{number}', number)
    limited = [f'u{number}' for number in range(2 * MAX_UPSTREAMS)]
    now = 2 * MAX_UPSTREAMS
    assert len(rates.allowances(limited, now)) <= MAX_UPSTREAMS
    assert rates.limit(limited[-1]) == 2
