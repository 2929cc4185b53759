"""Decisions of slot coordinators: grants, queues, preemption; no I/O."""

from collections import Counter
from collections.abc import Iterable

import pytest

from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.codec import PACKERS, UNPACKERS
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.fallback import choose_alone
from gentiantrestle.gateway.slots.ledger import CROSSING_TIME, LEASE_TIME
from gentiantrestle.gateway.slots.messages import (
    ANSWER,
    ASK,
    YIELD,
    Ask,
    HeldSlot,
    LeaseKey,
    LeavingNotice,
    Outgoing,
    RateLimitNotice,
    Release,
    Report,
    ServiceSums,
    SlotOutcome,
    Verdict,
    ZoneSums,
)
from gentiantrestle.gateway.slots.placing import CoordinatorScope
from gentiantrestle.gateway.slots.pool import (
    MIN_PREEMPTION_SLACK,
    RELAXED_SLACK,
    URGENT_SLACK,
    batch_reserve,
    is_preemptible,
)
from gentiantrestle.gateway.slots.queueing import ASK_LIFETIME
from gentiantrestle.gateway.slots.remote_zones import (
    SUMS_LIFETIME,
    RemoteZones,
)
from gentiantrestle.gateway.slots.yields import GIVE_UP_AFTER, REPEAT_AFTER
from gentiantrestle.gateway.topology import Topology
from tests.gateway.samples import ENGINES, ZONES, make_upstream

SLOTS = 8
LATE_IN_QUEUE = 0.15  # seconds that a request may wait
ANYTHING = {'slack': 9.0, 'tokens_left': 1000}


class Desk:
    """A coordinator of zone ``a1`` and the answers that it gave."""

    def __init__(self, *names: str) -> None:
        """Coordinate upstreams of 8 slots."""
        self.roster = Roster()
        for name in names or ('u1',):
            self.roster.put(make_upstream(name, slots=SLOTS))
        self.remote = RemoteZones(Topology('a1', ZONES), lambda: 0)
        self.ended: set[str] = set()
        self.coordinator = SlotCoordinator(
            CoordinatorScope(
                'me',
                'here',
                'a1',
                lambda now: frozenset(('a1',)),
                lambda zone, now: f'host of {zone}',
                lambda run: run in self.ended,
            ),
            self.roster,
            self.remote,
            lambda: 0,
        )
        self.now = float(0)
        self.sent: list[Outgoing] = []

    def ask(self, number: int, holder: str = 'run', **changes: object) -> str:
        """Ask for a slot; return the verdict or the kind of message sent."""
        ask = Ask(LeaseKey(holder, number), 'there', ENGINES, **changes)
        return self.note(self.coordinator.ask(ask, self.now))

    def fill(self, count: int, first: int = 100, **changes: object) -> None:
        """Take slots."""
        for number in range(first, first + count):
            assert self.ask(number, **changes) == Verdict.GRANTED.name

    def release(
        self,
        number: int,
        outcome: SlotOutcome = SlotOutcome.SERVED,
        holder: str = 'run',
    ) -> str:
        """Give a slot back; return what follows."""
        release = Release(LeaseKey(holder, number), outcome)
        return self.note(self.coordinator.release(release, self.now))

    def report(self, *slots: HeldSlot) -> str:
        """Report the slots that the run holds; return what follows."""
        report = Report('run', 'there', slots)
        return self.note(self.coordinator.apply(report, self.now))

    def tick(self, now: float) -> str:
        """Let time pass; return what follows."""
        self.now = now
        return self.note(self.coordinator.tick(now, leading=True))

    def note(self, messages: Iterable[Outgoing]) -> str:
        """Note messages; return short names of them, in their order."""
        found = list(messages)
        self.sent += found
        return ' '.join(
            message.message.verdict.name
            if message.kind == ANSWER
            else message.kind
            for message in found
        )

    @property
    def upstream(self) -> str:
        """Return the upstream of the last answer."""
        return self.sent[-1].message.upstream

    def load(self, name: str = 'u1') -> int:
        """Return the load of an upstream."""
        return self.coordinator.load(name).total


