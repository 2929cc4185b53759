"""Watch answers pass by and count them for the report."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from gentiantrestle.context import Context
from gentiantrestle.daemon.report.burn import (
    AVAILABILITY,
    FIRST_TOKEN,
    TOKEN_PACE,
    BurnCounter,
    Subject,
)
from gentiantrestle.errors import OVERLOADED, RefusedError
from gentiantrestle.http.messages import Response

SERVER_ERROR = 500
EVENT_END = b'\n\n'
ERROR_EVENT = b'event: error'


class Measure:
    """Counts the answers of one endpoint."""

    def __init__(
        self,
        ctx: Context,
        counter: BurnCounter,
        endpoint: str,
    ) -> None:
        """Begin now."""
        self._ctx = ctx
        self._counter = counter
        self._endpoint = endpoint
        self._began = ctx.now()

    def record_refusal(self, exc: RefusedError) -> None:
        """Count a refusal, unless the caller's own request is at fault."""
        kind = exc.refusal.kind
        if kind is OVERLOADED or kind.status >= SERVER_ERROR:
            self._available(good=False)

    def record_response(self, response: Response) -> Response:
        """Count an answer, a stream when it has ended."""
        body = response.body
        if isinstance(body, bytes):
            self._available(good=response.status < SERVER_ERROR)
            return response
        return response._replace(body=MeasuredStream(self, body))

    async def watch(self, body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Pass a stream on and count it at its end."""
        first = None
        last = b''
        count = 0
        async for part in body:
            if first is None:
                first = self._ctx.now()
                self._time(FIRST_TOKEN, first - self._began)
            count += part.count(EVENT_END)
            last = part
            yield part
        self._available(good=not last.startswith(ERROR_EVENT))
        if first is not None and count > 1:
            self._time(TOKEN_PACE, (self._ctx.now() - first) / (count - 1))

    def _available(self, *, good: bool) -> None:
        subject = Subject(self._endpoint, AVAILABILITY)
        self._counter.record(subject, self._ctx.now(), good=good)

    def _time(self, objective: str, seconds: float) -> None:
        subject = Subject(self._endpoint, objective)
        self._counter.measure(subject, seconds, self._ctx.now())


class MeasuredStream:
    """A stream that is counted; closing it closes what it passes on."""

    def __init__(self, measure: Measure, body: AsyncIterator[bytes]) -> None:
        """Wrap the stream of an answer."""
        self._body = body
        self._parts = measure.watch(body)

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the parts."""
        return self._parts

    async def aclose(self) -> None:
        """Stop reading, and give back what the stream holds."""
        async with aclosing(self._body):
            await self._parts.aclose()
