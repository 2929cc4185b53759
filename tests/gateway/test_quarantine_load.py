"""Plays prompts that crash upstreams in virtual time, beside sound ones."""

import pytest

from benchmarks.quarantine_arms import Plan, play

MAX_LATE = 3  # crashing requests sent later than 4 s after the fifth crash
MIN_SOUND_SHARE = 0.5  # of those served with perfect knowledge


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [0.5, 2, 6])
@pytest.mark.parametrize('families', [1, 40])
def test_crashing_prompts_are_held_back_and_sound_ones_served(
    seed: int, rate: float, families: int
) -> None:
    plan = Plan(crashing_rate=rate, families=families, seed=seed)
    played = play(plan)
    bound = play(plan._replace(arm='perfect'))
    assert played.late <= MAX_LATE
    served = MIN_SOUND_SHARE * bound.counts['served']
    assert played.counts['served'] >= served


def test_without_a_rule_crashing_prompts_go_on_ending_upstreams() -> None:
    assert play(Plan('no rule')).late > MAX_LATE
