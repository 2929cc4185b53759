"""Decision code of online requests, upstreams and batch slots, without I/O."""

import pytest

from gentiantrestle.daemon.batch.caps import BatchCap, target_cap
from gentiantrestle.daemon.online.admission import expected_wait
from gentiantrestle.daemon.online.claims import (
    Claim,
    ClaimAction,
    resolve_claim,
)
from gentiantrestle.daemon.online.client_shares import ClientShares
from gentiantrestle.daemon.online.hedging import HedgeRule
from gentiantrestle.daemon.online.queue import FairQueue, Ticket
from gentiantrestle.daemon.online.retries import (
    MAX_CRASHES,
    Failure,
    RetryBudget,
    Stage,
    Verdict,
    classify_failure,
)
from gentiantrestle.daemon.upstreams.adapter import (
    MAX_EVENT,
    StreamMonitor,
    TokenStreamReader,
)
from gentiantrestle.daemon.upstreams.health import (
    FAILURES_TO_OPEN,
    FIRST_BACKOFF,
    Health,
    compare_pace,
)
from gentiantrestle.daemon.upstreams.leaving import LeavingUpstreams
from gentiantrestle.daemon.upstreams.loads import OnlinePressure
from gentiantrestle.daemon.upstreams.routing import (
    POLICIES,
    Candidate,
    Snapshot,
)
from gentiantrestle.errors import Refusal

SLOTS = 16


def _candidate(name: str, **changes: object) -> Candidate:
    fields = {
        'upstream': name,
        'zone': 'a1',
        'region': 'a',
        'slots': SLOTS,
        'local_online': 0,
        'remote_online': 0,
        'batch': 0,
        'share': 5,
        'slowness': 1.0,
        'usable': True,
    }
    return Candidate(**{**fields, **changes})


FULL = {'local_online': SLOTS}
UNUSABLE = {'usable': False}


@pytest.mark.parametrize('name', sorted(POLICIES))
@pytest.mark.parametrize(
    ('candidates', 'expected'),
    [
        ([], 'no_upstream'),
        ([_candidate('x', **UNUSABLE)], 'no_upstream'),
        ([_candidate('x', **FULL)], 'overloaded'),
        ([_candidate('x', **FULL), _candidate('y')], 'y'),
        ([_candidate('x', **UNUSABLE), _candidate('y')], 'y'),
        ([_candidate('x', zone='a2'), _candidate('y')], 'y'),
        ([_candidate('x', zone='a2'), _candidate('y', **FULL)], 'x'),
        (
            [
                _candidate('other_region', zone='b1', region='b'),
                _candidate('same_region', zone='a2'),
                _candidate('same_zone', **UNUSABLE),
            ],
            'same_region',
        ),
        (
            [
                _candidate('other_region', zone='b1', region='b'),
                _candidate('same_zone', **FULL),
            ],
            'other_region',
        ),
        ([_candidate('x', slowness=10.0)], 'x'),
    ],
)
def test_every_policy_chooses_the_nearest_free_upstream(
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
        (_candidate('b'), _candidate('a', local_online=1)),
        (_candidate('b'), _candidate('a', batch=4)),
        (_candidate('b', local_online=2), _candidate('a', slowness=3.0)),
        (_candidate('b', remote_online=2), _candidate('a', local_online=3)),
    ],
)
def test_least_cost_prefers_the_less_loaded_or_faster_upstream(
    better: Candidate, worse: Candidate
) -> None:
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
def test_upstream_is_slow_relative_to_its_peers(
    pace: float | None,
    peers: list[float | None],
    slow: bool,
) -> None:
    assert compare_pace(pace, peers).is_slow is slow


def test_pace_is_unknown_when_the_last_sample_is_old() -> None:
    health = Health()
    for step in range(20):
        health.record_pace(9, step / 10)
    assert health.recent_pace(2)
    assert health.recent_pace(20) is None


def test_backoff_grows_with_each_failure_until_a_success() -> None:
    health = Health()
    for _ in range(2):
        health.record_failure(0, 0, 0)
    assert health.is_usable(0)
    health.record_failure(0, 0, 0)
    assert not health.is_usable(0.4)
    assert health.is_usable(0.5)
    health.record_failure(1, 0, 1)
    assert not health.is_usable(1.9)
    health.record_success()
    assert health.is_usable(1)


