"""Where streams began: remembered, shared, saved, and found out again."""

import asyncio

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.model import Request, Route, Share
from gentiantrestle.gateway.request_handler import within_timeout
from gentiantrestle.gateway.streams.origins import (
    RETENTION,
    OriginLog,
    StreamOrigin,
)
from gentiantrestle.gateway.streams.records import STREAM_KIND, VERSIONS_NAME
from gentiantrestle.gateway.streams.resolving import OriginResolver
from gentiantrestle.gateway.streams.saving import StreamSaver
from gentiantrestle.gateway.streams.sharing import COPIES, OriginSharer
from gentiantrestle.gateway.streams.versions import (
    VIEW_LAG,
    VersionHistory,
)
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.gateway.origins import list_upstream, make_sources
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)

OLD = make_upstream('u-old', version='v1')
NEW = make_upstream('u-new', version='v1.1')
ROUTE = make_route()
SPLIT = make_route(shares=(Share(ENGINES, 90), Share('others', 10)))


class Time:
    """A clock that tests set."""

    def __init__(self) -> None:
        """Start late enough that nothing is before zero."""
        self.seconds = 100.0

    def now(self) -> float:
        """Return the time in s."""
        return self.seconds

    def pass_by(self, seconds: float) -> None:
        """Go forward."""
        self.seconds += seconds


class Instance:
    """The parts of one instance's run, without a network."""

    def __init__(self, store: MemoryStore, clock: Time) -> None:
        """Start a run that leads its zone and has peers."""
        self.clock = clock
        self.log = OriginLog()
        self.history = VersionHistory(clock.now())
        self.saver = StreamSaver('a1', store, self.log, self.history, clock.now)
        self.saver.is_leading = _always
        self.resolver = OriginResolver(
            (self.log,),
            self.history,
            make_sources(store, clock.now),
            clock.now,
        )

    async def see(self, *upstreams: object) -> None:
        """Learn which upstreams exist, and save what follows from it."""
        self.history.note(upstreams, self.clock.now())
        await self.saver.save(self.clock.now())

    async def see_for(self, seconds: float, *upstreams: object) -> None:
        """See the same upstreams for some time."""
        for _ in range(int(seconds)):
            self.clock.pass_by(1)
            await self.see(*upstreams)

    async def resolve(self, attempt: str, route: Route = ROUTE) -> StreamOrigin:
        """Find out where a stream began."""
        return await self.resolver.resolve(_take_up(attempt), route)


def _always(now: float) -> bool:
    return True


def _never(now: float) -> bool:
    return False


def _take_up(attempt: str) -> Request:
    return make_request('again', resumes=attempt, last_event=3, deadline=1000)


@pytest.fixture
def store() -> MemoryStore:
    """Return an empty store."""
    return MemoryStore()


@pytest.fixture
def clock() -> Time:
    """Return a clock that tests set."""
    return Time()


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    module = 'gentiantrestle.gateway.streams.resolving'
    monkeypatch.setattr(f'{module}.SECOND_LOOK_AFTER', 0)


async def test_saved_streams_are_known_after_all_instances_ended(
    store: MemoryStore, clock: Time
) -> None:
    before = Instance(store, clock)
    before.log.add(StreamOrigin('first', ENGINES, 'v1'), clock.now())
    await before.see(OLD, NEW)
    after = Instance(store, clock)
    after.history.note((NEW,), clock.now())

    assert await after.resolve('first') == ('first', ENGINES, 'v1')


async def test_streams_of_one_version_are_saved_once_another_one_comes(
    store: MemoryStore, clock: Time
) -> None:
    before = Instance(store, clock)
    before.history.adopt({}, clock.now())
    before.log.add(StreamOrigin('first', ENGINES, 'v1'), clock.now())
    await before.see(OLD)
    assert set(store.kinds[STREAM_KIND]) == {VERSIONS_NAME}
    await before.see(OLD, NEW)
    after = Instance(store, clock)
    after.history.note((NEW,), clock.now())

    assert await after.resolve('first') == ('first', ENGINES, 'v1')


async def test_streams_of_a_split_route_are_saved_at_one_version(
    store: MemoryStore, clock: Time
) -> None:
    before = Instance(store, clock)
    before.history.adopt({}, clock.now())
    before.saver.split_services = lambda: frozenset((ENGINES, 'others'))
    before.log.add(StreamOrigin('first', ENGINES, 'v1'), clock.now())
    await before.see(OLD)

    assert await Instance(store, clock).resolve('first', SPLIT) == (
        'first',
        ENGINES,
        'v1',
    )