def test_slots_are_granted_evenly_and_no_more_than_there_are() -> None:
    desk = Desk('u1', 'u2', 'u3')
    desk.fill(3 * SLOTS)
    assert {desk.load('u1'), desk.load('u2'), desk.load('u3')} == {SLOTS}
    assert desk.ask(1) == Verdict.REFUSED.name


def test_repeated_ask_gets_the_same_slot() -> None:
    desk = Desk()
    desk.fill(1)
    assert desk.ask(100) == Verdict.GRANTED.name
    assert desk.load() == 1


def test_request_waits_if_its_turn_comes_in_time() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    assert desk.ask(1, wait=LATE_IN_QUEUE) == Verdict.QUEUED.name
    assert desk.ask(1, wait=LATE_IN_QUEUE) == Verdict.QUEUED.name
    assert desk.release(100) == Verdict.GRANTED.name
    assert desk.load() == SLOTS


def test_request_that_would_wait_too_long_is_refused_at_once() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    assert desk.ask(1, wait=0.01) == Verdict.REFUSED.name
    assert desk.sent[-1].message.wait > 0.01


def test_retries_are_served_before_new_requests() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.ask(1, wait=1)
    desk.ask(2, wait=1, retry=True)
    desk.release(100)
    assert desk.sent[-1].message.key.number == 2


def test_withdrawn_request_gets_no_slot() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.ask(1, wait=1)
    assert not desk.release(1, SlotOutcome.UNKNOWN)
    assert not desk.release(100)
    assert desk.load() == SLOTS - 1


def test_request_of_silent_holder_leaves_the_queue() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.ask(1, wait=1)
    desk.report(
        *(HeldSlot(number, 'u1', False, 0, 0) for number in range(100, 108))
    )
    desk.tick(ASK_LIFETIME + 0.1)
    assert not desk.release(100)


def test_batch_item_yields_to_a_request_at_once() -> None:
    desk = Desk()
    desk.fill(1, first=1, batch=True, slack=URGENT_SLACK - 0.5)
    desk.fill(SLOTS - 1)
    assert desk.ask(2) == f'{YIELD} {Verdict.GRANTED.name}'
    assert desk.load() == SLOTS


def test_notice_to_yield_is_repeated_until_the_slot_is_given_back() -> None:
    desk = Desk()
    desk.fill(1, first=1, batch=True, slack=URGENT_SLACK - 0.5)
    desk.fill(SLOTS - 1)
    desk.ask(2)
    assert desk.tick(REPEAT_AFTER) == YIELD
    desk.release(1, SlotOutcome.UNKNOWN)
    assert not desk.tick(REPEAT_AFTER * 2)


def test_slot_of_item_that_does_not_yield_counts_again_by_report() -> None:
    desk = Desk()
    desk.fill(1, first=1, batch=True, slack=URGENT_SLACK - 0.5)
    desk.fill(SLOTS - 1)
    desk.ask(2)
    held = HeldSlot(1, 'u1', True, 9, 0)
    online = [
        HeldSlot(number, 'u1', False, 0, 0) for number in (2, *range(100, 107))
    ]
    desk.report(held, *online)
    assert desk.load() == SLOTS
    desk.tick(GIVE_UP_AFTER + 0.1)
    desk.report(held, *online)
    assert desk.load() == SLOTS + 1
    assert desk.tick(desk.now) == YIELD


def test_only_the_leading_coordinator_preempts_by_reports() -> None:
    desk = Desk()
    desk.report(
        *(HeldSlot(number, 'u1', True, 9, 0) for number in range(SLOTS + 1))
    )
    assert not list(desk.coordinator.tick(0, leading=False))
    assert desk.tick(0) == YIELD


