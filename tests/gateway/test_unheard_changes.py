"""A store that loses touch with its watches while objects change."""

import asyncio
import random
from collections.abc import Iterable, Iterator
from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import JOB_KIND, job_to_content
from gentiantrestle.gateway.follower import (
    WATCH_WAIT,
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.ports import (
    HistoryGoneError,
    Page,
    StoredObject,
)
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.store.watch_proof import DEAF_TIME
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

KIND = 'kind'
STEP = 0.01
DEAF_FROM = 10.0
LONG = 60.0
TICK = 0.1  # seconds between two changes of other kinds


class _DeafStore(MemoryStore):
    """For a while its watches hear nothing, and are cut at its end."""

    def __init__(self, deaf_from: float) -> None:
        super().__init__()
        self._deaf_from = deaf_from

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Return the changes since a revision as soon as there is one."""
        self._start_call('watch')
        ends_at = virtual_now() + wait
        while virtual_now() < ends_at:
            page = self._hear(kind, revision)
            if page.entries:
                return page
            was_deaf = self.is_deaf
            await asyncio.sleep(STEP)
            if was_deaf and not self.is_deaf:
                raise StoreUnavailableError('cut')
        return Page((), self.revision)

    @property
    def is_deaf(self) -> bool:
        """Return whether watches hear nothing now."""
        return 0 <= virtual_now() - self._deaf_from < DEAF_TIME

    def _hear(self, kind: str, revision: int) -> Page:
        if revision < self.compacted:
            raise HistoryGoneError(kind)
        found = () if self.is_deaf else self._since(kind, revision)
        return Page(found, self.revision)


class _World:
    """A follower of one kind, and what it was told."""

    def __init__(
        self,
        deaf_from: float = LONG,
        dropped_at: float = LONG,
        kept: float = LONG,
    ) -> None:
        """Drop the history once, and beside that what is ``kept`` s old."""
        self._dropped_at = dropped_at
        self._kept = kept
        self.store = _DeafStore(deaf_from)
        self.told: dict[str, float] = {}
        self._handlers = StoreHandlers(
            self._note, self._note, lambda: None, lambda: 0
        )

    async def run(self, changes: dict[float, str]) -> None:
        """Follow for long; write objects of these names at these times.

        Objects of other kinds change all the time.
        """
        follower = Follower(
            self.store,
            WatchSpec(KIND, 0),
            self._handlers,
            random.Random(1),
            WatchGate.always_open(),
        )
        follower.now = virtual_now
        following = asyncio.create_task(follower.run())
        for step in range(round(LONG / TICK)):
            name = changes.get(step / 10)
            if name is not None:
                self.store.write(KIND, StoredObject(name, 0, 1))
            self.store.write('other', StoredObject('other', 0, step))
            self._drop_history(step)
            await asyncio.sleep(TICK)
        following.cancel()

    def _drop_history(self, step: int) -> None:
        if step / 10 == self._dropped_at:
            self.store.compact()
        kept = round(self._kept / TICK)
        oldest = self.store.revision - kept
        self.store.compacted = max(self.store.compacted, oldest)

    def _note(self, found: Iterable[StoredObject], revision: int) -> None:
        for stored in found:
            self.told.setdefault(stored.name, virtual_now())


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[Any]]:
    """Collect the events that are logged, with their fields."""
    found: list[Any] = []

    def note(event: Any, **fields: Any) -> None:
        found.append((event, fields))

    monkeypatch.setattr(events, 'emit', note)
    return found


PHASES = [DEAF_FROM + number / 5 for number in range(10)]


@pytest.mark.parametrize('deaf_from', PHASES)
@pytest.mark.parametrize('later', [0.1, 0.4, 0.8])
def test_change_that_no_watch_heard_is_not_passed_over(
    deaf_from: float, later: float
) -> None:
    world = _World(deaf_from)
    changed_at = round(deaf_from + later, 1)
    run_virtual(world.run({changed_at: 'unheard'}))
    assert world.told['unheard'] <= deaf_from + DEAF_TIME + 0.3


def test_change_that_no_watch_heard_is_logged(logged: list[Any]) -> None:
    world = _World(10.6, dropped_at=30)
    run_virtual(world.run({10.7: 'unheard'}))
    lines = [
        fields for event, fields in logged if event == events.CHANGE_UNHEARD
    ]
    assert [line['name'] for line in lines] == ['unheard']
    assert lines[0]['watched'] < lines[0]['revision'] <= lines[0]['answered']


def test_nothing_is_logged_of_changes_that_are_heard(logged: list[Any]) -> None:
    world = _World()
    changes = {float(number): f'heard{number}' for number in range(50)}
    run_virtual(world.run(changes))
    assert set(changes.values()) == set(world.told)
    assert events.CHANGE_UNHEARD not in [event for event, _ in logged]


def test_calm_watches_call_the_store_no_more_often() -> None:
    world = _World()
    run_virtual(world.run({}))
    # A list, the short first watch, and the one that still waits.
    assert len(world.store.calls) <= LONG / WATCH_WAIT + 3


def test_history_of_some_seconds_is_enough_for_watches_without_changes() -> (
    None
):
    world = _World(kept=2 * WATCH_WAIT + 0.5)
    run_virtual(world.run({}))
    assert world.store.calls.count('list') == 1


async def test_job_that_should_have_been_told_is_logged(
    logged: list[Any],
) -> None:
    store = MemoryStore()
    store.write(JOB_KIND, StoredObject('job1', 0, job_to_content(make_job())))
    job_store = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    job_store.apply_changes([], store.revision + 1)
    await job_store.relist()
    await job_store.relist()
    assert [event for event, _ in logged] == [events.JOB_UNHEARD]
    assert 'job1' in job_store.index.entries
