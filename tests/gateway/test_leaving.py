"""Upstreams that say in their answers that they are leaving; no I/O."""

import h11
import pytest

from gentiantrestle.gateway.leaving import (
    MAX_RUNS,
    SEND_MARGIN,
    LeavingUpstreams,
)
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.client import SlotClient, SlotLease
from gentiantrestle.gateway.slots.messages import Outgoing, Verdict
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.platform.settings import NodeSettings
from tests.gateway.samples import ENGINES, make_upstream
from tests.gateway.test_adapter import SETTINGS
from tests.gateway.test_slots import SLOTS, Desk

DRAIN_TIME = 2.5
HOSTS = ['h1', 'h2']
OLD, OTHER = make_upstream('u1'), make_upstream('u2')
RESTARTED = make_upstream('u1', incarnation=2)


class FakeDirectory:
    """Coordinators of every zone."""

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Return the coordinators."""
        return tuple(
            Peer(host, 1, 1, host, zone, False, 0, True, 0) for host in HOSTS
        )


def usable_ids(roster: Roster, now: float) -> list[str]:
    """Return the ids of the engines that may get new work."""
    return [found.id for found in roster.usable_upstreams(ENGINES, now)]


def test_leaving_upstream_gets_no_work_though_its_entry_is_ready() -> None:
    roster = Roster(DRAIN_TIME)
    roster.replace((OLD, OTHER), 0)
    roster.leaving.add(*OLD.run, 1)
    roster.put(OLD)
    assert usable_ids(roster, 1) == ['u2']
    assert usable_ids(roster, 100) == ['u2']


def test_entry_that_vanished_and_came_back_is_still_leaving() -> None:
    roster = Roster(DRAIN_TIME)
    roster.replace((OLD, OTHER), 0)
    roster.leaving.add(*OLD.run, 1)
    roster.remove('u1', 2)
    roster.put(OLD)
    assert usable_ids(roster, 3) == ['u2']


def test_leaving_upstream_whose_entry_lapsed_gets_no_work() -> None:
    roster = Roster(DRAIN_TIME)
    roster.replace((OLD, OTHER), 0)
    roster.leaving.add(*OLD.run, 1)
    roster.note_outage(1)
    roster.remove('u1', 1)
    assert usable_ids(roster, 1) == ['u2']


def test_restarted_upstream_gets_work_again() -> None:
    roster = Roster(DRAIN_TIME)
    roster.put(OLD)
    roster.leaving.add(*OLD.run, 1)
    roster.put(RESTARTED)
    assert usable_ids(roster, 1) == ['u1']


def test_last_upstreams_serve_until_drain_time_after_the_first_answer() -> None:
    roster = Roster(DRAIN_TIME)
    roster.put(OLD)
    roster.leaving.add(*OLD.run, 10)
    end = 10 + DRAIN_TIME - SEND_MARGIN
    roster.leaving.add(*OLD.run, end - 0.1)
    assert usable_ids(roster, end - 0.1) == ['u1']
    assert usable_ids(roster, end) == []


def test_last_upstreams_serve_no_more_where_no_drain_time_is_set() -> None:
    roster = Roster()
    roster.put(OLD)
    roster.leaving.add(*OLD.run, 10)
    assert usable_ids(roster, 10) == []


def test_marks_are_bounded() -> None:
    leaving = LeavingUpstreams()
    for number in range(MAX_RUNS + 1):
        leaving.add(f'x{number}', 1, 0)
    assert make_upstream('x0') not in leaving
    assert make_upstream(f'x{MAX_RUNS}') in leaving


@pytest.mark.parametrize(
    ('status', 'fields', 'expected'),
    [
        (200, [('Server-Leaving', '1')], True),
        (503, [('Server-Leaving', '1'), ('X-Not-Executed', '1')], True),
        (200, [('Server-Leaving', '0')], False),
        (200, [], False),
    ],
)
def test_header_of_leaving_upstream_is_decoded(
    status: int, fields: list, expected: bool
) -> None:
    head = h11.Response(status_code=status, headers=fields)
    assert PlatformDialect().read_reply(head).leaving is expected


@pytest.mark.parametrize('wrong_instance', [True, False])
def test_only_an_answer_of_the_upstream_itself_marks_it(
    wrong_instance: bool,
) -> None:
    sent: list[Outgoing] = []
    client = SlotClient('run', 'here', FakeDirectory(), sent.append, lambda: 1)
    leaving = LeavingUpstreams()
    client.mark_leaving = leaving.add
    reply = Reply(
        421 if wrong_instance else 503,
        (),
        '',
        genuine=True,
        not_run=True,
        wrong_instance=wrong_instance,
        leaving=True,
    )
    client.note_reply(SlotLease(1, OLD, '', 0), reply)
    assert (OLD in leaving) is not wrong_instance
    told = [] if wrong_instance else HOSTS
    assert sorted(outgoing.host for outgoing in sent) == told
    assert all(tuple(outgoing.message) == OLD.run for outgoing in sent)


def test_coordinator_that_knows_grants_no_slots_of_a_leaving_upstream() -> None:
    desk = Desk('u1', 'u2')
    desk.roster.leaving.add(*OLD.run, 0)
    for number in range(SLOTS):
        assert desk.ask(number) == Verdict.GRANTED.name
        assert desk.upstream == 'u2'
    assert desk.ask(SLOTS) == Verdict.REFUSED.name


@pytest.mark.parametrize(
    ('bounds', 'expected'), [({'drain-ms': 2500}, DRAIN_TIME), ({}, 0)]
)
def test_drain_time_is_read_from_settings(
    bounds: dict, expected: float
) -> None:
    config = SETTINGS | {'bounds': SETTINGS['bounds'] | bounds}
    assert NodeSettings.from_config(config).drain_time == expected
