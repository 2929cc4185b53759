"""Routing, limits, retries and batch slots under stale and missing news."""

import pytest

from gentiantrestle.daemon.batch.caps import BatchCap, target_cap
from gentiantrestle.daemon.online.admission import expected_wait
from gentiantrestle.daemon.online.claims import Claim, Move, decide
from gentiantrestle.daemon.online.clients import ClientShares
from gentiantrestle.daemon.online.hedging import HedgeRule
from gentiantrestle.daemon.online.queue import FairQueue, Ticket
from gentiantrestle.daemon.online.retries import (
    Failure,
    RetryBudget,
    Stage,
    Verdict,
    judge,
)
from gentiantrestle.daemon.upstreams.adapter import (
    TokenStreamReader,
    WholeStream,
)
from gentiantrestle.daemon.upstreams.health import Health, compare
from gentiantrestle.daemon.upstreams.leaving import LeavingMarks
from gentiantrestle.daemon.upstreams.loads import OnlinePressure
from gentiantrestle.daemon.upstreams.routing import (
    POLICIES,
    Candidate,
    Snapshot,
)
from gentiantrestle.errors import Refusal

SLOTS = 16


def _one(name: str, **changes: object) -> Candidate:
    fields = {
        'upstream': name,
        'zone': 'a1',
        'region': 'a',
        'slots': SLOTS,
        'own': 0,
        'others': 0,
        'batch': 0,
        'share': 5,
        'slowness': 1.0,
        'usable': True,
    }
    return Candidate(**{**fields, **changes})


FULL = {'own': SLOTS}
BROKEN = {'usable': False}


@pytest.mark.parametrize('name', sorted(POLICIES))
@pytest.mark.parametrize(
    ('candidates', 'expected'),
    [
        ([], 'no_upstream'),
        ([_one('x', **BROKEN)], 'no_upstream'),
        ([_one('x', **FULL)], 'overloaded'),
        ([_one('x', **FULL), _one('y')], 'y'),
        ([_one('x', **BROKEN), _one('y')], 'y'),
        ([_one('x', zone='a2'), _one('y')], 'y'),
        ([_one('x', zone='a2'), _one('y', **FULL)], 'x'),
        (
            [
                _one('far', zone='b1', region='b'),
                _one('near', zone='a2'),
                _one('own', **BROKEN),
            ],
            'near',
        ),
        ([_one('far', zone='b1', region='b'), _one('own', **FULL)], 'far'),
        ([_one('x', slowness=10.0)], 'x'),
    ],
)
def test_every_policy_stays_in_reach(
    name: str,
    candidates: list[Candidate],
    expected: str,
) -> None:
    for draw in (0, 0.5, 0.999):
        snapshot = Snapshot(candidates, 'a1', 'a', 'prompt', draw)
        chosen = POLICIES[name](snapshot, 0)
        if isinstance(chosen, Refusal):
            chosen = chosen.kind.name
        assert chosen == expected


@pytest.mark.parametrize(
    ('better', 'worse'),
    [
        (_one('b'), _one('a', own=1)),
        (_one('b'), _one('a', batch=4)),
        (_one('b', own=2), _one('a', slowness=3.0)),
        (_one('b', others=2), _one('a', own=3)),
    ],
)
def test_least_cost_prefers(better: Candidate, worse: Candidate) -> None:
    snapshot = Snapshot([worse, better], 'a1', 'a')
    assert POLICIES['least_cost'](snapshot, 0) == better.upstream


@pytest.mark.parametrize(
    ('pace', 'peers', 'slow'),
    [
        (10, [1, 1, 1], True),
        (1, [1, 1, 1], False),
        (10, [10, 10, 10], False),
        (None, [1, 1], False),
        (10, [None, None], False),
        (10, [], False),
    ],
)
def test_slow_is_relative_to_peers(
    pace: float | None,
    peers: list[float | None],
    slow: bool,
) -> None:
    assert compare(pace, peers).is_slow is slow


def test_old_measurements_are_forgotten() -> None:
    health = Health()
    for at in range(20):
        health.measure(9, at / 10)
    assert health.fresh_pace(2)
    assert health.fresh_pace(20) is None


