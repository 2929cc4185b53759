"""Jobs accepted beside a store that writes late, in any order, or never."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.access import JobCaller
from gentiantrestle.gateway.batch.api import ACCEPTED, OK
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.ports import CancelJob, ReadBody, ReadResults
from gentiantrestle.gateway.retrying_store import RetryingStore
from tests.gateway.late_store import Fate, LateStore, Turn
from tests.gateway.samples import make_batch_route, make_table
from tests.gateway.test_account_jobs import Instance
from tests.utils.virtual_time import run_virtual, virtual_now

INSTANCES = 2
PATIENCE = 4.0  # seconds a caller waits for a submission
SETTLED = 20.0  # seconds, after all writes that are late
NOT_RUN = frozenset((429, 503))
GONE_CALLER = 0
CALLER = JobCaller()
ITEMS = ('job1-0', 'job1-1')
WHOLE, PARTS = 100000, 300  # bytes of an object, for one or several

DELAYS = st.sampled_from((0.1, 0.7, 1.9, 4.0, 6.0))
TURNS = st.lists(st.builds(Turn, st.sampled_from(Fate), DELAYS), max_size=14)


class _Step(NamedTuple):
    """What happens ``after`` s; ``act`` is submit, cancel or restart."""

    act: str
    after: float
    place: int = 0
    events: int = 1


STEPS = st.lists(
    st.builds(
        _Step,
        st.sampled_from(('submit', 'submit', 'submit', 'cancel', 'restart')),
        st.sampled_from((0, 0.2, 1.0, 3.0)),
        st.integers(0, INSTANCES - 1),
        st.integers(1, 2),
    ),
    min_size=1,
    max_size=6,
)


class _World:
    """Instances on one store, and what callers were told of one job."""

    def __init__(self, store: LateStore, account: str | None) -> None:
        self.store = store
        self.account = account
        self.store.real_size_limit = WHOLE
        self._runs = 0
        self.instances = [self.start() for _ in range(INSTANCES)]
        self.answers: list[int] = []
        self.sent: set[int] = set()
        self.is_cancelled = False

    def start(self) -> Instance:
        self._runs += 1
        return Instance(
            RetryingStore(self.store, virtual_now),
            make_table(make_batch_route()),
            virtual_now,
            f'run/{self._runs}',
        )

    async def play(self, steps: list[_Step]) -> None:
        calls: dict[asyncio.Task[None], int] = {}
        for step in steps:
            await asyncio.sleep(step.after)
            if step.act == 'restart':
                ended = [
                    call for call, place in calls.items() if place == step.place
                ]
                for call in ended:
                    call.cancel()
                self.instances[step.place] = self.start()
                continue
            act = {'submit': self.submit, 'cancel': self.cancel}[step.act]
            calls[asyncio.create_task(act(step))] = step.place
        for found in await asyncio.gather(*calls, return_exceptions=True):
            assert found is None or isinstance(found, asyncio.CancelledError)

    async def submit(self, step: _Step) -> None:
        instance = self.instances[step.place]
        was_accepted = ACCEPTED in self.answers
        self.sent.add(step.events)
        status = GONE_CALLER
        try:
            with suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE):
                    status = await _submit(instance, self.account, step.events)
        finally:
            self.answers.append(status)
        if was_accepted:
            assert status not in range(400, 500)

    async def cancel(self, step: _Step) -> None:
        instance = self.instances[step.place]
        operation = CancelJob('job1')
        status = await instance.outcome('cancel', operation, CALLER)
        self.is_cancelled = self.is_cancelled or status == OK

    async def read_bodies(self, instance: Instance) -> list[bytes]:
        """Return the bodies that an instance gives; the job must be there."""
        answer = await instance.api.read_results(ReadResults('job1', 0, 0))
        assert msgspec.json.decode(answer.body)['total'] == len(ITEMS)
        return [
            (await instance.api.read_body(ReadBody('job1', item))).body
            for item in ITEMS
        ]


async def _submit(instance: Instance, account: str | None, events: int) -> int:
    try:
        await instance.submit(account, events=events)
    except RefusedError as exc:
        return exc.refusal.kind.status
    return ACCEPTED


async def _play(
    store: LateStore, account: str | None, steps: list[_Step]
) -> None:
    world = _World(store, account)
    await world.play(steps)
    await asyncio.sleep(SETTLED)
    store.calm()
    if set(world.answers) <= NOT_RUN:
        assert JOB_KIND not in store.kinds
    if ACCEPTED not in world.answers:
        await world.submit(_Step('submit', 0))
        assert world.answers[-1] == ACCEPTED
    readers = [*world.instances, world.start()]
    found = [await world.read_bodies(reader) for reader in readers]
    sent = [[b'{"events":%d}' % events] * 2 for events in world.sent]
    assert found[0] in sent
    assert found == [found[0]] * len(found)
    for reader in readers:
        await reader.job_store.relist()
        assert await _submit(reader, world.account, 1) == ACCEPTED
        if world.is_cancelled:
            assert reader.index.entries['job1'].job.cancelled


@pytest.mark.parametrize('account', [None, 'anna'])
@pytest.mark.parametrize('size', [WHOLE, PARTS])
@settings(max_examples=150, derandomize=True, deadline=None)
@given(turns=TURNS, refusals=st.lists(st.booleans(), max_size=6), steps=STEPS)
def test_accepted_job_is_kept_in_any_order_of_writes_and_tries(
    size: int,
    account: str | None,
    turns: list[Turn],
    refusals: list[bool],
    steps: list[_Step],
) -> None:
    store = LateStore(iter(turns), iter(refusals), size)
    run_virtual(_play(store, account, steps))