@pytest.mark.parametrize(
    ('slack', 'preempted'),
    [(-1, True), (0.5, False), (MIN_PREEMPTION_SLACK + 1, True)],
)
def test_item_that_could_just_be_in_time_is_not_preempted(
    slack: float, preempted: bool
) -> None:
    assert is_preemptible(slack) == preempted
    desk = Desk()
    desk.report(
        HeldSlot(1, 'u1', True, slack, 0),
        *(HeldSlot(number, 'u1', False, 0, 0) for number in range(100, 107)),
    )
    assert (YIELD in desk.ask(2)) == preempted


def test_running_item_stays_preemptible_however_long_it_runs() -> None:
    desk = Desk()
    desk.report(
        HeldSlot(1, 'u1', True, MIN_PREEMPTION_SLACK + 0.5, 900),
        *(HeldSlot(number, 'u1', False, 0, 0) for number in range(100, 107)),
    )
    desk.now = LEASE_TIME - 0.1
    assert YIELD in desk.ask(2)


def test_late_item_yields_first_then_the_one_with_most_to_do() -> None:
    desk = Desk()
    desk.report(
        HeldSlot(1, 'u1', True, 9, 900),
        HeldSlot(2, 'u1', True, 5, 1500),
        HeldSlot(3, 'u1', True, -1, 100),
        *(HeldSlot(number, 'u1', False, 0, 0) for number in range(100, 105)),
    )
    yielded = []
    for number in (7, 8, 9):
        desk.ask(number)
        yielded.append(desk.sent[-2].message.number)
    assert yielded == [3, 2, 1]


def test_batch_leaves_more_slots_free_the_more_slack_and_requests() -> None:
    slots = 48
    assert batch_reserve(slots, 0, 0) == 2
    assert batch_reserve(slots, 25, 0) > batch_reserve(slots, 4, 0)
    relaxed = batch_reserve(slots, 0, RELAXED_SLACK)
    assert relaxed > batch_reserve(slots, 0, URGENT_SLACK)
    assert batch_reserve(slots, 0, -1) == relaxed


def test_batch_items_wait_in_order_of_urgency_and_tokens() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    for number, slack, tokens in (
        (1, -1, 10),
        (2, 9, 500),
        (3, 9, 200),
        (4, 1.5, 900),
        (5, 1.5, 800),
    ):
        asked = desk.ask(number, batch=True, slack=slack, tokens_left=tokens)
        assert asked == Verdict.QUEUED.name
    for number in range(100, 108):
        desk.release(number)
    order = [
        message.message.key.number
        for message in desk.sent
        if message.kind == ANSWER
        and message.message.verdict is Verdict.GRANTED
        and message.message.key.number < 100
    ]
    assert order == [5, 4, 3, 2, 1]


def test_failed_upstream_is_suspended_for_all_instances() -> None:
    desk = Desk('u1', 'u2')
    for holder in ('run-a', 'run-b'):
        desk.ask(1, holder)
        assert desk.upstream == 'u1'
        desk.release(1, SlotOutcome.FAILED, holder)
    desk.fill(4)
    assert desk.load('u1') == 0


def test_suspended_upstream_is_used_if_it_is_alone() -> None:
    desk = Desk('u1')
    for holder in ('run-a', 'run-b'):
        desk.ask(1, holder)
        desk.release(1, SlotOutcome.FAILED, holder)
    assert desk.coordinator.health.suspended(desk.now) == {'u1'}
    desk.fill(1)
    assert desk.upstream == 'u1'


def test_batch_starts_no_more_items_than_free_slots_less_the_reserve() -> None:
    names = [f'u{number}' for number in range(6)]
    desk = Desk(*names)
    slots = len(names) * SLOTS
    for number in range(2 * slots):
        desk.ask(number, batch=True, slack=URGENT_SLACK - 0.5)
    started = sum(desk.load(name) for name in names)
    assert started == slots - batch_reserve(slots, 0, 0)


