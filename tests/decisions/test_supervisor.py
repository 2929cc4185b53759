"""Supervisors: restart with backoff, or give up by the stated rule."""

import asyncio

import pytest

from gentiantrestle.supervisor import (
    FIRST_DELAY,
    Child,
    RestartLimitError,
    RestartPolicy,
    Supervisor,
)


def test_delays_grow_until_the_rule_gives_up() -> None:
    rule = RestartPolicy()
    delays = [rule.next_delay(at) for at in range(6)]
    assert delays == [0.1, 0.2, 0.4, 0.8, 1.6, None]


def test_old_failures_are_forgotten() -> None:
    rule = RestartPolicy()
    for at in range(0, 1000, 61):
        assert rule.next_delay(at) == FIRST_DELAY


async def test_a_failed_child_runs_again() -> None:
    runs = []

    async def fail_once() -> None:
        runs.append('run')
        if len(runs) == 1:
            raise ValueError('once')

    children = (Child('child', fail_once),)
    await Supervisor(children, asyncio.get_running_loop().time).run()
    assert len(runs) == 2


async def test_a_hopeless_child_takes_the_others_down() -> None:
    forever = asyncio.Event()

    async def fail() -> None:
        raise ValueError('always')

    times = iter(range(100))
    children = (Child('bad', fail), Child('good', forever.wait))
    supervisor = Supervisor(children, lambda: next(times))
    with pytest.raises(ExceptionGroup) as caught:
        await supervisor.run()
    assert caught.group_contains(RestartLimitError)
