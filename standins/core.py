"""Start one stand-in: ``gentiantrestle-standin KIND PORT [KEY=VALUE]``."""

import asyncio
import signal
import sys
from collections.abc import Mapping
from typing import Protocol

from gentiantrestle import log_setup
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.messages import Request, Response
from gentiantrestle.http.server import Server
from standins.engine import EngineStandin
from standins.objects import ObjectsStandin
from standins.platform import PlatformStandin
from standins.service import ServiceStandin
from standins.upstream import UpstreamStandin

HOST = '127.0.0.1'
USAGE = 'usage: gentiantrestle-standin KIND PORT [KEY=VALUE]\n'
FIRST_OPTION = 3
IDLE_TIMEOUT = 600  # seconds


class Standin(Protocol):
    """The interface of a stand-in."""

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'Standin':
        """Build from the ``KEY=VALUE`` arguments of the command line."""

    async def handle(self, req: Request) -> Response:
        """Answer one request."""

    async def run(self) -> None:
        """Run the background work, if any, until cancelled."""


KINDS: dict[str, type[Standin]] = {
    'platform': PlatformStandin,
    'engine': EngineStandin,
    'service': ServiceStandin,
    'objects': ObjectsStandin,
    'upstream': UpstreamStandin,
}


async def serve(kind: str, port: int, cfg: Mapping[str, str]) -> None:
    """Run one stand-in until SIGTERM or SIGINT."""
    standin = KINDS[kind].from_config(cfg)
    server = Server(standin.handle, ServerLimits(idle_timeout=IDLE_TIMEOUT))
    await server.start(HOST, port)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    background = asyncio.create_task(standin.run())
    await stopped.wait()
    background.cancel()
    await server.stop(0)


def main() -> None:
    """Parse the command line and serve.

    Exit with status 2 if KIND is unknown or PORT is missing.
    """
    if len(sys.argv) < FIRST_OPTION or sys.argv[1] not in KINDS:
        sys.stderr.write(USAGE)
        sys.exit(2)
    log_setup.configure('WARNING', as_json=False)
    cfg = dict(option.split('=', 1) for option in sys.argv[FIRST_OPTION:])
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), cfg))


if __name__ == '__main__':
    main()
