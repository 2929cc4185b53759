"""Measure answers and streams for the service-level report."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from gentiantrestle.context import Context
from gentiantrestle.daemon.report.burn import (
    AVAILABILITY,
    FIRST_TOKEN,
    TOKEN_PACE,
    BurnCounter,
    ObjectiveKey,
)
from gentiantrestle.errors import OVERLOADED, RefusedError
from gentiantrestle.http.messages import Response

SERVER_ERROR = 500  # lowest HTTP status
EVENT_END = b'\n\n'
ERROR_EVENT = b'event: error'


class AnswerMeasurement:
    """Measures one answer of an endpoint."""

    def __init__(
        self,
        ctx: Context,
        counter: BurnCounter,
        endpoint: str,
    ) -> None:
        """Measure times from now on."""
        self._ctx = ctx
        self._counter = counter
        self._endpoint = endpoint
        self._started_at = ctx.now()

    def record_refusal(self, exc: RefusedError) -> None:
        """Count a refusal, unless the caller's request is at fault."""
        kind = exc.refusal.kind
        if kind is OVERLOADED or kind.status >= SERVER_ERROR:
            self._record_availability(good=False)

    def record_response(self, response: Response) -> Response:
        """Count an answer; a stream is counted when it has ended."""
        body = response.body
        if isinstance(body, bytes):
            self._record_availability(good=response.status < SERVER_ERROR)
            return response
        return response._replace(body=MeasuredStream(self, body))

    async def measure_stream(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a stream, and count it when it has ended."""
        first_at = None
        last_part = b''
        event_count = 0
        async for part in body:
            if first_at is None:
                first_at = self._ctx.now()
                self._record_duration(FIRST_TOKEN, first_at - self._started_at)
            event_count += part.count(EVENT_END)
            last_part = part
            yield part
        self._record_availability(good=not last_part.startswith(ERROR_EVENT))
        if first_at is not None and event_count > 1:
            self._record_duration(
                TOKEN_PACE, (self._ctx.now() - first_at) / (event_count - 1)
            )

    def _record_availability(self, *, good: bool) -> None:
        key = ObjectiveKey(self._endpoint, AVAILABILITY)
        self._counter.record(key, self._ctx.now(), good=good)

    def _record_duration(self, objective: str, seconds: float) -> None:
        key = ObjectiveKey(self._endpoint, objective)
        self._counter.record_duration(key, seconds, self._ctx.now())


class MeasuredStream:
    """A measured stream; closing it closes the wrapped stream."""

    def __init__(
        self, measurement: AnswerMeasurement, body: AsyncIterator[bytes]
    ) -> None:
        """Wrap the body of a streamed answer."""
        self._body = body
        self._parts = measurement.measure_stream(body)

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the parts."""
        return self._parts

    async def aclose(self) -> None:
        """Stop reading, and close the stream so that it frees what it holds."""
        async with aclosing(self._body):
            await self._parts.aclose()
