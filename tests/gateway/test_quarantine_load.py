"""Plays prompts that crash upstreams in virtual time, beside sound ones."""

import pytest

from benchmarks.quarantine_arms import (
    CRASHING_PART,
    CRASHING_REQUEST,
    Plan,
    play,
)

MAX_LATE = 3  # crashing requests sent later than 4 s after the last free crash
MIN_SOUND_SHARE = 0.5  # of those served with perfect knowledge


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [0.5, 2, 6])
@pytest.mark.parametrize('families', [1, 40])
@pytest.mark.parametrize('culprit', [CRASHING_PART, CRASHING_REQUEST])
def test_crashing_requests_are_held_back_and_sound_ones_served(
    seed: int, rate: float, families: int, culprit: str
) -> None:
    plan = Plan('rule', culprit, crashing_rate=rate, families=families)
    plan = plan._replace(seed=seed)
    played = play(plan)
    bound = play(plan._replace(arm='perfect'))
    assert played.late <= MAX_LATE
    served = MIN_SOUND_SHARE * bound.counts['served']
    assert played.counts['served'] >= served


@pytest.mark.parametrize('culprit', [CRASHING_PART, CRASHING_REQUEST])
def test_without_a_rule_crashing_requests_go_on_ending_upstreams(
    culprit: str,
) -> None:
    assert play(Plan('no rule', culprit)).late > MAX_LATE


def test_parts_alone_do_not_show_which_request_crashes_upstreams() -> None:
    assert play(Plan('parts only', CRASHING_REQUEST)).late > MAX_LATE


# All upstreams ended before anything was known to be sound; all was refused.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('ends_at', [0.3, 0.6])
@pytest.mark.parametrize('upstreams', [3, 6, 30])
def test_sound_requests_are_served_soon_after_all_upstreams_ended(
    seed: int, ends_at: float, upstreams: int
) -> None:
    plan = Plan('rule', crashing_rate=0, families=1, sound_rate=60)
    plan = plan._replace(upstreams=upstreams, ends_at=ends_at, seed=seed)
    played = play(plan)
    bound = play(plan._replace(arm='perfect'))
    served = MIN_SOUND_SHARE * bound.counts['served']
    assert played.counts['served'] >= served
