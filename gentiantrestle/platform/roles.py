"""Roles of the deploy file: what each process runs until it is stopped."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.config import Settings
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.gateway.fleet_context import InstanceConfig
from gentiantrestle.gateway.follower import Follower, WatchGate, WatchSpec
from gentiantrestle.gateway.monitoring import start_monitoring_server
from gentiantrestle.gateway.options import AUTO_PACE
from gentiantrestle.gateway.ports import Adapter, ObjectKinds
from gentiantrestle.gateway.retirement import RetirementResponder
from gentiantrestle.gateway.service import Gateway
from gentiantrestle.gateway.topology import Topology
from gentiantrestle.models import Address
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.platform.document_decoder import (
    CONFIG_KIND,
    CONFIG_NAME,
    RETIRED_STATUS,
    RETIREMENT_KIND,
    SERVER_KIND,
    StoreDocumentDecoder,
)
from gentiantrestle.platform.object_client import ObjectClient
from gentiantrestle.platform.readiness import ReadinessEndpoint
from gentiantrestle.platform.settings_file import SettingsFile
from gentiantrestle.supervisor import Child, Supervisor

ENTRY = 'entry'
STORAGE = 'storage'
# Requests to empty an instance come seconds apart.
RETIREMENT_PAUSE = 0.5  # seconds after changes
RETIREMENT_WAIT = 20.0  # seconds that one watch waits
Role = Callable[[SettingsFile, Settings], Awaitable[int]]
ROLES: dict[str, Role] = {}


def _register_role(name: str) -> Callable[[Role], Role]:
    """Register the decorated function as the one that runs a role."""

    def register(run: Role) -> Role:
        ROLES[name] = run
        return run

    return register


@_register_role(ENTRY)
async def run_entry(settings_file: SettingsFile, cfg: Settings) -> int:
    """Serve callers until a stop signal; return the exit status."""
    node = settings_file.node
    gateway = Gateway(
        InstanceConfig(
            node.instance,
            Topology(node.zone, node.regions),
            node.host,
            node.caller_address,
            node.peer_port,
            node.seeds,
            node.grace,
            node.drain_time,
            node.passing_port,
            node.revocation_time,
            node.allowance_terms,
            node.memory,
            cfg.upstream_pace == AUTO_PACE,
        ),
        Adapter(
            ObjectClient(node.store_address, node.max_object_size),
            StoreDocumentDecoder(),
            PlatformDialect(),
            ObjectKinds(CONFIG_KIND, CONFIG_NAME, SERVER_KIND),
        ),
    )
    settings_file.on_change = lambda changed: gateway.update_seeds(
        changed.seeds
    )
    readiness = ReadinessEndpoint(lambda: gateway.ready)
    await start_monitoring_server(readiness.answer, node.readiness_address)
    if cfg.metrics_port:
        address = Address(node.host, cfg.metrics_port)
        await start_monitoring_server(gateway.metrics.answer, address)
    root_task = asyncio.create_task(gateway.run())
    return await _run_until_stopped(settings_file, root_task, gateway.stop)


async def _run_until_stopped(
    settings_file: SettingsFile,
    root_task: asyncio.Task[None],
    stop: Callable[[], Awaitable[int]],
) -> int:
    """Wait for a stop signal, then stop; return the exit status."""
    node = settings_file.node
    stop_signal = _watch_signals(settings_file)
    reload_task = asyncio.create_task(settings_file.run())
    events.emit(events.STARTED, instance=node.instance, zone=node.zone)
    await asyncio.wait(
        {root_task, stop_signal}, return_when=asyncio.FIRST_COMPLETED
    )
    if root_task.done():
        events.emit(
            events.CHILD_FAILED, child='root', error=repr(root_task.exception())
        )
        return ExitStatus.CHILD_FAILED
    events.emit(events.STOPPING, signal=stop_signal.result())
    reload_task.cancel()
    cut = await stop()
    root_task.cancel()
    await asyncio.wait({root_task})
    events.emit(events.STOPPED, cut=cut)
    return ExitStatus.CUT_REQUESTS if cut else ExitStatus.SUCCESS


@_register_role(STORAGE)
async def run_storage(settings_file: SettingsFile, cfg: Settings) -> int:
    """Store nothing; report instances as empty when asked to empty them."""
    node = settings_file.node
    store = ObjectClient(node.store_address, node.max_object_size)
    retirement = RetirementResponder(
        store, RETIREMENT_KIND, node.instance, dict(RETIRED_STATUS)
    )
    follower = Follower(
        store,
        WatchSpec(RETIREMENT_KIND, RETIREMENT_PAUSE, RETIREMENT_WAIT),
        retirement.handlers(),
        random.Random(time.time_ns()),
        WatchGate.always_open(),
    )
    children = (Child('retirement', follower.run),)
    root_task = asyncio.create_task(Supervisor(children, time.monotonic).run())
    return await _run_until_stopped(settings_file, root_task, _cut_nothing)


async def _cut_nothing() -> int:
    return 0


def _watch_signals(settings_file: SettingsFile) -> asyncio.Future[str]:
    """Return a future of the stop signal; SIGHUP reloads the settings."""
    loop = asyncio.get_running_loop()
    stop_signal: asyncio.Future[str] = loop.create_future()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signum, _set_stop_signal, stop_signal, signum.name
        )
    loop.add_signal_handler(signal.SIGHUP, settings_file.request_reload)
    return stop_signal


def _set_stop_signal(stop_signal: asyncio.Future[str], name: str) -> None:
    if not stop_signal.done():
        stop_signal.set_result(name)
