"""Calls of callers: batch jobs and single requests."""

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
    """The batch jobs and requests of one client account."""

    def __init__(self, conn: Connection) -> None:
        """Use a connection with the key of the account."""
        self._conn = conn

    @classmethod
    def connect(cls, address: str, key: str) -> 'Jobs':
        """Use an instance at ``IP:PORT`` and the key of an account."""
        return cls(Connection(address, key))

    def submit(self, lines: bytes, key: str, window: float) -> dict[str, Any]:
        """Submit items as JSON lines and return the status of the job.

        ``key`` is the idempotency key: the same key and lines return the same
        job. ``window`` is the time in s from acceptance to the deadline.
        """
        return self._conn.call(
            'POST',
            f'/v1/batches?completion_window={window}',
            lines,
            (('Idempotency-Key', key),),
        )

    def list(self) -> list[dict[str, Any]]:
        """Return the status of each job of the account."""
        return self._conn.call('GET', '/v1/batches')['data']

    def show(self, job: str) -> dict[str, Any]:
        """Return the status of a job."""
        return self._conn.call('GET', _job_path(job))

    def follow(self, job: str) -> Iterator[dict[str, Any]]:
        """Yield the status of a job until it has ended, polling it."""
        while True:
            status = self.show(job)
            yield status
            if status['status'] != RUNNING:
                return
            time.sleep(FOLLOW_PERIOD)

    def results(self, job: str) -> Iterator[bytes]:
        """Yield parts of the available results, which are JSON lines."""
        yield from self._conn.stream('GET', f'{_job_path(job)}/results')

    def cancel(self, job: str) -> dict[str, Any]:
        """Cancel a job and return its status."""
        return self._conn.call('POST', f'{_job_path(job)}/cancel')

    def complete(self, model: str, prompt: str, tokens: int) -> Iterator[str]:
        """Yield the text of the answer to a prompt as it arrives.

        ``tokens`` limits the answer. Raise ``UnreachableError`` if the answer
        is cut off.
        """
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
            raise UnreachableError(
                'The answer was cut off; discard it and try again.'
            )


def _job_path(job: str) -> str:
    return f'/v1/batches/{quote(job)}'
