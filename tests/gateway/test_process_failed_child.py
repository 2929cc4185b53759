"""An instance that ends by itself, as a child of it fails for good."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gentiantrestle.exit_status import ExitStatus
from tests.gateway.failing_launcher import FAIL
from tests.gateway.fleet import ENTRIES, UPSTREAMS, GatewayFleet
from tests.gateway.wire_samples import expected_stream
from tests.utils.http import until

ABANDONED = 1006  # event number
# The limit on restarts is reached after 3.1 s.
STREAM = {'events': 90, 'pause': 0.05}
STREAMS = 3


@pytest.fixture
async def failing(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet whose entries have a child that can be made to fail."""
    fleet = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    fleet.launcher = 'tests.gateway.failing_launcher'
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


def _has_abandoned(fleet: GatewayFleet) -> bool:
    lines = fleet.entries[0].log_lines()
    return any(line['code'] == ABANDONED for line in lines)


@pytest.mark.parametrize(
    ('is_stopped', 'status'),
    [(False, ExitStatus.CHILD_FAILED), (True, ExitStatus.SUCCESS)],
)
async def test_requests_are_answered_by_an_instance_whose_child_fails_for_good(
    failing: GatewayFleet, is_stopped: bool, status: ExitStatus
) -> None:
    (failing.folder / 'entry0').with_suffix(FAIL).touch()
    streams = [
        asyncio.create_task(failing.request(0, f'r{number}', body=STREAM))
        for number in range(STREAMS)
    ]
    await until(lambda: _has_abandoned(failing))
    if is_stopped:
        failing.entries[0].process.send_signal(signal.SIGTERM)
    for number, stream in enumerate(streams):
        body = (await stream).body
        assert body == expected_stream(f'r{number}', STREAM['events'])
    assert await failing.entries[0].process.wait() == status


async def test_new_requests_are_answered_until_the_balancer_knows_of_the_end(
    failing: GatewayFleet,
) -> None:
    (failing.folder / 'entry0').with_suffix(FAIL).touch()
    await until(lambda: _has_abandoned(failing))
    assert not await failing.is_ready(0)
    late = await failing.request(0, 'late', body={'events': 3})
    assert late.body == expected_stream('late', 3)