def test_sums_count_free_slots_batch_slots_and_those_who_wait() -> None:
    desk = Desk('u1', 'u2')
    assert desk.coordinator.sums(0).zone == 'a1'
    empty = desk.coordinator.sums(0).services[0]
    assert empty.free == 2 * SLOTS - batch_reserve(2 * SLOTS, 0, URGENT_SLACK)
    assert empty.spare < empty.free
    desk.report(
        HeldSlot(1, 'u1', True, 9, 0),
        HeldSlot(2, 'u1', True, 0.5, 0),
        *(HeldSlot(number, 'u1', False, 0, 0) for number in range(10, 16)),
        *(HeldSlot(number, 'u2', False, 0, 0) for number in range(20, 28)),
    )
    desk.ask(3, batch=True, **ANYTHING)
    assert desk.coordinator.sums(0).services == (
        ServiceSums(ENGINES, free=0, batch=1, waiting=1, spare=0),
    )


def test_repeated_release_counts_as_one_failure() -> None:
    desk = Desk('u1', 'u2')
    desk.fill(1, first=1)
    for _ in range(3):
        desk.release(1, SlotOutcome.FAILED)
    desk.fill(2)
    assert desk.load('u1') == 1


def test_excluded_upstream_is_not_granted_at_once() -> None:
    desk = Desk('u1', 'u2')
    desk.fill(SLOTS, excluded=frozenset(('u1',)))
    assert desk.load('u2') == SLOTS


def test_request_without_time_to_wait_gets_the_only_upstream_again() -> None:
    desk = Desk('u1')
    tried = frozenset(('u1',))
    assert desk.ask(1, wait=0, excluded=tried) == Verdict.GRANTED.name
    desk.fill(SLOTS - 1)
    assert desk.ask(2, wait=0, excluded=tried) == Verdict.REFUSED.name


def test_request_gets_an_upstream_again_only_if_no_other_has_slots() -> None:
    desk = Desk('u1', 'u2')
    tried = frozenset(('u1',))
    desk.fill(SLOTS, excluded=tried)
    assert desk.ask(1, wait=0, excluded=tried) == Verdict.REFUSED.name
    alone = Desk('u1')
    alone.remote.put(_sums('a2', free=1), 0)
    assert alone.ask(1, wait=0, excluded=tried) == ASK


def test_slot_of_killed_holder_is_free_after_its_silence() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.tick(LEASE_TIME - 0.1)
    assert desk.load() == SLOTS
    desk.tick(LEASE_TIME + 0.1)
    assert desk.load() == 0


def test_slots_of_a_run_whose_instance_has_started_again_are_free() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    assert desk.ask(1, wait=1) == Verdict.QUEUED.name
    assert desk.ask(1, 'other', wait=1) == Verdict.QUEUED.name
    desk.ended.add('run')
    assert desk.tick(0.1) == Verdict.GRANTED.name
    assert desk.sent[-1].message.key == LeaseKey('other', 1)
    assert desk.load() == 1


def test_report_adds_unknown_slots_and_drops_those_it_lacks() -> None:
    desk = Desk()
    desk.fill(2)
    desk.now = CROSSING_TIME + 0.1
    desk.report(
        HeldSlot(100, 'u1', False, 0, 0), HeldSlot(9, 'u1', False, 0, 0)
    )
    assert desk.load() == 2
    assert desk.ask(9) == Verdict.GRANTED.name
    assert desk.load() == 2


def test_report_that_crosses_a_grant_does_not_free_its_slot() -> None:
    desk = Desk()
    desk.fill(1)
    desk.report()
    assert desk.load() == 1


def _sums(zone: str, **changes: int) -> ZoneSums:
    sums = ServiceSums(ENGINES, 0, 0, 0, 0)._replace(**changes)
    return ZoneSums(zone, (sums,))