def test_attempts_that_break_off_together_do_not_lengthen_the_backoff() -> None:
    health = Health()
    for _ in range(FAILURES_TO_OPEN + 9):
        health.record_failure(1, 0, 0)
    assert health.is_usable(1 + FIRST_BACKOFF)
    health.record_failure(2, 0, 1.9)
    assert not health.is_usable(2 + FIRST_BACKOFF)


def test_failure_after_a_success_counts_whenever_it_started() -> None:
    health = Health()
    for _ in range(FAILURES_TO_OPEN):
        health.record_failure(1, 0, 0)
    health.record_success()
    for _ in range(FAILURES_TO_OPEN):
        health.record_failure(2, 0, 0)
    assert not health.is_usable(2)


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
def test_classify_failure(
    stage: Stage,
    repeatable: bool,
    attempts: int,
    budget: bool,
    verdict: Verdict,
) -> None:
    failure = Failure(stage, repeatable, attempts)
    assert classify_failure(failure, within_budget=budget) is verdict


@pytest.mark.parametrize('stage', [Stage.SENT, Stage.NOT_SENT])
def test_request_under_which_two_upstreams_ended_is_not_repeated(
    stage: Stage,
) -> None:
    failure = Failure(stage, repeatable=True, attempts=2, crashes=MAX_CRASHES)
    verdict = classify_failure(failure, within_budget=True)
    assert verdict is not Verdict.RETRY


def test_retry_budget_limits_retries_during_an_outage() -> None:
    budget = RetryBudget()
    retried = 0
    for _ in range(1000):
        budget.record_request(0)
        retried += budget.try_spend(0)
    assert retried <= 0.2 * 1000 + 10
    assert budget.try_spend(60)


def test_queue_serves_clients_in_turn() -> None:
    queue = FairQueue(10)
    for index in range(5):
        queue.push(Ticket('busy', 9, index))
    queue.push(Ticket('light', 9, 'q'))
    order = [queue.pop(0).client for _ in range(3)]
    assert order == ['busy', 'light', 'busy']


def test_full_queue_evicts_the_newest_request_of_the_longest_client() -> None:
    queue = FairQueue(3)
    for index in range(3):
        queue.push(Ticket('busy', 9, index))
    assert isinstance(queue.push(Ticket('busy', 9, 3)), Refusal)
    evicted = queue.push(Ticket('light', 9, 'q'))
    assert evicted.payload == 2
    assert len(queue) == 3


@pytest.mark.parametrize(
    ('local_online', 'remote_online', 'share', 'free_slots'),
    [
        (0, 0, 5, 16),
        (4, 12, 5, 1),
        (5, 10, 5, 0),
        (5, 8, 5, 1),
        (0, 16, 0, 0),
        (0, 15, 0, 1),
    ],
)
def test_free_slots_keep_a_margin_beyond_the_share(
    local_online: int,
    remote_online: int,
    share: int,
    free_slots: int,
) -> None:
    candidate = _candidate(
        'x', local_online=local_online, remote_online=remote_online, share=share
    )
    assert candidate.free_slots == free_slots


def test_client_limit_applies_while_another_client_is_active() -> None:
    shares = ClientShares()
    shares.record_request('busy', 0)
    for _ in range(8):
        shares.acquire('busy')
    assert not shares.is_at_limit('busy', 8, 0)
    shares.record_request('light', 0)
    assert shares.is_at_limit('busy', 8, 0)
    assert not shares.is_at_limit('light', 8, 0)
    assert not shares.is_at_limit('busy', 8, 11)
    shares.release('busy')
    shares.release('busy')
    shares.release('busy')
    assert not shares.is_at_limit('busy', 8, 0)


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
def test_hedge_delay(
    start: float | None,
    prompt: str,
    repeatable: bool,
    delay: float | None,
) -> None:
    rule = HedgeRule()
    if start is not None:
        rule.record_start(start)
    actual_delay = rule.delay(prompt, repeatable=repeatable)
    assert actual_delay == delay or actual_delay == pytest.approx(delay)


