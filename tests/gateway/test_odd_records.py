"""Jobs, copies of state and handlers that meet what nobody can read."""

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.daemon.membership.codec import LENGTH, encode
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    JOB_KIND,
    RESULT_KIND,
    chunk_name,
    job_to_content,
)
from gentiantrestle.gateway.datagrams import DatagramPort
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.models import Address
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.platform.object_decoder import ObjectDecoder
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.wire.peer import ttypes
from tests.gateway.memory import MemoryStore
from tests.gateway.odd_entries import (
    JSON_VALUES,
    ODD_ENTRIES,
    good_entry,
    make_list,
    make_object,
)
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual

KIND = 'kind'


@given(st.dictionaries(st.text(), JSON_VALUES) | JSON_VALUES)
def test_configuration_and_job_of_any_shape_raise_nothing(found: Any) -> None:
    stored = StoredObject('main', 1, found, found)
    StoreDocumentDecoder().read_table(stored)
    _job_store(MemoryStore()).apply(stored)


def _job_store(store: MemoryStore) -> JobStore:
    return JobStore(store, JobIndex(), random.Random(1), lambda: 0)


def _copier() -> tuple[StateCopier, FleetState, JobStore]:
    state = FleetState(StoreDocumentDecoder(), 'main', lambda: 0)
    store = _job_store(MemoryStore())
    return StateCopier(state, store, lambda: 0), state, store


@pytest.mark.parametrize('kind', ODD_ENTRIES)
def test_copy_with_an_odd_entry_carries_the_others(kind: str) -> None:
    odd = make_object('odd', 2, ODD_ENTRIES[kind])
    page = ObjectDecoder().decode_list(make_list(good_entry('a'), odd))
    source, source_state, _ = _copier()
    source_state.replace_upstreams(page.entries, page.revision)
    target, target_state, _ = _copier()
    target.apply_copy(source.build_copy(target.build_request()))
    assert target.revisions == source.revisions
    assert set(target_state.upstreams) == {'a', 'odd'}
    assert [entry.id for entry in target_state.roster.entries()] == ['a']


@pytest.mark.parametrize(
    'content', [b'', b'{}', b'[]', b'[1]', b'\xff', b'[' * 5000 + b']' * 5000]
)
def test_copy_with_unreadable_objects_raises_nothing(content: bytes) -> None:
    target, state, _ = _copier()
    odd = ttypes.KnownObject('odd', 3, content)
    target.apply_copy(
        ttypes.Copy(
            config=odd,
            upstreams_revision=5,
            upstreams=[odd],
            jobs_revision=4,
            jobs=[odd],
            lapse_left=0,
        )
    )
    assert state.upstreams_revision == 5
    assert not state.roster.entries()


@pytest.mark.parametrize(
    'changes',
    [
        {'submitted': 'now'},
        {'items': [['a', 2**31]]},
        {'items': [['a', -1]]},
        {'items': [['a']]},
        {'items': [[['a'], 1]]},
        {'version': 2**63},
        {'acceptor': None},
    ],
)
def test_malformed_job_is_not_indexed(changes: dict[str, Any]) -> None:
    store = _job_store(MemoryStore())
    content = {**job_to_content(make_job()), **changes}
    assert store.apply(StoredObject('job1', 1, content)) is None
    assert store.apply(StoredObject('job1', 1, None, error='odd')) is None
    assert not store.index.entries


@pytest.mark.parametrize('status', ['done', [], 7, {'state': []}])
def test_job_with_odd_status_stays_open(status: Any) -> None:
    store = _job_store(MemoryStore())
    stored = StoredObject('job1', 1, job_to_content(make_job()), status)
    assert store.apply(stored).open


@pytest.mark.parametrize(
    'content',
    [None, [], {}, {'bodies': 7}, {'bodies': [[1]]}, {'results': [1]}],
)
async def test_unreadable_part_of_a_job_is_not_taken_for_missing(
    content: Any,
) -> None:
    store = MemoryStore()
    job_store = _job_store(store)
    store.write(JOB_KIND, StoredObject('job1', 0, job_to_content(make_job())))
    entry = await job_store.find('job1')
    store.write(BODY_KIND, StoredObject('job1', 0, content))
    store.write(RESULT_KIND, StoredObject(chunk_name('job1', 0), 0, content))
    with pytest.raises(StoreUnavailableError):
        await job_store.load_bodies(entry)
    with pytest.raises(StoreUnavailableError):
        await job_store.refresh(entry)
    assert not entry.results


class _Faulty:
    """Handlers that fail some times, and then note what they get."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.names: list[str] = []
        self.lists = 0

    def handlers(self) -> StoreHandlers:
        return StoreHandlers(
            self._replace, self._change, lambda: None, lambda: 0
        )

    def _replace(self, found: Any, revision: int) -> None:
        self.lists += 1
        self.names = [stored.name for stored in found]

    def _change(self, found: Any, revision: int) -> None:
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        self.names += [stored.name for stored in found]


def test_follower_lists_again_after_a_handler_failed() -> None:
    async def run() -> _Faulty:
        store = MemoryStore()
        faulty = _Faulty(2)
        follower = Follower(
            store,
            WatchSpec(KIND, 0),
            faulty.handlers(),
            random.Random(1),
            WatchGate.always_open(),
        )
        task = asyncio.create_task(follower.run())
        for name in ('one', 'two', 'three'):
            await asyncio.sleep(5)
            store.write(KIND, StoredObject(name, 0, 1))
        await asyncio.sleep(5)
        task.cancel()
        return faulty

    faulty = run_virtual(run())
    assert set(faulty.names) == {'one', 'two', 'three'}
    assert faulty.lists == 3


def test_datagram_that_can_not_be_handled_raises_nothing() -> None:
    port = DatagramPort(Address('127.0.0.1', 1))
    received: list[Any] = []

    def handle(message: Any) -> None:
        received.append(message)
        raise ZeroDivisionError

    port.on('slot_ask', handle)
    ask = ttypes.Envelope(call=0, slot_ask=ttypes.SlotAsk())
    for payload in (encode(ask)[LENGTH.size :], b'\xff' * 9):
        port.datagram_received(payload, ('127.0.0.1', 1))
    assert len(received) == 1
