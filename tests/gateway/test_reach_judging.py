"""What sets off that a service isn't reached, with plain times."""

import random
from collections.abc import Collection

import pytest

from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.judging import (
    Probed,
    ProbeRound,
    ReachChange,
    ReachJudge,
)
from gentiantrestle.gateway.reach.probing import round_interval
from gentiantrestle.gateway.reach.sampling import (
    MAX_PER_ZONE,
    MAX_PROBES,
    choose_sample,
)
from gentiantrestle.gateway.reach.way_round import WayRound
from tests.gateway.reach_world import make_peer, make_upstreams
from tests.gateway.samples import ENGINES

ROUND_TIME = 0.3  # seconds
UPSTREAMS = make_upstreams(['a1', 'a2'], 2)
SINGLE = make_upstreams(['a1'], 1, 'single')


class _Judging:
    """A judge, and the rounds that it is given."""

    def __init__(self, upstreams: Collection[Upstream]) -> None:
        self.judge = ReachJudge()
        self._upstreams = upstreams

    def round(
        self, now: float, *reached: str, has_way: bool = True
    ) -> list[ReachChange]:
        """Probe all upstreams; those of the zones ``reached`` are reached."""
        probed = sorted(
            (Probed(up, up.zone in reached) for up in self._upstreams),
            key=lambda probe: probe.reached,
        )
        ended = now + ROUND_TIME
        for probe in probed:
            self.judge.note(probe.upstream, ended, reached=probe.reached)
        usable: dict[str, list[Upstream]] = {}
        for upstream in self._upstreams:
            usable.setdefault(upstream.service, []).append(upstream)
        passed_on = frozenset(usable) if has_way else frozenset()
        done = ProbeRound(now, ended, tuple(probed), passed_on)
        return self.judge.finish_round(done, usable, ended)


@pytest.mark.parametrize(
    ('upstreams', 'reached', 'lost'),
    [
        (UPSTREAMS, (), {ENGINES}),
        (UPSTREAMS, ('a1',), set()),
        (UPSTREAMS, ('a1', 'a2'), set()),
        (UPSTREAMS[:2], (), {ENGINES}),
        (UPSTREAMS[1:3], (), {ENGINES}),
        (SINGLE, (), set()),
        ([*SINGLE, *UPSTREAMS[2:]], ('a2',), set()),
        ([*SINGLE, *UPSTREAMS], (), {ENGINES, 'single'}),
    ],
)
def test_round_decides(
    upstreams: list[Upstream], reached: tuple[str, ...], lost: set[str]
) -> None:
    judging = _Judging(upstreams)
    judging.judge.note(upstreams[0], 0, reached=False)
    changes = judging.round(0, *reached)
    assert judging.judge.unreached == lost
    assert {change.service for change in changes if change.lost} == lost


def test_failures_of_callers_alone_decide_nothing() -> None:
    judge = ReachJudge()
    for upstream in UPSTREAMS:
        judge.note(upstream, 0, reached=False)
    assert not judge.unreached
    assert judge.suspects == {ENGINES}


def test_connection_that_was_made_during_a_round_speaks_against_it() -> None:
    judging = _Judging(UPSTREAMS)
    judging.judge.note(UPSTREAMS[0], 0, reached=False)
    judging.judge.note(UPSTREAMS[1], 0.1, reached=True)
    assert not judging.round(0)
    assert judging.round(0.5)


def test_success_ends_a_row_of_failures() -> None:
    judge = ReachJudge()
    judge.note(UPSTREAMS[0], 0, reached=False)
    judge.note(UPSTREAMS[1], 1, reached=True)
    assert not judge.suspects
    assert judge.undecided_since() is None


def test_restarted_upstream_is_not_in_doubt() -> None:
    judge = ReachJudge()
    judge.note(UPSTREAMS[0], 0, reached=False)
    judge.forget(UPSTREAMS[0].id)
    assert not judge.suspects


