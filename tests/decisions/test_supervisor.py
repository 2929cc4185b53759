"""Supervisor: restarts with backoff, up to the restart limit."""

import asyncio

import pytest

from gentiantrestle import supervisor as supervision
from gentiantrestle.config import Settings
from gentiantrestle.context import Context
from gentiantrestle.daemon.entry.service import Entry
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.tree import SupervisionTree
from gentiantrestle.supervisor import (
    FIRST_DELAY,
    Child,
    RestartLimitError,
    RestartPolicy,
    Supervisor,
)
from tests.utils.ports import HOST, free_ports


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


async def test_other_children_run_until_what_is_owed_at_the_end_is_done() -> (
    None
):
    owed, done = asyncio.Event(), asyncio.Event()

    async def fail() -> None:
        raise ValueError('always')

    async def serve() -> None:
        await owed.wait()
        done.set()
        await asyncio.Event().wait()

    async def end() -> None:
        owed.set()
        await done.wait()

    times = iter(range(100))
    children = (Child('bad', fail), Child('good', serve))
    supervisor = Supervisor(children, lambda: next(times))
    supervisor.before_end = end
    with pytest.raises(ExceptionGroup) as caught:
        await supervisor.run()
    assert caught.group_contains(RestartLimitError)
    assert done.is_set()


async def test_daemon_whose_child_fails_for_good_ends_its_requests_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    graces = []

    async def fail(reporter: Reporter) -> None:
        raise ValueError('always')

    async def stop(entry: Entry, grace: float) -> int:
        graces.append(grace)
        return 0

    monkeypatch.setattr(supervision, 'MAX_RESTARTS', 0)
    monkeypatch.setattr(Reporter, 'run', fail)
    monkeypatch.setattr(Entry, 'stop', stop)
    http, peer, store = free_ports(3)
    cfg = Settings.from_sources(
        {
            'instance': 'i',
            'zone': 'a1',
            'region': 'a',
            'http_port': str(http),
            'peer_port': str(peer),
            'store': f'{HOST}:{store}',
        },
        {},
    )
    tree = SupervisionTree.from_config(Context.from_config(cfg))
    with pytest.raises(ExceptionGroup):
        await tree.run()
    assert graces == [cfg.grace]


async def test_stop_that_fails_leaves_the_reason_of_the_end_as_it_is() -> None:
    async def fail() -> None:
        raise ValueError('always')

    async def fail_to_stop() -> None:
        raise OSError('no announcement')

    times = iter(range(100))
    supervisor = Supervisor((Child('bad', fail),), lambda: next(times))
    supervisor.before_end = fail_to_stop
    with pytest.raises(ExceptionGroup) as caught:
        await supervisor.run()
    assert caught.group_contains(RestartLimitError)
    assert not caught.group_contains(OSError)
