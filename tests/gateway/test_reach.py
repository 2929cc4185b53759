"""An instance finds out that it has no path to upstreams, and that it has."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import pytest

from gentiantrestle.gateway.reach.sampling import MAX_PROBES
from tests.gateway.reach_world import (
    ReachWorld,
    make_peer,
    make_upstreams,
)
from tests.gateway.samples import ENGINES
from tests.utils.virtual_time import run_virtual, virtual_now

ZONES = ('a1', 'a2', 'b1')
CALL_INTERVAL = 0.05  # seconds
CUT_AT = 1.0  # seconds
DECIDED_WITHIN = 1.0  # seconds
CONTACT_TIME = 4.0  # seconds
WAYS = ('hanging', 'refusing')


async def _play(
    world: ReachWorld,
    cut: Callable[[], set[str]],
    how: str,
    cut_for: float,
    play_for: float = 15,
) -> None:
    """Let callers come for ``play_for`` s, with a cut from ``CUT_AT`` on."""
    tasks = [
        asyncio.create_task(world.reach.run()),
        asyncio.create_task(world.watch()),
        asyncio.create_task(
            world.call(CALL_INTERVAL, int(play_for / CALL_INTERVAL))
        ),
    ]
    await asyncio.sleep(CUT_AT)
    getattr(world, how).update(cut())
    await asyncio.sleep(cut_for)
    getattr(world, how).clear()
    await asyncio.sleep(play_for - cut_for - CUT_AT)
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize('how', WAYS)
@pytest.mark.parametrize('per_zone', [1, 3, 300])
def test_broken_path_is_declared_and_taken_back_in_time(
    how: str, per_zone: int
) -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, per_zone), [make_peer('p')])
        await _play(world, lambda: world.everything, how, 6)
        return world

    world = run_virtual(main())
    (lost_at, lost), (back_at, rest) = world.seen
    assert lost == {ENGINES}
    assert not rest
    assert CUT_AT < lost_at < CUT_AT + DECIDED_WITHIN
    assert CUT_AT + 6 < back_at < CUT_AT + 6 + 2
    assert world.most_pending <= MAX_PROBES


@pytest.mark.parametrize('how', WAYS)
def test_dead_upstream_is_no_broken_path(how: str) -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, 2), [make_peer('p')])
        await _play(world, lambda: {f'{ENGINES}-a1-0'}, how, 6)
        return world

    assert not run_virtual(main()).seen


@pytest.mark.parametrize('how', WAYS)
@pytest.mark.parametrize('per_zone', [1, 2, 20])
def test_dead_zone_is_no_broken_path(how: str, per_zone: int) -> None:
    async def main() -> ReachWorld:
        upstreams = [
            *make_upstreams(ZONES, per_zone),
            *make_upstreams(ZONES, per_zone, 'small'),
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        await _play(world, lambda: world.ids(zone='a2'), how, 6)
        return world

    assert not run_virtual(main()).seen


def test_dead_zone_beside_many_services_is_no_broken_path() -> None:
    async def main() -> ReachWorld:
        upstreams = [
            upstream
            for number in range(9)
            for upstream in make_upstreams(ZONES, 2, f'model-{number}')
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        await _play(world, lambda: world.ids(zone='a2'), 'hanging', 6)
        return world

    assert not run_virtual(main()).seen


@pytest.mark.parametrize('how', WAYS)
def test_single_upstream_that_died_is_no_broken_path(how: str) -> None:
    async def main() -> ReachWorld:
        upstreams = [
            *make_upstreams(ZONES, 2),
            *make_upstreams(['a1'], 1, 'single'),
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        await _play(world, lambda: world.ids(service='single'), how, 6)
        return world

    assert not run_virtual(main()).seen


@pytest.mark.parametrize('how', WAYS)
def test_service_with_single_upstream_is_declared_if_nothing_is_reached(
    how: str,
) -> None:
    async def main() -> ReachWorld:
        upstreams = [
            *make_upstreams(ZONES, 1),
            *make_upstreams(['a1'], 1, 'single'),
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        await _play(world, lambda: world.everything, how, 6)
        return world

    world = run_virtual(main())
    found = {
        service: at for at, lost in reversed(world.seen) for service in lost
    }
    assert found.keys() == {ENGINES, 'single'}
    assert max(found.values()) < CUT_AT + DECIDED_WITHIN
    assert not world.seen[-1][1]


def test_services_are_declared_one_by_one() -> None:
    async def main() -> ReachWorld:
        upstreams = [
            *make_upstreams(ZONES, 2),
            *make_upstreams(ZONES, 2, 'small'),
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        await _play(world, lambda: world.ids(service='small'), 'hanging', 6)
        return world

    world = run_virtual(main())
    assert [lost for _, lost in world.seen] == [{'small'}, frozenset()]


def test_upstreams_of_one_zone_out_of_reach_leave_the_service_reached() -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, 4), [make_peer('p')])
        cut = world.ids(zone='a1') | world.ids(zone='a2')
        await _play(world, lambda: cut, 'hanging', 6)
        return world

    assert not run_virtual(main()).seen


@pytest.mark.parametrize('how', WAYS)
def test_cut_of_one_second_leaves_no_trace(how: str) -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, 4), [make_peer('p')])
        await _play(world, lambda: world.everything, how, 1, 6)
        assert not world.reach.cut_off
        return world

    world = run_virtual(main())
    assert not world.seen or not world.seen[-1][1]
    assert all(at < CUT_AT + 1 + 2 for at, _ in world.seen)
    assert max(at for at, _ in world.probes) < CUT_AT + 1 + 2


def test_path_that_comes_and_goes_is_used_later_each_time() -> None:
    async def main() -> list[float]:
        world = ReachWorld(make_upstreams(ZONES, 4), [make_peer('p')])
        running = asyncio.create_task(world.reach.run())
        times = []
        for _ in range(4):
            world.refusing = world.everything
            for upstream in world.upstreams:
                await world.attempt(upstream)
            await asyncio.sleep(1)
            assert world.reach.is_cut_off(ENGINES)
            world.refusing = set()
            returned_at = virtual_now()
            while world.reach.unreached:
                await asyncio.sleep(0.01)
            times.append(virtual_now() - returned_at)
        running.cancel()
        return times

    times = run_virtual(main())
    assert times[0] < 1.1
    assert times == sorted(times)
    assert times[2] > 2 * times[0]
    assert times[3] < 4.1


def test_calm_day_has_no_probe() -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, 4), [make_peer('p')])
        await _play(world, set, 'hanging', 1)
        return world

    assert not run_virtual(main()).probes


@pytest.mark.parametrize('seed', range(4))
def test_large_deployment_is_judged_by_few_probes(seed: int) -> None:
    async def main() -> ReachWorld:
        zones = [f'z{number}' for number in range(11)]
        upstreams = [
            upstream
            for number in range(6)
            for upstream in make_upstreams(zones, 58, f'model-{number}')
        ]
        world = ReachWorld(upstreams, [make_peer('p')])
        world.reach.rng = random.Random(seed)
        await _play(world, lambda: world.everything, 'hanging', 4, 8)
        return world

    world = run_virtual(main())
    rounds = Counter(at for at, _ in world.probes)
    assert max(rounds.values()) <= MAX_PROBES
    assert len(rounds) < 4 * 7
    found = {
        service: at for at, lost in reversed(world.seen) for service in lost
    }
    assert len(found) == 6
    assert max(found.values()) < CUT_AT + DECIDED_WITHIN
    assert not world.seen[-1][1]


def test_service_that_is_dead_for_all_is_passed_to_nobody() -> None:
    async def main() -> list[bool]:
        world = ReachWorld(make_upstreams(ZONES, 2), [make_peer('p')])
        running = asyncio.create_task(world.reach.run())
        world.refusing = world.everything
        world.reach.ask = world.ask
        for upstream in world.upstreams:
            await world.attempt(upstream)
        seen = []
        for cut_off in ((), (ENGINES,), (), (), (), ()):
            world.peers = (make_peer('p', *cut_off), make_peer('q', ENGINES))
            await asyncio.sleep(0.5)
            assert world.reach.unreached == {ENGINES}
            seen.append(world.reach.is_cut_off(ENGINES))
        running.cancel()
        return seen

    assert not any(run_virtual(main()))


def test_service_that_an_asked_instance_finds_dead_is_not_passed_on() -> None:
    async def main() -> list[bool]:
        world = ReachWorld(make_upstreams(ZONES, 2), [make_peer('p')])
        other = ReachWorld(world.upstreams)
        world.reach.ask = other.ask
        world.refusing = world.everything
        other.refusing = world.everything
        for upstream in world.upstreams:
            await world.attempt(upstream)
        seen = []
        for refusing in (other.refusing, set()):
            other.refusing = refusing
            await world.reach.probe_once()
            assert world.reach.unreached == {ENGINES}
            seen.append(world.reach.is_cut_off(ENGINES))
        assert other.probes
        return seen

    assert run_virtual(main()) == [False, True]


@pytest.mark.parametrize('leaving', [True, False])
def test_instance_that_leaves_is_a_way_round_and_serves_none_elsewhere(
    leaving: bool,
) -> None:
    async def main() -> ReachWorld:
        peers = [make_peer('p', leaving=leaving), make_peer('q', ENGINES)]
        world = ReachWorld(make_upstreams(ZONES, 2), peers)
        world.refusing = world.everything
        for upstream in world.upstreams:
            await world.attempt(upstream)
        await world.reach.probe_once()
        return world

    world = run_virtual(main())
    assert world.reach.unreached == {ENGINES}
    assert world.reach.is_cut_off(ENGINES)
    assert world.reach.is_served_elsewhere(ENGINES, 'q') != leaving
    assert not world.reach.is_served_elsewhere(ENGINES, 'p')


@pytest.mark.parametrize('seed', range(4))
def test_service_is_back_soon_though_few_of_its_upstreams_live(
    seed: int,
) -> None:
    async def main() -> float:
        world = ReachWorld(make_upstreams(ZONES, 20), [make_peer('p')])
        world.reach.rng.seed(seed)
        alive = {world.upstreams[7].id, world.upstreams[33].id}
        running = asyncio.create_task(world.reach.run())
        world.refusing = world.everything - alive
        await world.call(0.01, 120)
        world.refusing = world.everything
        await world.call(0.01, 200)
        assert world.reach.unreached
        world.refusing = world.everything - alive
        mended_at = virtual_now()
        while world.reach.unreached:
            await asyncio.sleep(0.1)
        running.cancel()
        return virtual_now() - mended_at

    assert run_virtual(main()) <= CONTACT_TIME


def test_service_without_upstreams_left_is_not_cut_off() -> None:
    async def main() -> ReachWorld:
        world = ReachWorld(make_upstreams(ZONES, 2), [make_peer('p')])
        running = asyncio.create_task(world.reach.run())
        world.refusing = world.everything
        for upstream in world.upstreams:
            await world.attempt(upstream)
        await asyncio.sleep(1)
        assert world.reach.unreached
        for upstream in world.upstreams:
            world.roster.remove(upstream.id, virtual_now())
        await asyncio.sleep(1)
        assert not world.reach.unreached
        probes = len(world.probes)
        await asyncio.sleep(5)
        assert len(world.probes) == probes
        running.cancel()

    run_virtual(main())