def test_two_good_rounds_in_a_row_bring_a_service_back() -> None:
    judging = _Judging(UPSTREAMS)
    rounds = ((), ('a1',), (), ('a1', 'a2'), ('a1', 'a2'))
    lost = []
    for number, zones in enumerate(rounds):
        judging.round(number, *zones)
        lost.append(bool(judging.judge.unreached))
    assert lost == [True, True, True, True, False]


def test_one_of_several_upstreams_brings_a_service_back_later() -> None:
    judging = _Judging([UPSTREAMS[0], UPSTREAMS[2]])
    judging.round(0)
    seen = []
    for number in range(1, 5):
        judging.round(number, 'a1')
        seen.append(bool(judging.judge.unreached))
    assert seen == [True, True, True, False]


@pytest.mark.parametrize(
    ('has_way', 'expected'), [(True, [2, 4, 8, 8, 2]), (False, [2] * 5)]
)
def test_relapse_doubles_the_rounds_where_others_serve_meanwhile(
    expected: list[int], *, has_way: bool
) -> None:
    judging = _Judging(UPSTREAMS)
    now = float(0)
    needed = []
    for pause in (0, 1, 1, 1, 11):
        now += pause
        judging.round(now)
        rounds = 0
        while judging.judge.unreached:
            now += 0.5
            rounds += 1
            judging.round(now, 'a1', 'a2', has_way=has_way)
        needed.append(rounds)
    assert needed == expected


def test_round_of_a_paused_process_is_not_valid() -> None:
    assert ProbeRound(0, 0.31, ()).is_valid
    assert not ProbeRound(0, 1.5, ()).is_valid


def test_rounds_come_less_often_where_nothing_gets_decided() -> None:
    assert round_interval(0, 1, cut_off=False) == 0.25
    assert round_interval(0, 3, cut_off=False) == 1
    assert round_interval(0, 3, cut_off=True) == 0.5
    assert round_interval(None, 3, cut_off=True) == 0.5


@pytest.mark.parametrize('services', [1, 2, 6, 30])
@pytest.mark.parametrize('zones', [1, 2, 11])
def test_sample_is_bounded_and_begins_with_what_is_in_doubt(
    services: int, zones: int
) -> None:
    names = [f'z{number}' for number in range(zones)]
    usable = {
        f'model-{number}': make_upstreams(names, 50, f'model-{number}')
        for number in range(services)
    }
    chosen = choose_sample(usable, {'model-0'}, random.Random(1))
    ours = [up.zone for up in chosen if up.service == 'model-0']
    assert len(chosen) <= MAX_PROBES
    assert len(set(chosen)) == len(chosen)
    assert len(ours) >= min(2 * zones, 8)
    assert len(set(ours)) == min(zones, len(ours))
    assert max(ours.count(zone) for zone in ours) <= MAX_PER_ZONE
    if services > 1:
        assert len(chosen) > len(ours)


def test_way_round_needs_an_instance_that_confirms_its_reach() -> None:
    way = WayRound()
    lost = frozenset((ENGINES,))
    way.update(lost, (make_peer('p'),))
    assert not way.cut_off
    assert way.unconfirmed(lost) == lost
    way.confirm(ENGINES)
    way.update(lost, (make_peer('p'),))
    assert way.cut_off == lost
    assert not way.unconfirmed(lost)


@pytest.mark.parametrize(
    ('lost', 'peer'),
    [
        (frozenset((ENGINES,)), make_peer('p', ENGINES)),
        (frozenset((ENGINES,)), make_peer('p', ENGINES, leaving=True)),
        (frozenset(), make_peer('p')),
    ],
)
def test_way_round_that_is_gone_has_to_be_confirmed_again(
    lost: frozenset[str], peer: Peer
) -> None:
    way = WayRound()
    services = frozenset((ENGINES,))
    way.confirm(ENGINES)
    way.update(services, (make_peer('p'),))
    way.update(lost, (peer,))
    assert not way.cut_off
    way.update(services, (make_peer('p'),))
    assert not way.cut_off
