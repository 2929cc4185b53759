"""A fleet on a loop of its own, for tests that are no coroutines."""

import asyncio
from pathlib import Path
from typing import Any

from tests.utils.fleet import Fleet
from tests.utils.http import Reply, send_raw


class SyncFleet:
    """A fleet of one instance, shared by all scenarios of this module."""

    def __init__(self, folder: Path) -> None:
        """Start the fleet on a loop of its own."""
        self.runner = asyncio.Runner()
        self.fleet = Fleet(folder, ('a1',))
        self.runner.run(self.fleet.start())
        self.reply: Reply | None = None

    def close(self) -> None:
        """End the fleet."""
        self.runner.run(self.fleet.stop())
        self.runner.close()

    def call(self, method: str, target: str, body: Any, **fields: str) -> None:
        """Send a call and keep its answer."""
        sent = self.fleet.call(0, method, target, body, **fields)
        self.reply = self.runner.run(sent)

    def call_raw(self, sent: bytes) -> None:
        """Send bytes as they are and keep the answer."""
        came = self.runner.run(send_raw(self.fleet.http[0], sent))
        head, _, body = came.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:])
        self.reply = Reply(int(lines[0].split()[1]), headers, body)