async def test_unknown_streams_of_a_mixed_service_are_not_joined(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD, NEW)

    with pytest.raises(RefusedError):
        await instance.resolve('unknown')


async def test_versions_that_left_while_all_were_down_still_count(
    store: MemoryStore, clock: Time
) -> None:
    await Instance(store, clock).see(OLD)
    after = Instance(store, clock)
    await after.see(NEW)

    with pytest.raises(RefusedError):
        await after.resolve('unknown')
    await after.see_for(RETENTION + 2, NEW)
    assert (await after.resolve('later')).version == 'v1.1'


async def test_streams_of_a_service_with_one_version_need_no_record(
    store: MemoryStore, clock: Time
) -> None:
    await Instance(store, clock).see(OLD)
    after = Instance(store, clock)
    after.history.note((OLD,), clock.now())

    assert await after.resolve('unknown') == ('unknown', ENGINES, 'v1')
    assert store.kinds[STREAM_KIND].keys() == {VERSIONS_NAME}


async def test_a_version_first_seen_by_the_one_that_is_asked_counts(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD)
    instance.history.note((OLD, NEW), clock.now())

    with pytest.raises(RefusedError):
        await instance.resolve('unknown')


async def test_streams_of_split_routes_keep_their_service(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD)
    instance.log.add(StreamOrigin('first', 'others', 'v7'), clock.now())

    assert (await instance.resolve('first', SPLIT)).service == 'others'
    with pytest.raises(RefusedError):
        await instance.resolve('unknown', SPLIT)


async def test_streams_of_a_service_that_the_route_left_are_refused(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD)
    instance.log.add(StreamOrigin('first', 'others', 'v7'), clock.now())

    with pytest.raises(RefusedError):
        await instance.resolve('first')


async def test_two_that_save_at_once_lose_no_stream(
    store: MemoryStore, clock: Time
) -> None:
    one, two = Instance(store, clock), Instance(store, clock)
    for name, instance in (('a', one), ('b', two), ('c', one)):
        instance.log.add(StreamOrigin(name, ENGINES, 'v1'), clock.now())
        # The first write of each meets an object that the other has changed.
        await instance.see(OLD, NEW)
        await instance.see(OLD, NEW)
    reader = Instance(store, clock)

    for name in 'abc':
        assert (await reader.resolve(name)).version == 'v1'


async def test_a_version_is_unlisted_only_once_it_has_been_gone_for_long(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD, NEW)
    await instance.see_for(RETENTION - 1, NEW)
    listed = store.kinds[STREAM_KIND][VERSIONS_NAME].content
    assert listed == {'versions': {ENGINES: ['v1', 'v1.1']}}

    await instance.see_for(3, NEW)
    listed = store.kinds[STREAM_KIND][VERSIONS_NAME].content
    assert listed == {'versions': {ENGINES: ['v1.1']}}


async def test_a_new_leader_does_not_unlist_what_it_has_not_seen(
    store: MemoryStore, clock: Time
) -> None:
    await Instance(store, clock).see(OLD, NEW)
    await Instance(store, clock).see(OLD)

    listed = store.kinds[STREAM_KIND][VERSIONS_NAME].content
    assert listed == {'versions': {ENGINES: ['v1', 'v1.1']}}


async def test_a_new_leader_that_has_looked_long_unlists_what_is_gone(
    store: MemoryStore, clock: Time
) -> None:
    await Instance(store, clock).see(OLD, NEW)
    leader = Instance(store, clock)
    leader.saver.is_leading = _never
    await leader.see_for(RETENTION + 1, NEW)
    leader.saver.is_leading = _always
    await leader.see_for(VIEW_LAG + 2, NEW)

    listed = store.kinds[STREAM_KIND][VERSIONS_NAME].content
    assert listed == {'versions': {ENGINES: ['v1.1']}}


def test_streams_are_shared_while_a_version_that_was_gone_is_listed() -> None:
    history = VersionHistory(0)
    history.adopt({ENGINES: frozenset(('v1', 'v1.1'))}, 0)
    for second in range(int(RETENTION)):
        history.note((NEW,), second)
        assert history.may_be_mixed(ENGINES, second)
    history.note((NEW,), RETENTION + 1)
    assert not history.may_be_mixed(ENGINES, RETENTION + 1)


def test_no_stream_is_shared_if_only_the_version_in_use_is_listed() -> None:
    history = VersionHistory(0)
    history.note((NEW,), 0)
    history.adopt({ENGINES: frozenset(('v1.1',))}, 0)
    assert not history.may_be_mixed(ENGINES, 0)


