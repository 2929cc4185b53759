"""Streams and items before upstreams of two software versions."""

import asyncio
import base64
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from tests.gateway.test_process_jobs import busy, read_all
from tests.gateway.versions import (
    ENTRIES,
    NEW,
    NEW_UPSTREAMS,
    OLD,
    OLD_UPSTREAMS,
    SETTLING_TIME,
    Caller,
    VersionScene,
)
from tests.gateway.wire_samples import SERVICE, job_doc
from tests.utils.http import until

OK = 200
REFUSED = 503
# One upstream has slots for all streams of a version.
STREAMS = 12
SINGLE_VERSION_STREAMS = 7
LATE_STREAMS = 3
RECORD_TIME = 0.75  # seconds in which a begun stream is known elsewhere
REFUSAL_TIME = 1.0  # seconds
MORE_EVENTS = 5  # of a stream that goes on
OTHERS = 'others'
UPSTREAMS = (*OLD_UPSTREAMS, *NEW_UPSTREAMS)
ALL = tuple(range(ENTRIES))
STATES = ('both', 'draining', 'gone', 'back', 'came')
ENDED_STATES = ('draining', 'gone')
CUT_AFTER = 10
BEGUN_TIME = 0.3  # seconds until items have brought some events
ITEM_EVENTS = 25

Change = Callable[..., Awaitable[None]]
CHANGES: dict[str, Change] = {}
Place = tuple[tuple[int, ...], tuple[int, ...], int]
# Entries that begin streams, entries to kill, and how far the next attempt is.
PLACES: dict[str, Place] = {
    'same': (ALL, (), 0),
    'another': (ALL, (), 1),
    'restarted': ((0,), (0,), 0),
    'all_restarted': (ALL, ALL, 1),
}


def _change(name: str) -> Callable[[Change], Change]:
    def register(change: Change) -> Change:
        CHANGES[name] = change
        return change

    return register


@_change('both')
async def _keep(scene: VersionScene, *upstreams: int) -> None:
    """Let both versions serve."""


@_change('draining')
async def _drain(scene: VersionScene, *upstreams: int) -> None:
    await scene.drain(*upstreams)
    await scene.settle()


@_change('gone')
async def _remove(scene: VersionScene, *upstreams: int) -> None:
    await scene.remove(*upstreams)
    await scene.settle()


@_change('back')
async def _replace(scene: VersionScene, *upstreams: int) -> None:
    await _remove(scene, *upstreams)
    await scene.add(*upstreams)
    await scene.settle()


@_change('came')
async def _add(scene: VersionScene, *upstreams: int) -> None:
    await scene.add(*NEW_UPSTREAMS)
    await scene.settle()


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[VersionScene]:
    """Choose a fleet; end its processes after the test."""
    chosen = VersionScene(tmp_path)
    try:
        yield chosen
    finally:
        await chosen.stop()


async def begin_streams(
    scene: VersionScene, state: str, entries: tuple[int, ...]
) -> list[Caller]:
    """Start the fleet and begin streams at each version that serves."""
    await scene.start()
    count = STREAMS
    begun = {OLD, NEW}
    if state == 'came':
        for number in NEW_UPSTREAMS:
            await scene.fleet.unregister(number)
        await scene.settle()
        count = SINGLE_VERSION_STREAMS
        begun = {OLD}
    callers = await scene.begin(count, entries)
    await asyncio.sleep(RECORD_TIME)
    assert {caller.version for caller in callers} == begun
    return callers


def joined_streams(callers: list[Caller]) -> list[Caller]:
    """Return the streams that hold events of several versions."""
    return [caller for caller in callers if caller.is_joined]


def check_take_up(scene: VersionScene, caller: Caller, state: str) -> None:
    """Check that a stream went on at its version, or was truly refused."""
    answer = caller.answers[-1]
    assert not caller.is_joined, caller.events
    is_ending = state in ENDED_STATES and caller.version == OLD
    if is_ending and (state == 'gone' or answer.status == REFUSED):
        assert answer.status == REFUSED
        assert answer.duration < REFUSAL_TIME
        assert not scene.has_run(caller.attempt_id(1))
    else:
        assert answer.status == OK
        assert caller.went_on, caller.events


@pytest.mark.parametrize('state', STATES)
async def test_answer_never_goes_on_at_another_version(
    scene: VersionScene, state: str
) -> None:
    callers = await begin_streams(scene, state, ALL)
    await CHANGES[state](scene, OLD_UPSTREAMS[1])
    counts = [len(caller.events) for caller in callers]
    for number in (OLD_UPSTREAMS[0], NEW_UPSTREAMS[0]):
        await scene.fleet.standins[scene.fleet.upstreams[number]].end()
    await asyncio.sleep(SETTLING_TIME)
    assert not joined_streams(callers)
    for caller, count in zip(callers, counts, strict=True):
        ended = caller.answers[0].ended
        assert ended or len(caller.events) > count + MORE_EVENTS
        assert not ended or (state in ENDED_STATES and caller.version == OLD)


