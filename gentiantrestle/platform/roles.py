"""The roles of the deploy file: what each process does until it is stopped."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.config import Settings
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.gateway.assembly import InstanceConfig
from gentiantrestle.gateway.follower import Follower, WatchGate, WatchSpec
from gentiantrestle.gateway.monitoring import start_monitoring_server
from gentiantrestle.gateway.placement import Topology
from gentiantrestle.gateway.ports import Adapter, ObjectKinds
from gentiantrestle.gateway.retirement import RetirementResponder
from gentiantrestle.gateway.service import Gateway
from gentiantrestle.models import Address
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    RETIRED,
    RETIREMENT_KIND,
    SERVER_KIND,
    StoreDocuments,
)
from gentiantrestle.platform.objects import ObjectClient
from gentiantrestle.platform.readiness import Readiness
from gentiantrestle.platform.settings import NodeSettings
from gentiantrestle.supervisor import Child, Supervisor

ENTRY = 'entry'
STORAGE = 'storage'
# Requests to empty an instance are seconds apart.
RETIREMENT_REST = 0.5  # seconds
RETIREMENT_WAIT = 20.0  # seconds that one watch waits
Role = Callable[[NodeSettings, Settings], Awaitable[int]]
ROLES: dict[str, Role] = {}


def _role(name: str) -> Callable[[Role], Role]:
    """Register the function that runs a role."""

    def register(run: Role) -> Role:
        ROLES[name] = run
        return run

    return register


@_role(ENTRY)
async def serve(node: NodeSettings, cfg: Settings) -> int:
    """Serve callers until a signal comes."""
    gateway = Gateway(
        InstanceConfig(
            node.instance,
            Topology(node.zone, node.regions),
            node.host,
            node.callers,
            node.peer_port,
            node.seeds,
            node.grace,
        ),
        Adapter(
            ObjectClient(node.store),
            StoreDocuments(),
            PlatformDialect(),
            ObjectKinds(CONFIG_KIND, CONFIG_NAME, SERVER_KIND),
        ),
    )
    readiness = Readiness(lambda: gateway.ready)
    await start_monitoring_server(readiness.answer, node.readiness)
    if cfg.metrics_port:
        address = Address(node.host, cfg.metrics_port)
        await start_monitoring_server(gateway.metrics.answer, address)
    root = asyncio.create_task(gateway.run())
    return await _run_until_stopped(node, root, gateway.stop)


async def _run_until_stopped(
    node: NodeSettings,
    root: asyncio.Task[None],
    stop: Callable[[], Awaitable[int]],
) -> int:
    """Wait for a signal, then stop; return the exit status."""
    stopped = _stop_signal()
    events.emit(events.STARTED, instance=node.instance, zone=node.zone)
    await asyncio.wait({root, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if root.done():
        events.emit(
            events.CHILD_FAILED, child='root', error=repr(root.exception())
        )
        return ExitStatus.CHILD_FAILED
    events.emit(events.STOPPING, signal=stopped.result())
    cut = await stop()
    root.cancel()
    await asyncio.wait({root})
    events.emit(events.STOPPED, cut=cut)
    return ExitStatus.CUT_REQUESTS if cut else ExitStatus.SUCCESS


@_role(STORAGE)
async def keep(node: NodeSettings, cfg: Settings) -> int:
    """Hold nothing, and say so when the instance is to be emptied."""
    store = ObjectClient(node.store)
    retirement = RetirementResponder(
        store, RETIREMENT_KIND, node.instance, dict(RETIRED)
    )
    follower = Follower(
        store,
        WatchSpec(RETIREMENT_KIND, RETIREMENT_REST, RETIREMENT_WAIT),
        retirement.handlers(),
        random.Random(time.time_ns()),
        WatchGate.always_open(),
    )
    children = (Child('retirement', follower.run),)
    root = asyncio.create_task(Supervisor(children, time.monotonic).run())
    return await _run_until_stopped(node, root, _nothing_cut)


async def _nothing_cut() -> int:
    return 0


def _stop_signal() -> asyncio.Future[str]:
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[str] = loop.create_future()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _note, stopped, signum.name)
    # The settings that may change while a process runs are not used again.
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    return stopped


def _note(stopped: asyncio.Future[str], name: str) -> None:
    if not stopped.done():
        stopped.set_result(name)


def _note_reload() -> None:
    events.emit(events.SETTINGS_CHANGED)
