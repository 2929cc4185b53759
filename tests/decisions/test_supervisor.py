"""Supervisor: restarts with backoff, up to the restart limit."""

import asyncio

import pytest

from gentiantrestle.supervisor import (
    FIRST_DELAY,
    Child,
    RestartLimitError,
    RestartPolicy,
    Supervisor,
)


def test_restart_delay_doubles_until_the_limit() -> None:
    policy = RestartPolicy()
    delays = [policy.next_delay(failed_at) for failed_at in range(6)]
    assert delays == [0.1, 0.2, 0.4, 0.8, 1.6, None]


def test_failures_before_the_period_do_not_count() -> None:
    policy = RestartPolicy()
    for failed_at in range(0, 1000, 61):
        assert policy.next_delay(failed_at) == FIRST_DELAY


async def test_failed_child_is_restarted() -> None:
    runs = []

    async def fail_once() -> None:
        runs.append('run')
        if len(runs) == 1:
            raise ValueError('once')

    children = (Child('child', fail_once),)
    await Supervisor(children, asyncio.get_running_loop().time).run()
    assert len(runs) == 2


async def test_child_over_the_limit_ends_the_supervisor() -> None:
    forever = asyncio.Event()

    async def fail() -> None:
        raise ValueError('always')

    times = iter(range(100))
    children = (Child('bad', fail), Child('good', forever.wait))
    supervisor = Supervisor(children, lambda: next(times))
    with pytest.raises(ExceptionGroup) as caught:
        await supervisor.run()
    assert caught.group_contains(RestartLimitError)
