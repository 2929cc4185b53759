"""A streamed answer that holds its slot until it is closed."""

from collections.abc import AsyncIterator, Callable

from gentiantrestle.daemon.online.attempt import Attempt
from gentiantrestle.http.client import ClientResponse


class AnswerStream:
    """A streamed answer; closing it releases the slot and the connection.

    A plain generator that is closed before its first step runs none of its
    code and would release neither.
    """

    def __init__(
        self,
        attempt: Attempt,
        answer: ClientResponse,
        release: Callable[[Attempt], None],
    ) -> None:
        """Take over the slot; ``release`` is called once, on close."""
        self._attempt = attempt
        self._answer = answer
        self._release: Callable[[Attempt], None] | None = release
        self._parts = attempt.stream(answer)
        self._first = b''

    async def begin(self) -> None:
        """Wait for the first part.

        If the attempt fails before it comes, close and raise its error.
        """
        try:
            self._first = await anext(self._parts, b'')
        except BaseException:
            await self.aclose()
            raise

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the parts of the answer, from the first."""
        return self._iterate()

    async def aclose(self) -> None:
        """Stop reading and release the slot; idempotent."""
        await self._parts.aclose()
        release = self._release
        self._release = None
        if release is not None:
            self._attempt.upstream.pool.release(self._answer)
            release(self._attempt)

    async def _iterate(self) -> AsyncIterator[bytes]:
        yield self._first
        async for part in self._parts:
            yield part
