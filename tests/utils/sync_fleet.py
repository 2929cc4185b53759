"""A fleet for tests that are not coroutines."""

import asyncio
from pathlib import Path
from typing import Any

from tests.utils.fleet import Fleet
from tests.utils.http import Reply, send_raw


class SyncFleet:
    """A fleet of one instance on its own event loop.

    ``reply`` is the response to the last request.
    """

    def __init__(self, folder: Path) -> None:
        """Start the fleet and wait until it is ready."""
        self.runner = asyncio.Runner()
        self.fleet = Fleet(folder, ('a1',))
        self.runner.run(self.fleet.start())
        self.reply: Reply | None = None

    def close(self) -> None:
        """Stop the fleet and close the loop."""
        self.runner.run(self.fleet.stop())
        self.runner.close()

    def call(self, method: str, target: str, body: Any, **fields: str) -> None:
        """Send a request and keep its response in ``reply``."""
        request = self.fleet.call(0, method, target, body, **fields)
        self.reply = self.runner.run(request)

    def call_raw(self, request: bytes) -> None:
        """Send raw bytes and keep the response in ``reply``."""
        response = self.runner.run(send_raw(self.fleet.http[0], request))
        head, _, body = response.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:])
        self.reply = Reply(int(lines[0].split()[1]), headers, body)
