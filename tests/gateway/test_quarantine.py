"""Which prompts are quarantined after crashes; no I/O."""

from collections.abc import Iterable

import pytest

from gentiantrestle.gateway.retry_policy import (
    MAX_CRASHES as MAX_CRASHES_OF_REQUEST,
)
from gentiantrestle.gateway.retry_policy import (
    AttemptOutcome,
    RequestProgress,
    Step,
    next_step,
)
from gentiantrestle.quarantine.codec import (
    pack_findings,
    unpack_findings,
)
from gentiantrestle.quarantine.culprits import (
    MIN_CRASHES,
    Crash,
    find_culprits,
)
from gentiantrestle.quarantine.evidence import (
    CRASH_LIFETIME,
    MAX_CRASHES,
    MAX_SUSPECTS,
    NO_FINDINGS,
    SHARING_TIME,
    Evidence,
)
from gentiantrestle.quarantine.guard import (
    OWED_INTERVAL,
    TRIAL_INTERVAL,
    QuarantinedError,
    RequestGuard,
)
from gentiantrestle.quarantine.sound import (
    MAX_SOUND,
    SOUND_LIFETIME,
)

START = 1_700_000_000


def crash(number: int, *prompts: str) -> Crash:
    """Return a crash; each prompt is a string of one-letter parts."""
    return Crash(f'u{number}/1', START, frozenset(map(frozenset, prompts)))


def culprits(*crashes: Crash) -> list[str]:
    """Return the culprits as sorted strings of parts."""
    return [''.join(sorted(found.traits)) for found in find_culprits(crashes)]


def crashed(count: int, *prompts: str, first: int = 0) -> Iterable[Crash]:
    """Yield crashes under the same prompts."""
    return [crash(first + number, *prompts) for number in range(count)]


def filled(*crashes: Crash) -> Evidence:
    """Return evidence with these crashes."""
    evidence = Evidence()
    add(evidence, *crashes)
    return evidence


def add(evidence: Evidence, *crashes: Crash) -> None:
    """Add crashes as an instance that sees them does."""
    for seen in crashes:
        for suspect in seen.suspects:
            evidence.add_crash(seen.upstream, suspect, seen.at)


def make_guard(*crashes: Crash, elected: bool = True) -> RequestGuard:
    """Return the guard of an instance that has seen crashes."""
    return RequestGuard(filled(*crashes), lambda key: elected)


@pytest.mark.parametrize(
    ('crashes', 'found'),
    [
        (crashed(MIN_CRASHES - 1, 'x'), []),
        (crashed(MIN_CRASHES, 'x'), ['x']),
        # Victims differ from one crash to the next.
        ([crash(1, 'x', 'a'), crash(2, 'x', 'b'), crash(3, 'c', 'x')], ['x']),
        # Other parts of the crashing prompts differ, too.
        ([crash(1, 'xa'), crash(2, 'xb'), crash(3, 'xc')], ['x']),
        # What can't be told apart is quarantined only together.
        (crashed(3, 'fx', 'f'), ['fx']),
        ([*crashed(3, 'fx', 'f'), crash(9, 'gx')], ['x']),
        # A victim of the first crashes is no culprit after the next one.
        ([*crashed(3, 'x', 'v'), crash(9, 'x')], ['x']),
        # Two culprits at the same time.
        ([*crashed(4, 'x'), *crashed(3, 'y', first=9)], ['x', 'y']),
        # Unrelated crashes have no culprit.
        ([crash(number, str(number)) for number in range(9)], []),
    ],
)
def test_culprit_is_the_part_that_recurs_among_opening_answers(
    crashes: list[Crash], found: list[str]
) -> None:
    assert culprits(*crashes) == found


def test_sound_part_is_not_quarantined_with_its_neighbour() -> None:
    evidence = filled(*crashed(MIN_CRASHES, 'fx', 'f', 'fv'))
    evidence.note_sound('fv', START)
    assert [found.traits for found in evidence.culprits(START)] == [
        frozenset('x')
    ]


def test_part_that_was_sound_long_ago_can_become_a_culprit() -> None:
    evidence = filled(*crashed(MIN_CRASHES, 'x'))
    evidence.note_sound('x', START)
    assert not evidence.culprits(START + SOUND_LIFETIME - 1)
    assert evidence.culprits(START + SOUND_LIFETIME + 1)


def test_instance_learns_culprits_and_sound_parts_from_another() -> None:
    informed = filled(*crashed(MIN_CRASHES, 'fx'))
    informed.note_sound('f', START)
    restarted = Evidence()
    packed = pack_findings(informed.findings(START + SHARING_TIME + 1))
    restarted.merge(unpack_findings(packed), START)
    assert [found.traits for found in restarted.culprits(START)] == [
        frozenset('x')
    ]


def test_instances_that_each_saw_one_crash_conclude_the_same() -> None:
    seen = [filled(one) for one in crashed(MIN_CRASHES, 'fx')]
    for teller in seen:
        for hearer in seen:
            hearer.merge(teller.findings(START), START)
    for evidence in seen:
        assert [found.crashes for found in evidence.culprits(START)] == [3]
    assert len({evidence.findings(START) for evidence in seen}) == 1


def test_crashes_seen_by_several_instances_count_once() -> None:
    evidence = filled(crash(1, 'x'))
    evidence.merge(filled(crash(1, 'x')).findings(START), START)
    evidence.merge(filled(crash(1, 'x', 'y')).findings(START), START)
    assert len(evidence.findings(START).crashes) == 1