def test_failing_upstream_rests_longer_each_time() -> None:
    health = Health()
    for _ in range(2):
        health.record_failure(0, 0)
    assert health.is_usable(0)
    health.record_failure(0, 0)
    assert not health.is_usable(0.4)
    assert health.is_usable(0.5)
    health.record_failure(1, 0)
    assert not health.is_usable(1.9)
    health.record_success()
    assert health.is_usable(1)


@pytest.mark.parametrize(
    ('stage', 'repeatable', 'attempts', 'budget', 'verdict'),
    [
        (Stage.NOT_SENT, False, 1, True, Verdict.RETRY),
        (Stage.NOT_SENT, False, 3, True, Verdict.NOT_RUN),
        (Stage.NOT_SENT, True, 1, False, Verdict.NOT_RUN),
        (Stage.SENT, True, 1, True, Verdict.RETRY),
        (Stage.SENT, True, 1, False, Verdict.UNKNOWN),
        (Stage.SENT, True, 3, True, Verdict.UNKNOWN),
        (Stage.SENT, False, 1, True, Verdict.UNKNOWN),
        (Stage.ANSWERING, True, 1, True, Verdict.CUT),
        (Stage.ANSWERING, False, 1, True, Verdict.CUT),
    ],
)
def test_what_follows_a_failure(
    stage: Stage,
    repeatable: bool,
    attempts: int,
    budget: bool,
    verdict: Verdict,
) -> None:
    failure = Failure(stage, repeatable, attempts)
    assert judge(failure, within_budget=budget) is verdict


def test_an_outage_is_not_multiplied() -> None:
    budget = RetryBudget()
    retried = 0
    for _ in range(1000):
        budget.note_request(0)
        retried += budget.take(0)
    assert retried <= 0.2 * 1000 + 10
    assert budget.take(60)


def test_clients_take_turns_in_the_queue() -> None:
    queue = FairQueue(10)
    for token in range(5):
        queue.push(Ticket('loud', 9, token))
    queue.push(Ticket('quiet', 9, 'q'))
    order = [queue.pop(0).client for _ in range(3)]
    assert order == ['loud', 'quiet', 'loud']


def test_a_full_queue_makes_room_for_the_quiet() -> None:
    queue = FairQueue(3)
    for token in range(3):
        queue.push(Ticket('loud', 9, token))
    assert isinstance(queue.push(Ticket('loud', 9, 3)), Refusal)
    evicted = queue.push(Ticket('quiet', 9, 'q'))
    assert evicted.token == 2
    assert len(queue) == 3


@pytest.mark.parametrize(
    ('own', 'others', 'share', 'free'),
    [
        (0, 0, 5, 16),
        (4, 12, 5, 1),
        (5, 10, 5, 0),
        (5, 8, 5, 1),
        (0, 16, 0, 0),
        (0, 15, 0, 1),
    ],
)
def test_the_last_slots_are_not_taken_twice(
    own: int,
    others: int,
    share: int,
    free: int,
) -> None:
    one = _one('x', own=own, others=others, share=share)
    assert one.free == free


def test_a_flood_leaves_slots_to_others() -> None:
    shares = ClientShares()
    shares.note('loud', 0)
    for _ in range(8):
        shares.enter('loud')
    assert not shares.is_over('loud', 8, 0)
    shares.note('quiet', 0)
    assert shares.is_over('loud', 8, 0)
    assert not shares.is_over('quiet', 8, 0)
    assert not shares.is_over('loud', 8, 11)
    shares.leave('loud')
    shares.leave('loud')
    shares.leave('loud')
    assert not shares.is_over('loud', 8, 0)


@pytest.mark.parametrize(
    ('start', 'prompt', 'repeatable', 'delay'),
    [
        (None, 'p', True, 1.0),
        (0.1, 'p', True, 0.3),
        (0.001, 'p', True, 0.03),
        (0.1, 'p', False, None),
        (0.1, 'p' * 5000, True, None),
    ],
)
def test_when_to_hedge(
    start: float | None,
    prompt: str,
    repeatable: bool,
    delay: float | None,
) -> None:
    rule = HedgeRule()
    if start is not None:
        rule.note_start(start)
    found = rule.delay(prompt, repeatable=repeatable)
    assert found == delay or found == pytest.approx(delay)