def test_streams_are_shared_until_an_instance_has_looked_long_enough() -> None:
    history = VersionHistory(0)
    for second in range(int(RETENTION)):
        history.note((NEW,), second)
        assert history.may_be_mixed(ENGINES, second)

    history.note((NEW,), RETENTION)
    assert not history.may_be_mixed(ENGINES, RETENTION)


async def test_without_the_store_no_view_of_this_instance_is_trusted(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see_for(RETENTION + 1, OLD)
    assert (await instance.resolve('unknown')).version == 'v1'
    store.down = True
    with pytest.raises(RefusedError):
        await instance.resolve('unknown')


# ORDER: other instances save what they see some time after it is listed.
async def test_a_version_that_only_the_list_of_upstreams_has_counts(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await list_upstream(store, 'v1')
    await instance.see_for(RETENTION + 1, OLD)
    await list_upstream(store, 'v1.1')
    with pytest.raises(RefusedError):
        await instance.resolve('unknown')


async def test_an_instance_that_has_just_started_needs_the_noted_versions(
    store: MemoryStore, clock: Time
) -> None:
    await list_upstream(store, 'v1')
    with pytest.raises(RefusedError):
        await Instance(store, clock).resolve('unknown')


async def test_take_ups_at_one_time_share_a_read(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    await instance.see(OLD)
    store.calls.clear()
    await asyncio.gather(*(instance.resolve(f'a{one}') for one in range(20)))

    # One of the streams, and one of the upstreams.
    assert store.calls.count('list') <= 2


async def test_an_unreadable_object_hides_no_stream(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    instance.log.add(StreamOrigin('first', ENGINES, 'v1'), clock.now())
    await instance.see(OLD, NEW)
    await store.create(STREAM_KIND, 'zone-odd', {'streams': [[[]]]})

    reader = Instance(store, clock)
    assert (await reader.resolve('first')).version == 'v1'


async def test_saving_fails_without_the_store_and_resumes(
    store: MemoryStore, clock: Time
) -> None:
    instance = Instance(store, clock)
    instance.log.add(StreamOrigin('first', ENGINES, 'v1'), clock.now())
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await instance.see(OLD, NEW)
    store.down = False
    await instance.see(OLD, NEW)

    assert (await Instance(store, clock).resolve('first')).version == 'v1'


def test_stream_that_is_taken_up_waits_for_a_slot_as_retries_do() -> None:
    assert within_timeout(_take_up('first'), ROUTE).is_retry
    assert not within_timeout(make_request('new'), ROUTE).is_retry


def test_a_new_version_has_the_running_streams_shared() -> None:
    log = OriginLog()
    sharer = OriginSharer(log)
    history = VersionHistory(0)
    assert not history.note((OLD,), 0)
    log.open(StreamOrigin('running', ENGINES, 'v1'))
    log.open(StreamOrigin('apart', 'others', 'v1'))

    sharer.share_services(history.note((OLD, NEW), 1), 1)

    for _ in range(COPIES):
        batches = list(sharer.next_batches(1))
        assert batches == [(ENGINES, 'v1', ('running',))]
    assert not tuple(sharer.next_batches(1))


def test_long_streams_are_shared_again_until_they_end() -> None:
    log = OriginLog()
    sharer = OriginSharer(log)
    log.open(StreamOrigin('long', ENGINES, 'v1'))
    sharer.share('long', 0)
    for _ in range(COPIES):
        assert tuple(sharer.next_batches(0))

    assert tuple(sharer.next_batches(RETENTION))
    tuple(sharer.next_batches(RETENTION))
    log.close('long', RETENTION)
    assert not tuple(sharer.next_batches(2 * RETENTION - 1))


def test_a_coordinator_that_is_new_is_told_of_streams_shared_before() -> None:
    log = OriginLog()
    sharer = OriginSharer(log)
    sharer.tell(('one', 'two'), 0)
    log.open(StreamOrigin('first', ENGINES, 'v1'))
    sharer.share('first', 0)
    for _ in range(COPIES):
        assert tuple(sharer.next_batches(0))
    log.close('first', 0)

    sharer.tell(('two', 'one'), 1)
    assert not tuple(sharer.next_batches(1))
    sharer.tell(('three', 'two'), 1)
    assert tuple(sharer.next_batches(1)) == ((ENGINES, 'v1', ('first',)),)


def test_streams_are_forgotten_some_time_after_their_end() -> None:
    log = OriginLog()
    log.open(StreamOrigin('first', ENGINES, 'v1'))
    log.expire(10 * RETENTION)
    assert log.find('first')

    log.close('first', 10 * RETENTION)
    log.expire(11 * RETENTION - 1)
    assert log.find('first')
    log.expire(11 * RETENTION)
    assert not log.find('first')