def test_findings_without_crashes_are_not_sent() -> None:
    evidence = Evidence()
    evidence.note_sound('f', START)
    assert evidence.findings(START) == NO_FINDINGS
    assert pack_findings(NO_FINDINGS) is None


def test_old_crashes_are_forgotten() -> None:
    evidence = filled(*crashed(MIN_CRASHES, 'x'))
    assert evidence.culprits(START + CRASH_LIFETIME - 1)
    assert not evidence.culprits(START + CRASH_LIFETIME + 1)


def test_evidence_is_bounded_and_keeps_what_shows_a_culprit() -> None:
    evidence = filled(*crashed(MIN_CRASHES, 'x'))
    for number in range(2 * MAX_CRASHES):
        evidence.add_crash(f'other{number}', frozenset((str(number),)), START)
    for number in range(2 * MAX_SUSPECTS):
        evidence.add_crash('large', frozenset((str(number),)), START)
    evidence.note_sound(map(str, range(2 * MAX_SOUND)), START - 999)
    found = evidence.findings(START)
    assert len(found.crashes) <= MAX_CRASHES
    assert max(len(one.suspects) for one in found.crashes) <= MAX_SUSPECTS
    assert [one.traits for one in evidence.culprits(START)] == [frozenset('x')]


def test_prompt_with_all_parts_of_a_culprit_is_held_back() -> None:
    guard = make_guard(*crashed(MIN_CRASHES, 'fx'))
    guard.check('f', START)
    guard.check('x', START)
    with pytest.raises(QuarantinedError):
        guard.check('afx', START)
    assert guard.find_refused('afx', START)


def test_elected_instance_tries_a_quarantined_prompt_once() -> None:
    guard = make_guard(*crashed(MIN_CRASHES, 'x'))
    later = START + TRIAL_INTERVAL
    with pytest.raises(QuarantinedError):
        guard.check('x', later - 1)
    assert guard.find_refused('x', later) is None
    guard.check('x', later)
    with pytest.raises(QuarantinedError):
        guard.check('x', later + 1)


def test_trials_of_two_culprits_do_not_renew_each_other() -> None:
    guard = make_guard(
        *crashed(MIN_CRASHES, 'x'), *crashed(MIN_CRASHES, 'y', first=9)
    )
    later = START + TRIAL_INTERVAL
    guard.check('x', later)
    guard.check('y', later)
    for part in 'xy':
        with pytest.raises(QuarantinedError):
            guard.check(part, later + 1)


def test_crash_reported_by_a_clock_that_is_ahead_is_forgotten_in_time() -> None:
    evidence = Evidence()
    ahead = filled(
        *(
            seen._replace(at=START + 10 * CRASH_LIFETIME)
            for seen in crashed(MIN_CRASHES, 'x')
        )
    )
    told = ahead.findings(START + 10 * CRASH_LIFETIME)
    evidence.merge(told, START)
    assert evidence.culprits(START)
    assert not evidence.culprits(START + CRASH_LIFETIME + 1)


def test_completed_trial_ends_the_quarantine_and_a_crash_prolongs_it() -> None:
    guard = make_guard(*crashed(MIN_CRASHES, 'x'))
    later = START + TRIAL_INTERVAL
    guard.check('x', later)
    add(guard.evidence, crash(9, 'x')._replace(at=later))
    with pytest.raises(QuarantinedError):
        guard.check('x', later + 2 * TRIAL_INTERVAL - 1)
    guard.check('x', later + 2 * TRIAL_INTERVAL)
    guard.evidence.note_sound('x', later + 2 * TRIAL_INTERVAL)
    guard.check('x', later + 2 * TRIAL_INTERVAL + 2)


def test_any_instance_tries_an_owed_item_again_however_many_crashed() -> None:
    guard = make_guard(*crashed(9, 'x'), elected=False)
    later = START + OWED_INTERVAL
    with pytest.raises(QuarantinedError):
        guard.check('x', later - 1, owed=True)
    assert guard.find_refused('x', later, owed=True) is None
    guard.check('x', later, owed=True)
    with pytest.raises(QuarantinedError):
        guard.check('x', later + OWED_INTERVAL - 1, owed=True)
    guard.check('x', later + OWED_INTERVAL, owed=True)


def test_instance_that_is_not_elected_tries_nothing() -> None:
    guard = make_guard(*crashed(MIN_CRASHES, 'x'), elected=False)
    with pytest.raises(QuarantinedError):
        guard.check('x', START + 10 * TRIAL_INTERVAL)


@pytest.mark.parametrize(
    ('progress', 'step'),
    [
        (RequestProgress(True, 9, runs=1, crashes=1), Step.RETRY),
        (
            RequestProgress(True, 9, runs=2, crashes=MAX_CRASHES_OF_REQUEST),
            Step.ANSWER_UNKNOWN,
        ),
    ],
)
def test_request_is_not_repeated_after_two_upstreams_crashed_on_it(
    progress: RequestProgress, step: Step
) -> None:
    assert next_step(AttemptOutcome.LOST, progress, 4) is step


@pytest.mark.parametrize(
    ('progress', 'step'),
    [
        (RequestProgress(True, 9), Step.REFUSE),
        (RequestProgress(True, 9, runs=1), Step.ANSWER_UNKNOWN),
        (RequestProgress(True, 9, 1, response_started=True), Step.CUT),
    ],
)
def test_quarantined_request_is_refused_only_if_it_has_not_run(
    progress: RequestProgress, step: Step
) -> None:
    assert next_step(AttemptOutcome.QUARANTINED, progress, 4) is step
