"""Signals that reach a process while it starts."""

import signal

import pytest

from tests.gateway.fleet import GatewayFleet
from tests.utils.http import until

# Modules that are loaded early and late at a start.
MODULES = ('absl.flags', 'gentiantrestle.gateway.model', 'uvloop')


@pytest.mark.parametrize('module', MODULES)
async def test_instance_told_of_new_settings_while_it_starts_is_not_ended(
    fleet: GatewayFleet, module: str
) -> None:
    entry = fleet.entries[0]
    await entry.end()
    entry.log.unlink()
    # Has each module written to the log once it is loaded.
    fleet.environ = {'PYTHONPROFILEIMPORTTIME': '1'}
    await fleet.start_entry(0)
    await until(lambda: f' {module}\n'.encode() in entry.log.read_bytes())
    entry.process.send_signal(signal.SIGHUP)
    assert await _is_served(fleet)


async def _is_served(fleet: GatewayFleet) -> bool:
    """Return whether an entry gets ready; else it has ended."""

    async def is_settled() -> bool:
        return not fleet.entries[0].running or await fleet.is_ready(0)

    await until(is_settled)
    return fleet.entries[0].running