def test_full_zone_passes_requests_on_to_free_slots_of_another() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.remote.put(_sums('a2', free=1), 0)
    desk.remote.put(_sums('b1', free=5), 0)
    hosts = []
    for number in (1, 2):
        assert desk.ask(number) == ASK
        assert desk.sent[-1].message.passed_on
        hosts.append(desk.sent[-1].host)
    assert hosts == ['host of a2', 'host of b1']


def test_free_slot_of_the_region_goes_before_preemption() -> None:
    desk = Desk()
    desk.report(
        *(HeldSlot(number, 'u1', True, 9, 0) for number in range(SLOTS))
    )
    desk.remote.put(_sums('b1', free=5), 0)
    assert desk.ask(50) == f'{YIELD} {Verdict.GRANTED.name}'
    desk.remote.put(_sums('a2', free=5), 0)
    assert desk.ask(51) == ASK


def test_request_that_was_passed_on_is_not_passed_on_again() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.remote.put(_sums('a2', free=5), 0)
    assert desk.ask(1, passed_on=True, wait=1) == Verdict.QUEUED.name
    assert desk.ask(2, passed_on=True, batch=True) == Verdict.REFUSED.name


def test_silent_zone_gets_no_requests() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    desk.remote.put(_sums('a2', free=5), 0)
    desk.now = SUMS_LIFETIME + 0.1
    assert desk.ask(1) == Verdict.REFUSED.name


def test_zone_without_upstreams_passes_requests_on() -> None:
    desk = Desk()
    desk.roster.remove('u1', 0)
    desk.remote.put(_sums('b1', waiting=3), 0)
    assert desk.ask(1) == ASK


def test_waiting_batch_item_is_passed_on_to_a_zone_with_spare_slots() -> None:
    desk = Desk()
    desk.fill(SLOTS)
    assert desk.ask(1, batch=True, **ANYTHING) == Verdict.QUEUED.name
    desk.remote.put(_sums('a2', spare=2), 0)
    assert desk.note(desk.coordinator.dispatch(0)) == ASK


def test_queued_item_is_granted_an_upstream_that_was_suspended_at_first() -> (
    None
):
    desk = Desk()
    desk.fill(SLOTS)
    excluded = frozenset(('u1',))
    for _ in range(2):
        desk.ask(1, batch=True, excluded=excluded, **ANYTHING)
    for number in range(100, 100 + SLOTS):
        desk.release(number)
    assert desk.load() == 1


@pytest.mark.parametrize('kind', sorted(PACKERS))
def test_messages_survive_encoding(kind: str) -> None:
    key = LeaseKey('run/1', 7)
    desk = Desk()
    desk.fill(1)
    samples = {
        ASK: Ask(key, 'h', 's', True, 2, True, 0.5, frozenset('ab'), -1.5, 9),
        ANSWER: desk.sent[-1].message,
        'slot_release': Release(key, SlotOutcome.FAILED),
        YIELD: key,
        'rate_limit_notice': RateLimitNotice('u', 2.25),
        'leaving_notice': LeavingNotice('u', 1700000000000),
        'slot_report': Report('run', 'h', (HeldSlot(1, 'u', True, -2.5, 3),)),
        'zone_sums': _sums('a2', free=3, spare=1),
    }
    sample = samples[kind]
    assert UNPACKERS[kind](PACKERS[kind](sample)) == sample


def test_choice_without_coordinator_prefers_zone_then_region() -> None:
    topology = Topology('a1', ZONES)
    local, near = make_upstream('u1'), make_upstream('u2', zone='a2')
    far = make_upstream('u3', zone='b1')
    loads: Counter[str] = Counter()
    for upstreams, chosen in (
        ([far, near, local], local),
        ([far, near], near),
        ([far], far),
        ([], None),
    ):
        assert choose_alone(upstreams, loads, topology, lambda: 0) == chosen
