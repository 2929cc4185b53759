"""Keeps an answer for callers that send the same request again."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

from gentiantrestle import events
from gentiantrestle.errors import INTERNAL, Refusal, RefusedError
from gentiantrestle.http.messages import Response, refusal_response


class Recording:
    """Records an answer as it arrives, for any number of readers."""

    def __init__(self, started_at: float) -> None:
        """Start empty; ``started_at`` is in seconds of the local clock."""
        self.started_at = started_at
        self.head: Response | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.finished = False
        self._changed = asyncio.Event()

    async def record(self, run: Callable[[], Awaitable[Response]]) -> None:
        """Run the request and record its answer.

        A refusal is recorded as the answer; any other exception as an
        internal error.
        """
        try:
            self.head = await run()
        except RefusedError as exc:
            self.head = refusal_response(exc.refusal)
        except Exception as exc:  # noqa: BLE001 (recorded, else readers hang)
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            self.head = refusal_response(
                Refusal(INTERNAL, 'The request failed with an internal error'),
            )
        try:
            await self._record_body(self.head)
        finally:
            self.finished = True
            self._notify_readers()

    async def replay(self) -> Response:
        """Return the answer from its start, once its head has come."""
        while self.head is None:
            await self._changed.wait()
        body: bytes | AsyncIterator[bytes] = self._replay_parts()
        if isinstance(self.head.body, bytes):
            body = self.head.body
        return self.head._replace(body=body)

    async def _replay_parts(self) -> AsyncIterator[bytes]:
        position = 0
        while True:
            changed = self._changed
            while position < len(self.parts):
                yield self.parts[position]
                position += 1
            if self.finished:
                return
            await changed.wait()

    async def _record_body(self, response: Response) -> None:
        if isinstance(response.body, bytes):
            self._append(response.body)
            return
        async with aclosing(response.body) as parts:
            async for part in parts:
                self._append(part)

    def _append(self, part: bytes) -> None:
        self.parts.append(part)
        self.size += len(part)
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