def test_late_tickets_are_dropped() -> None:
    queue = FairQueue(3)
    queue.push(Ticket('c', 1, 'late'))
    queue.push(Ticket('c', 9, 'good'))
    assert queue.pop(5).token == 'good'
    assert queue.pop(5) is None


@pytest.mark.parametrize(
    ('waiting', 'slots', 'wait'),
    [(0, 16, 0), (32, 16, 4), (8, 0, 16)],
)
def test_expected_wait(waiting: int, slots: int, wait: float) -> None:
    assert expected_wait(waiting, slots, 2) == wait


@pytest.mark.parametrize(
    ('online', 'silent', 'cap'),
    [
        (0, 0, SLOTS),
        (1, 0, 2),
        (15, 0, 1),
        (16, 0, 0),
        (40, 0, 0),
        (0, 1, 2),
        (0, 2, 0),
        (8, 1, 0),
    ],
)
def test_batch_gets_what_online_leaves(
    online: int,
    silent: int,
    cap: int,
) -> None:
    assert target_cap(SLOTS, OnlinePressure(online, silent)) == cap


def test_batch_yields_at_once_and_grows_after_calm() -> None:
    allowance = BatchCap(SLOTS)
    for step in range(20):
        allowance.update(OnlinePressure(0, 0), step)
    assert allowance.current == SLOTS
    assert allowance.update(OnlinePressure(SLOTS, 0), 20) == 0
    assert allowance.update(OnlinePressure(0, 0), 20.1) == 0
    assert allowance.update(OnlinePressure(0, 0), 20.25) == 4
    assert allowance.update(OnlinePressure(0, 0), 20.26) == 4


def test_batch_cap_does_not_flap() -> None:
    """Gaps of 0.1 s between online requests leave the cap where it is."""
    allowance = BatchCap(SLOTS)
    caps = []
    for step in range(100):
        busy = SLOTS if step % 2 else 0
        caps.append(allowance.update(OnlinePressure(busy, 0), step / 10))
    assert set(caps[2:]) == {0}


@pytest.mark.parametrize(
    ('found', 'expected'),
    [
        (('i0', 1, 'same'), Move.WAIT_HERE),
        (('i1', 1, 'same'), Move.ASK_HOME),
        (('i0', 0, 'same'), 'already_started'),
        (('i0', 1, 'other'), 'idempotency_key_reused'),
        (('i1', 9, 'other'), 'idempotency_key_reused'),
    ],
)
def test_what_a_taken_claim_means(
    found: tuple[str, int, str],
    expected: object,
) -> None:
    instance, incarnation, digest = found
    claim = Claim(
        instance=instance,
        home='127.0.0.1:1',
        incarnation=incarnation,
        digest=digest,
        at=0,
    )
    move = decide(claim, 'same', ('i0', 1))
    if isinstance(move, Refusal):
        move = move.kind.name
    assert move == expected


def test_leaving_marks_stick() -> None:
    marks = LeavingMarks()
    assert marks.mark('u', 3)
    assert not marks.mark('u', 2)
    marks.clear('u', 3)
    assert 'u' in marks
    marks.clear('u', 4)
    assert 'u' not in marks


@pytest.mark.parametrize('size', [1, 2, 7, 1000])
def test_a_stream_is_whole_only_with_its_end(size: int) -> None:
    event = b'data: {"choices":[{"text":" w1"}]}\n\n'
    sent = event * 3 + b'data: [DONE]\n\n'
    whole, reader, texts = WholeStream(), TokenStreamReader(), []
    parts = [sent[at : at + size] for at in range(0, len(sent), size)]
    for part in parts:
        assert not whole.is_complete
        whole.feed(part)
        texts += reader.feed(part)
    assert whole.is_complete
    assert reader.is_complete
    assert texts == [' w1'] * 3