@pytest.mark.parametrize('state', STATES)
@pytest.mark.parametrize('place', PLACES)
async def test_taken_up_stream_never_goes_on_at_another_version(
    scene: VersionScene, place: str, state: str
) -> None:
    entries, killed, distance = PLACES[place]
    callers = await begin_streams(scene, state, entries)
    late = await scene.begin(LATE_STREAMS, entries) if killed == ALL else []
    await scene.kill(*killed)
    for caller in scene.callers:
        caller.answers[-1].close()
    await CHANGES[state](scene, *OLD_UPSTREAMS)
    await scene.restart(*killed)
    await asyncio.gather(
        *(
            caller.take_up(entries[(number + distance) % len(entries)])
            for number, caller in enumerate(scene.callers)
        )
    )
    for caller in callers:
        check_take_up(scene, caller, state)
    for caller in late:
        assert not caller.is_joined, caller.events
        assert caller.answers[-1].status in {OK, REFUSED}


@pytest.mark.parametrize('killed', [(), ALL], ids=['running', 'all_restarted'])
async def test_stream_that_is_taken_up_twice_stays_at_its_version(
    scene: VersionScene, killed: tuple[int, ...]
) -> None:
    callers = await begin_streams(scene, 'both', ALL)
    for distance in (1, 2):
        await scene.kill(*killed)
        await scene.restart(*killed)
        await asyncio.gather(
            *(
                caller.take_up((number + distance) % ENTRIES)
                for number, caller in enumerate(callers)
            )
        )
        for caller in callers:
            check_take_up(scene, caller, 'both')


async def test_unknown_stream_is_refused_while_two_versions_serve(
    scene: VersionScene,
) -> None:
    await scene.start()
    for entry in ALL:
        caller = Caller(scene.fleet, f'unknown{entry}')
        scene.callers.append(caller)
        await caller.take_up(entry, last=5, first_id=f'never{entry}')
        assert caller.answers[0].status == REFUSED
        assert caller.answers[0].duration < REFUSAL_TIME
        assert not scene.has_run(caller.name)


@pytest.mark.parametrize('killed', [(), ALL], ids=['running', 'all_restarted'])
async def test_unknown_stream_goes_on_while_a_single_version_serves(
    scene: VersionScene, killed: tuple[int, ...]
) -> None:
    scene.fleet.versions = dict.fromkeys(UPSTREAMS, OLD)
    await scene.start()
    await scene.kill(*killed)
    await scene.restart(*killed)
    callers = [Caller(scene.fleet, f'unknown{entry}') for entry in ALL]
    scene.callers += callers
    for entry, caller in enumerate(callers):
        await caller.take_up(entry, last=5, first_id=f'never{entry}')
        assert caller.answers[0].status == OK
        assert caller.events[0] == (6, OLD)


async def test_streams_of_a_single_version_write_nothing_to_the_store(
    scene: VersionScene,
) -> None:
    scene.fleet.versions = dict.fromkeys(UPSTREAMS, OLD)
    await scene.start()
    writes = await scene.count_writes()
    callers = await scene.begin(SINGLE_VERSION_STREAMS, ALL)
    await asyncio.sleep(RECORD_TIME)
    await asyncio.gather(*(caller.take_up(1) for caller in callers))
    assert all(caller.went_on for caller in callers)
    assert await scene.count_writes() == writes


def split_by(old_weight: int, new_weight: int) -> list[dict[str, object]]:
    """Return the split of a route over both services."""
    return [
        {'service': SERVICE, 'weight': old_weight},
        {'service': OTHERS, 'weight': new_weight},
    ]


@pytest.mark.parametrize('killed', [(), ALL], ids=['running', 'all_restarted'])
@pytest.mark.parametrize('weights', [(1, 1), (9, 1), (0, 1)])
async def test_taken_up_stream_of_a_split_route_stays_at_its_service(
    scene: VersionScene, weights: tuple[int, int], killed: tuple[int, ...]
) -> None:
    scene.fleet.services = dict.fromkeys(NEW_UPSTREAMS, OTHERS)
    await scene.start(split=split_by(1, 1))
    callers = await scene.begin(STREAMS, ALL)
    assert len(Counter(caller.version for caller in callers)) == 2
    await asyncio.sleep(RECORD_TIME)
    await scene.configure(split=split_by(*weights))
    await scene.kill(*killed)
    await scene.restart(*killed)
    await asyncio.gather(
        *(
            caller.take_up((number + 1) % ENTRIES)
            for number, caller in enumerate(callers)
        )
    )
    assert not joined_streams(callers)
    if weights == (1, 1):
        assert all(caller.went_on for caller in callers)


@pytest.mark.parametrize('state', ['both', 'gone'])
async def test_text_of_an_item_holds_events_of_one_version_only(
    scene: VersionScene, state: str
) -> None:
    await scene.start()
    for number in UPSTREAMS:
        await scene.fleet.set_faults(number, cut_after=CUT_AFTER)
    body = base64.b64encode(b'{"events":%d,"pause":0.05}' % ITEM_EVENTS)
    job = job_doc('job', STREAMS, ITEM_EVENTS, body=body.decode())
    await scene.fleet.request(0, 'job', '/lists/j', job)
    await until(lambda: busy(scene.fleet))
    await asyncio.sleep(BEGUN_TIME)
    await CHANGES[state](scene, *OLD_UPSTREAMS)
    outputs = await read_all(scene.fleet, 0, 'job')
    lines = {name: text.split('\n') for name, text in outputs.items()}
    assert {len(events) for events in lines.values()} == {ITEM_EVENTS}
    versions = [
        {line.partition('@')[2] for line in events} for events in lines.values()
    ]
    assert all(len(found) == 1 for found in versions), versions
