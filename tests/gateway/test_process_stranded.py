"""Callers of instances that have lost their path to all upstreams."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import pytest

from tests.gateway.crowd import CONTACT_TIME, Crowd, Sent, served_share
from tests.gateway.paths import Mode, PathFleet, started_paths
from tests.gateway.wire_samples import route_doc, route_docs

ENTRIES, UPSTREAMS = 3, 3
INTERVAL = 0.05  # seconds between two requests to an entry
WARM_UP = 1.0  # seconds
WATCHED = 2.5  # seconds after the contact time in which requests are sent
# Callers of an instance without a path are served at least so often as others.
MIN_SHARE = 2 / 3
SHORT_CUT = 1.0  # seconds
REFUSED = frozenset((408, 421, 429, 503))
CUTS = (Mode.SILENT, Mode.REFUSING, Mode.REFUSING_NEW)
OTHER_SERVICE = 'readers'


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[PathFleet]:
    """Start three entries before three upstreams."""
    async with started_paths(tmp_path, ENTRIES, UPSTREAMS) as started:
        yield started


async def _send_to(
    crowd: Crowd, entries: Iterable[int], seconds: float, path: str = '/chat/1'
) -> list[list[Sent]]:
    """Send first tries to each of ``entries``; return them by entry."""
    end = time.time() + seconds

    def sender(entry: int) -> asyncio.Future[list[Sent]]:
        return asyncio.ensure_future(
            crowd.send_each(
                INTERVAL, end, lambda: crowd.send(path, entry=entry)
            )
        )

    return await asyncio.gather(*map(sender, entries))


def _failed(sent: Iterable[Sent]) -> list[Sent]:
    return [req for req in sent if req.status != 200]


def _ids(sent: Iterable[Sent]) -> set[str]:
    return {req.request_id for req in sent}


@pytest.mark.parametrize('mode', CUTS)
async def test_callers_of_an_instance_without_a_path_are_served(
    fleet: PathFleet, mode: Mode
) -> None:
    crowd = Crowd(fleet)
    await _send_to(crowd, range(ENTRIES), WARM_UP)
    await fleet.cut(mode, entries=(0,))
    await _send_to(crowd, range(ENTRIES), CONTACT_TIME)
    stranded, *others = await _send_to(crowd, range(ENTRIES), WATCHED)
    share = served_share([req for sent in others for req in sent])
    assert share > 0.9
    assert served_share(stranded) >= MIN_SHARE * share


@pytest.mark.parametrize('mode', CUTS)
async def test_callers_of_others_are_served_while_one_instance_is_cut_off(
    fleet: PathFleet, mode: Mode
) -> None:
    crowd = Crowd(fleet)
    await _send_to(crowd, range(ENTRIES), WARM_UP)
    await fleet.cut(mode, entries=(0,))
    _, *others = await _send_to(crowd, range(ENTRIES), CONTACT_TIME)
    assert [_failed(sent) for sent in others] == [[], []]


@pytest.mark.parametrize('mode', [Mode.SILENT, Mode.REFUSING])
async def test_upstreams_are_used_by_others_while_most_instances_are_cut_off(
    tmp_path: Path, mode: Mode
) -> None:
    async with started_paths(tmp_path, 5, 4) as fleet:
        crowd = Crowd(fleet)
        await _send_to(crowd, range(5), WARM_UP)
        await fleet.cut(mode, entries=(0, 1, 2))
        early = await _send_to(crowd, range(5), CONTACT_TIME)
        late = await _send_to(crowd, range(5), WATCHED)
    sound = [*early[3:], *late[3:]]
    assert [_failed(sent) for sent in sound] == [[], [], [], []]
    assert min(map(served_share, late[:3])) >= MIN_SHARE


async def test_one_dead_upstream_lets_no_request_be_passed_on(
    fleet: PathFleet,
) -> None:
    crowd = Crowd(fleet)
    await fleet.end_upstream(0, Mode.SILENT)
    sent = (await _send_to(crowd, (0,), CONTACT_TIME + WATCHED))[0]
    assert fleet.handled_elsewhere(_ids(sent), 0) == set()
    assert served_share(sent, sent[0].at + CONTACT_TIME) == 1


@pytest.mark.parametrize('mode', [Mode.SILENT, Mode.REFUSING])
async def test_dead_service_lets_no_request_be_passed_on(
    tmp_path: Path, mode: Mode
) -> None:
    services = {2: OTHER_SERVICE, 3: OTHER_SERVICE}
    read = route_doc(name='read', path_prefix='/read/', service=OTHER_SERVICE)
    async with started_paths(tmp_path, ENTRIES, 4, services) as fleet:
        await fleet.configure([*route_docs(), read])
        crowd = Crowd(fleet)
        await asyncio.sleep(WARM_UP)
        for upstream in services:
            await fleet.end_upstream(upstream, mode)
        dead, alive = await asyncio.gather(
            _send_to(crowd, (0,), CONTACT_TIME + WATCHED, '/read/1'),
            _send_to(crowd, (0,), CONTACT_TIME + WATCHED),
        )
    sent = dead[0] + alive[0]
    assert fleet.handled_elsewhere(_ids(sent), 0) == set()
    assert _failed(alive[0]) == []
    assert {req.status for req in dead[0]} <= REFUSED


async def test_dead_single_upstream_lets_no_request_be_passed_on(
    tmp_path: Path,
) -> None:
    async with started_paths(tmp_path, ENTRIES, 1) as fleet:
        crowd = Crowd(fleet)
        await _send_to(crowd, (0,), WARM_UP)
        await fleet.end_upstream(0, Mode.SILENT)
        sent = (await _send_to(crowd, (0,), CONTACT_TIME + WATCHED))[0]
        assert fleet.handled_elsewhere(_ids(sent), 0) == set()


@pytest.mark.parametrize('mode', CUTS)
async def test_requests_go_to_upstreams_directly_after_a_cut(
    fleet: PathFleet, mode: Mode
) -> None:
    crowd = Crowd(fleet)
    await fleet.cut(mode, entries=(0,))
    await _send_to(crowd, (0,), CONTACT_TIME)
    await fleet.cut(Mode.SOUND)
    back = (await _send_to(crowd, (0,), CONTACT_TIME + WATCHED))[0]
    assert _failed(back) == []
    late = [req for req in back if req.at > back[0].at + CONTACT_TIME]
    assert fleet.handled_elsewhere(_ids(late), 0) == set()


async def test_second_cut_soon_after_the_first_harms_no_more(
    fleet: PathFleet,
) -> None:
    crowd = Crowd(fleet)
    await _send_to(crowd, range(ENTRIES), WARM_UP)
    await fleet.cut(Mode.SILENT, entries=(0,))
    first = await _send_to(crowd, range(ENTRIES), 2)
    await fleet.cut(Mode.SOUND)
    between = await _send_to(crowd, range(ENTRIES), SHORT_CUT)
    await fleet.cut(Mode.REFUSING, entries=(0, 1))
    second = await _send_to(crowd, range(ENTRIES), CONTACT_TIME)
    late = await _send_to(crowd, range(ENTRIES), WATCHED)
    always_sound = (*first[1:], *between[1:], second[2], late[2])
    assert [_failed(sent) for sent in always_sound] == [[]] * 6
    assert min(map(served_share, late[:2])) >= MIN_SHARE


@pytest.mark.parametrize('mode', CUTS)
async def test_cut_of_a_second_is_over_within_the_contact_time(
    fleet: PathFleet, mode: Mode
) -> None:
    crowd = Crowd(fleet)
    await _send_to(crowd, range(ENTRIES), WARM_UP)
    await fleet.cut(mode, entries=(0,))
    during = await _send_to(crowd, range(ENTRIES), SHORT_CUT)
    await fleet.cut(Mode.SOUND)
    after = await _send_to(crowd, range(ENTRIES), CONTACT_TIME - SHORT_CUT)
    late = await _send_to(crowd, range(ENTRIES), WATCHED)
    sound = (*during[1:], *after[1:], *late)
    assert [_failed(sent) for sent in sound] == [[]] * 7
    assert fleet.handled_elsewhere(_ids(late[0]), 0) == set()
