"""Upstreams that start again under their ids before the list says so."""

import asyncio
import base64
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.test_process_jobs import busy, read_all
from tests.gateway.test_process_versions import joined_streams
from tests.gateway.versions import (
    ENTRIES,
    NEW,
    OLD,
    OLD_UPSTREAMS,
    VersionScene,
)
from tests.gateway.wire_samples import job_doc
from tests.utils.http import until

RUN_DIFFERS = 3017  # event number
ALL = tuple(range(ENTRIES))
STREAMS = 12
UNLISTED_TIME = 1.0  # seconds in which the list has the runs of before
ITEMS = 24
ITEM_BODY = base64.b64encode(b'{"events":30,"pause":0.05}').decode()
BEGUN_TIME = 0.5  # seconds until items have brought some events


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[VersionScene]:
    """Start a fleet before upstreams of two versions."""
    chosen = VersionScene(tmp_path)
    try:
        await chosen.start()
        yield chosen
    finally:
        await chosen.stop()


async def start_again(scene: VersionScene) -> None:
    """Let the old upstreams start as the new version, unlisted for a time."""
    for number in OLD_UPSTREAMS:
        await scene.fleet.standins[scene.fleet.upstreams[number]].end()
        scene.fleet.versions[number] = NEW
        await scene.fleet.start_upstream(number)
    for number in OLD_UPSTREAMS:
        await until(lambda upstream=number: scene.listens(upstream))


def has_logged_other_runs(scene: VersionScene) -> bool:
    """Return whether an entry has found another run than the listed one."""
    return any(
        line['code'] == RUN_DIFFERS
        for entry in scene.fleet.entries
        for line in entry.log_lines()
    )


async def test_streams_do_not_go_on_at_another_run(scene: VersionScene) -> None:
    callers = await scene.begin(STREAMS, ALL)
    assert {caller.version for caller in callers} == {OLD, NEW}
    await start_again(scene)
    await until(lambda: has_logged_other_runs(scene))
    await asyncio.sleep(UNLISTED_TIME)
    assert not joined_streams(callers)
    for caller in callers:
        still_open = not caller.answers[0].ended
        assert still_open or caller.version == OLD


async def test_streams_do_not_begin_as_those_of_another_run(
    scene: VersionScene,
) -> None:
    await start_again(scene)
    callers = await scene.begin(STREAMS, ALL)
    for number in OLD_UPSTREAMS:
        await scene.fleet.register(number)
    await scene.settle()
    # An upstream of the old version, as which such a stream would go on.
    scene.fleet.versions[OLD_UPSTREAMS[0]] = OLD
    await scene.remove(OLD_UPSTREAMS[0])
    await scene.add(OLD_UPSTREAMS[0])
    await scene.settle()
    await asyncio.gather(
        *(
            caller.take_up((number + 1) % ENTRIES)
            for number, caller in enumerate(callers)
        )
    )
    assert not joined_streams(callers)
    assert all(caller.went_on for caller in callers)


async def test_items_do_not_go_on_at_another_run(scene: VersionScene) -> None:
    job = job_doc('job1', ITEMS, 1, body=ITEM_BODY)
    reply = await scene.fleet.request(0, 'job1', '/lists/j', job)
    assert reply.status == 202
    await until(lambda: busy(scene.fleet))
    await asyncio.sleep(BEGUN_TIME)
    await start_again(scene)
    await asyncio.sleep(UNLISTED_TIME)
    for number in OLD_UPSTREAMS:
        await scene.fleet.register(number)
    outputs = await read_all(scene.fleet, 1, 'job1')
    versions = {
        item: {line.partition('@')[2] for line in output.splitlines()}
        for item, output in outputs.items()
    }
    assert all(len(found) == 1 for found in versions.values()), versions
