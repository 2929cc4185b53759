"""What callers do: batch jobs and single requests."""

import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

import msgspec

from gentiantrestle.daemon.upstreams.adapter import TokenStreamReader
from gentiantrestle.library.connection import Connection, UnreachableError

RUNNING = 'running'
FOLLOW_PERIOD = 0.5  # seconds


class Jobs:
    """The batch jobs of one account."""

    def __init__(self, conn: Connection) -> None:
        """Use a connection with the account's key."""
        self._conn = conn

    @classmethod
    def connect(cls, address: str, key: str) -> 'Jobs':
        """Connect to ``IP:PORT``."""
        return cls(Connection(address, key))

    def submit(self, lines: bytes, key: str, window: float) -> dict[str, Any]:
        """Submit JSON lines; the same key finds the same job again."""
        return self._conn.call(
            'POST',
            f'/v1/batches?completion_window={window}',
            lines,
            (('Idempotency-Key', key),),
        )

    def list(self) -> list[dict[str, Any]]:
        """List the account's jobs."""
        return self._conn.call('GET', '/v1/batches')['data']

    def show(self, job: str) -> dict[str, Any]:
        """Read how far a job is."""
        return self._conn.call('GET', _target(job))

    def follow(self, job: str) -> Iterator[dict[str, Any]]:
        """Yield how far a job is until it has ended."""
        while True:
            status = self.show(job)
            yield status
            if status['status'] != RUNNING:
                return
            time.sleep(FOLLOW_PERIOD)

    def results(self, job: str) -> Iterator[bytes]:
        """Yield the results that there are, as JSON lines."""
        yield from self._conn.stream('GET', f'{_target(job)}/results')

    def cancel(self, job: str) -> dict[str, Any]:
        """Cancel a job for good."""
        return self._conn.call('POST', f'{_target(job)}/cancel')

    def complete(self, model: str, prompt: str, tokens: int) -> Iterator[str]:
        """Yield the answer to a prompt as it comes; a cut one raises."""
        body = msgspec.json.encode(
            {
                'model': model,
                'prompt': prompt,
                'max_tokens': tokens,
                'stream': True,
            }
        )
        reader = TokenStreamReader()
        for part in self._conn.stream('POST', '/v1/completions', body):
            yield from reader.feed(part)
        if not reader.is_complete:
            raise UnreachableError('The answer was cut; drop it and ask again.')


def _target(job: str) -> str:
    return f'/v1/batches/{quote(job)}'
