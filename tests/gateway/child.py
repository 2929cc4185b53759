"""A process that a test starts."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec


class Child:
    """One process started by a test."""

    def __init__(self, log: Path) -> None:
        """Append the output of the process to the file ``log``."""
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *words: str, **environ: str) -> None:
        """Run the module ``words[0]`` with the other words as arguments.

        ``environ`` is added to the environment of this process.
        """
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *words,
                stdout=log,
                stderr=log,
                env={**os.environ, **environ},
            )

    async def end(self, signum: signal.Signals = signal.SIGKILL) -> int:
        """Send a signal, wait for the end, and return the exit status."""
        with suppress(ProcessLookupError):
            self.process.send_signal(signum)
        return await self.process.wait()

    @property
    def running(self) -> bool:
        """Tell whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has printed."""
        return [
            msgspec.json.decode(line)
            for line in self.log.read_bytes().splitlines()
            if line.startswith(b'{')
        ]
