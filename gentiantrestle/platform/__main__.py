"""Starts one role on the platform: ``python3 -m gentiantrestle.platform``."""

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import uvloop

from gentiantrestle import events
from gentiantrestle.gateway.follow import Follower
from gentiantrestle.gateway.placement import Site
from gentiantrestle.gateway.retirement import Retirement
from gentiantrestle.gateway.service import Adapter, Gateway, Kinds, Plan
from gentiantrestle.logsink import LineSink
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    RETIRED,
    RETIREMENT_KIND,
    SERVER_KIND,
    StoreDocuments,
)
from gentiantrestle.platform.objects import Objects
from gentiantrestle.platform.readiness import Readiness
from gentiantrestle.platform.settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    SettingsError,
)
from gentiantrestle.status import ExitStatus
from gentiantrestle.supervisor import Child, Supervisor

ENTRY = 'entry'
STORAGE = 'storage'
# Requests to empty an instance are seconds apart.
RETIREMENT_REST = 0.5  # seconds
USAGE = f'usage: python3 -m gentiantrestle.platform {ENTRY}|{STORAGE}\n'


def main() -> int:
    """Run the role that the first argument names; return the status."""
    role = sys.argv[1] if len(sys.argv) > 1 else ''
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if role not in {ENTRY, STORAGE}:
        sys.stderr.write(USAGE)
        return ExitStatus.BAD_SETTINGS
    try:
        cfg = NodeSettings.from_file(path)
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        return ExitStatus.BAD_SETTINGS
    events.configure_sink('INFO', LineSink(sys.stdout.fileno()))
    if role == STORAGE:
        return uvloop.run(keep(cfg))
    return uvloop.run(serve(cfg))


async def serve(cfg: NodeSettings) -> int:
    """Serve callers until a signal comes."""
    gateway = Gateway(
        Plan(
            cfg.instance,
            Site(cfg.zone, cfg.regions),
            cfg.host,
            cfg.callers,
            cfg.peer_port,
            cfg.seeds,
            cfg.grace,
        ),
        Adapter(
            Objects(cfg.store),
            StoreDocuments(),
            PlatformDialect(),
            Kinds(CONFIG_KIND, CONFIG_NAME, SERVER_KIND),
        ),
    )
    await Readiness(lambda: gateway.ready).start(cfg.readiness)
    root = asyncio.create_task(gateway.run())
    return await _run_until_stopped(cfg, root, gateway.stop)


async def _run_until_stopped(
    cfg: NodeSettings,
    root: asyncio.Task[None],
    stop: Callable[[], Awaitable[int]],
) -> int:
    """Wait for a signal, then stop; return the exit status."""
    stopped = _stop_signal()
    events.emit(events.STARTED, instance=cfg.instance, zone=cfg.zone)
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


async def keep(cfg: NodeSettings) -> int:
    """Hold nothing, and say so when the instance is to be emptied."""
    store = Objects(cfg.store)
    retirement = Retirement(store, RETIREMENT_KIND, cfg.instance, dict(RETIRED))
    follower = Follower(
        store,
        RETIREMENT_KIND,
        retirement.sink(),
        random.Random(time.time_ns()),
        rest=RETIREMENT_REST,
    )
    children = (Child('retirement', follower.run),)
    root = asyncio.create_task(Supervisor(children, time.monotonic).run())
    return await _run_until_stopped(cfg, root, _nothing_cut)


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


if __name__ == '__main__':
    sys.exit(main())