def test_queue_drops_tickets_past_their_deadline() -> None:
    queue = FairQueue(3)
    queue.push(Ticket('c', 1, 'late'))
    queue.push(Ticket('c', 9, 'good'))
    assert queue.pop(5).payload == 'good'
    assert queue.pop(5) is None


@pytest.mark.parametrize(
    ('waiting', 'slots', 'wait'),
    [(0, 16, 0), (32, 16, 4), (8, 0, 16)],
)
def test_expected_wait(waiting: int, slots: int, wait: float) -> None:
    assert expected_wait(waiting, slots, 2) == wait


@pytest.mark.parametrize(
    ('online', 'uncertain_instances', 'cap'),
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
def test_batch_cap_is_what_online_load_leaves(
    online: int,
    uncertain_instances: int,
    cap: int,
) -> None:
    assert target_cap(SLOTS, OnlinePressure(online, uncertain_instances)) == cap


def test_batch_cap_drops_at_once_and_grows_after_a_calm_period() -> None:
    batch_cap = BatchCap(SLOTS)
    for step in range(20):
        batch_cap.update(OnlinePressure(0, 0), step)
    assert batch_cap.current == SLOTS
    assert batch_cap.update(OnlinePressure(SLOTS, 0), 20) == 0
    assert batch_cap.update(OnlinePressure(0, 0), 20.1) == 0
    assert batch_cap.update(OnlinePressure(0, 0), 20.25) == 4
    assert batch_cap.update(OnlinePressure(0, 0), 20.26) == 4


def test_batch_cap_ignores_short_gaps_in_online_load() -> None:
    """Gaps of 0.1 s between online requests do not raise the cap."""
    batch_cap = BatchCap(SLOTS)
    caps = []
    for step in range(100):
        busy = SLOTS if step % 2 else 0
        caps.append(batch_cap.update(OnlinePressure(busy, 0), step / 10))
    assert set(caps[2:]) == {0}


@pytest.mark.parametrize(
    ('found', 'expected'),
    [
        (('i0', 1, 'same'), ClaimAction.WAIT_HERE),
        (('i1', 1, 'same'), ClaimAction.ASK_HOME),
        (('i0', 0, 'same'), 'already_started'),
        (('i0', 1, 'other'), 'idempotency_key_reused'),
        (('i1', 9, 'other'), 'idempotency_key_reused'),
    ],
)
def test_resolve_claim(
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
    action = resolve_claim(claim, 'same', ('i0', 1))
    if isinstance(action, Refusal):
        action = action.kind.name
    assert action == expected


def test_upstream_is_leaving_until_a_newer_incarnation_is_live() -> None:
    leaving = LeavingUpstreams()
    assert leaving.add('u', 3)
    assert not leaving.add('u', 2)
    leaving.clear_if_newer('u', 3)
    assert 'u' in leaving
    leaving.clear_if_newer('u', 4)
    assert 'u' not in leaving


@pytest.mark.parametrize('reader', [StreamMonitor(), TokenStreamReader()])
def test_event_without_end_is_overlong(
    reader: StreamMonitor | TokenStreamReader,
) -> None:
    reader.feed(b'data: ' + bytes(MAX_EVENT // 2))
    assert not reader.is_overlong
    reader.feed(bytes(MAX_EVENT // 2))
    assert reader.is_overlong


@pytest.mark.parametrize('size', [1, 2, 7, 1000])
def test_stream_is_complete_only_with_its_end_marker(size: int) -> None:
    event = b'data: {"choices":[{"text":" w1"}]}\n\n'
    sent = event * 3 + b'data: [DONE]\n\n'
    monitor, reader, texts = StreamMonitor(), TokenStreamReader(), []
    parts = [sent[start : start + size] for start in range(0, len(sent), size)]
    for part in parts:
        assert not monitor.is_complete
        monitor.feed(part)
        texts += reader.feed(part)
    assert monitor.is_complete
    assert reader.is_complete
    assert texts == [' w1'] * 3
