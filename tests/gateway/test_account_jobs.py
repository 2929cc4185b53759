"""Batch jobs of client accounts: whose they are, and what each may have."""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gentiantrestle.errors import (
    CONFLICT,
    NOT_FOUND,
    OVERLOADED,
    STORE_UNAVAILABLE,
    UNAUTHORIZED,
    UPSTREAM_OUTCOME_UNKNOWN,
    ErrorKind,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.batch.access import JobCaller
from gentiantrestle.gateway.batch.api import JobApi, Submission
from gentiantrestle.gateway.batch.body_parts import part_key, split_bodies
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import JOB_KIND, job_to_content
from gentiantrestle.gateway.model import RoutingTable
from gentiantrestle.gateway.ports import CancelJob, ReadBody, ReadResults
from gentiantrestle.gateway.routing import Router
from gentiantrestle.platform.dialect import PlatformDialect
from tests.gateway.caller_world import BOOK
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import (
    HOST,
    make_batch_route,
    make_job,
    make_request,
    make_table,
)
from tests.gateway.wire_samples import job_doc

LIMIT = 40  # tokens, those of two jobs
NOBODY = JobCaller('', refuse(UNAUTHORIZED, 'The request has no key'))
ANNA, BERT = JobCaller('anna'), JobCaller('bert')
EVERYBODY = (ANNA, BERT, NOBODY)
CALLS = [
    ('read_results', ReadResults('job1', 0, 0)),
    ('read_body', ReadBody('job1', 'job1-0')),
    ('cancel', CancelJob('job1')),
]


class Instance:
    """The job calls of an instance, and what it knows of jobs."""

    def __init__(
        self,
        store: MemoryStore,
        table: RoutingTable | None = None,
        now: Callable[[], float] = float,
        run_name: str = 'one/1',
    ) -> None:
        """Share ``store`` with other instances."""
        self.router = Router()
        default = make_table(make_batch_route(max_tokens=LIMIT))
        self.router.apply(table or default._replace(accounts=BOOK))
        self.index = JobIndex()
        self.job_store = JobStore(store, self.index, random.Random(1), now)

        async def refresh(entry: Any) -> None:
            await self.job_store.refresh(entry)

        self.api = JobApi(
            SimpleNamespace(
                index=self.index,
                job_store=self.job_store,
                dialect=PlatformDialect(),
                router=self.router,
            ),
            SimpleNamespace(wake=lambda: None),
            SimpleNamespace(refresh=refresh, runs_here=lambda _: True),
            run_name,
        )

    async def submit(
        self, account: str | None, name: str = 'job1', events: int = 1
    ) -> None:
        """Submit a job of two items that make ``events`` events each."""
        body = msgspec.json.encode(job_doc(name, 2, events))
        req = make_request(name, body=body, target='/lists/j', host=HOST)
        await self.api.submit(
            req._replace(account=account),
            self.router.table.routes[0],
            Submission(0, 1),
        )

    async def outcome(
        self, call: str, operation: Any, caller: JobCaller
    ) -> Any:
        """Return the status of a call, or the kind of its refusal."""
        try:
            answer = await getattr(self.api, call)(operation, caller)
        except RefusedError as exc:
            return exc.refusal.kind
        return answer.status


def refusal_of(caught: pytest.ExceptionInfo[RefusedError]) -> ErrorKind:
    """Return the kind of a refusal."""
    return caught.value.refusal.kind


@pytest.mark.parametrize(('call', 'operation'), CALLS)
@pytest.mark.parametrize('knows', [True, False])
async def test_job_is_there_for_its_account_only(
    call: str, operation: Any, knows: bool
) -> None:
    store = MemoryStore()
    await Instance(store).submit('anna')
    for caller, expected in ((BERT, NOT_FOUND), (NOBODY, UNAUTHORIZED)):
        instance = Instance(store)
        if knows:
            await instance.job_store.relist()
        assert await instance.outcome(call, operation, caller) is expected
        assert not instance.index.entries['job1'].job.cancelled
    assert await Instance(store).outcome(call, operation, ANNA) == 200


@pytest.mark.parametrize(('call', 'operation'), CALLS)
@pytest.mark.parametrize('is_down', [True, False])
async def test_job_of_another_account_looks_like_none(
    call: str, operation: Any, is_down: bool
) -> None:
    calls: list[list[str]] = []
    outcomes: list[ErrorKind] = []
    expected = STORE_UNAVAILABLE if is_down else NOT_FOUND
    for exists in (True, False):
        store = MemoryStore()
        instance = Instance(store)
        if exists:
            await instance.submit('anna')
        store.calls.clear()
        store.down = is_down
        outcomes.append(await instance.outcome(call, operation, BERT))
        calls.append(store.calls)
    assert outcomes == [expected, expected]
    assert calls[0] == calls[1] == ['get']


@pytest.mark.parametrize(('call', 'operation'), CALLS)
async def test_job_of_an_anonymous_route_is_there_for_everybody(
    call: str, operation: Any
) -> None:
    store = MemoryStore()
    await Instance(store).submit('')
    for caller in EVERYBODY:
        assert await Instance(store).outcome(call, operation, caller) == 200


async def test_job_of_an_older_build_is_there_for_every_valid_key() -> None:
    store = MemoryStore()
    await Instance(store).submit(None)
    assert 'account' not in store.kinds[JOB_KIND]['job1'].content
    call, operation = CALLS[0]
    found = [
        await Instance(store).outcome(call, operation, caller)
        for caller in EVERYBODY
    ]
    assert found == [200, 200, UNAUTHORIZED]
    open_table = make_table(make_batch_route(anonymous=True))
    instance = Instance(store, open_table._replace(accounts=BOOK))
    assert await instance.outcome(call, operation, NOBODY) == 200


async def test_job_is_there_for_all_once_there_are_no_accounts() -> None:
    store = MemoryStore()
    await Instance(store).submit('anna')
    for call, operation in CALLS:
        assert (
            await Instance(store).outcome(call, operation, JobCaller()) == 200
        )


@pytest.mark.parametrize('is_known', [True, False])
async def test_job_is_confirmed_to_its_account_only(is_known: bool) -> None:
    store = MemoryStore()
    first = Instance(store)
    await first.submit('anna')
    stored = dict(store.kinds)
    other = first if is_known else Instance(store)
    with pytest.raises(RefusedError) as caught:
        await other.submit('bert')
    assert refusal_of(caught) is CONFLICT
    assert store.kinds == stored
    await other.submit('anna')


async def test_job_of_an_older_build_is_confirmed_to_whoever_repeats_it() -> (
    None
):
    store = MemoryStore()
    await Instance(store).submit(None)
    await Instance(store).submit('anna')
    assert 'account' not in store.kinds[JOB_KIND]['job1'].content


@pytest.mark.parametrize('size', [100000, 260])
async def test_bodies_of_another_account_are_not_taken_for_a_job(
    size: int,
) -> None:
    store = MemoryStore(size)
    parts = split_bodies(make_job(account='bert', count=6), size)
    assert (len(parts) > 1) == (size < 1000)
    for index, part in enumerate(parts):
        await store.create(*part_key('job1', index), part)
    instance = Instance(store)
    with pytest.raises(RefusedError) as caught:
        await instance.submit('anna')
    assert refusal_of(caught) is CONFLICT
    assert JOB_KIND not in store.kinds
    await instance.submit('bert')


async def test_job_that_may_be_another_accounts_is_not_confirmed() -> None:
    store = MemoryStore()
    job = make_job(account='bert')
    await store.create(JOB_KIND, 'job1', job_to_content(job))
    instance = Instance(store)
    create = store.create

    async def create_then_fail(kind: str, name: str, content: Any) -> bool:
        created = await create(kind, name, content)
        store.down = kind == JOB_KIND
        return created

    store.create = create_then_fail
    with pytest.raises(RefusedError) as caught:
        await instance.submit('anna')
    assert refusal_of(caught) is UPSTREAM_OUTCOME_UNKNOWN


class _LosingStore(MemoryStore):
    """A store from which jobs are removed as soon as they are found."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object."""
        created = await super().create(kind, name, content)
        if kind == JOB_KIND and not created:
            await self.delete(kind, name)
        return created


@pytest.mark.parametrize('account', [None, 'anna'])
async def test_job_that_was_removed_meanwhile_is_not_confirmed(
    account: str | None,
) -> None:
    store = _LosingStore()
    await Instance(store).submit(account)
    with pytest.raises(RefusedError) as caught:
        await Instance(store).submit(account)
    assert refusal_of(caught) is UPSTREAM_OUTCOME_UNKNOWN


async def test_waiting_tokens_are_counted_for_each_account() -> None:
    instance = Instance(MemoryStore())
    await instance.submit('anna', 'a1')
    await instance.submit('anna', 'a2')
    with pytest.raises(RefusedError) as caught:
        await instance.submit('anna', 'a3')
    assert refusal_of(caught) is OVERLOADED
    await instance.submit('bert', 'b1')
    await instance.submit('', 'n1')
    assert len(instance.index.entries) == 4


async def test_waiting_tokens_are_counted_together_without_accounts() -> None:
    instance = Instance(MemoryStore())
    await instance.submit(None, 'a1')
    await instance.submit(None, 'a2')
    with pytest.raises(RefusedError) as caught:
        await instance.submit(None, 'a3')
    assert refusal_of(caught) is OVERLOADED
