"""One request of a caller and its one response."""

from typing import Any

import h11

from gentiantrestle import events
from gentiantrestle.errors import UPSTREAM_OUTCOME_UNKNOWN, refuse
from gentiantrestle.http.link import CHUNKED_SINCE, HeaderPairs, Link
from gentiantrestle.http.messages import may_have_body, reason_phrase

CONTENT_LENGTH = b'content-length'
CONNECTION_CLOSE = (b'Connection', b'close')


class Exchange:
    """One request of a caller and its one response.

    ``started`` is set when sending the response begins, ``finished`` when it
    is complete. With ``close_after`` it has the field Connection: close.
    ``admitted`` is what the server's ``check_head`` has returned.
    """

    def __init__(self, link: Link, head: h11.Request, body: bytes) -> None:
        """Take the complete request; nothing has been sent yet."""
        self.head = head
        self.body = body
        self.started = False
        self.finished = False
        self.close_after = False
        self.admitted: Any = None
        self._link = link

    async def respond(
        self,
        status: int,
        headers: HeaderPairs,
        body: bytes = b'',
    ) -> None:
        """Send a complete response; sets Content-Length.

        Raises ``h11.LocalProtocolError``, with nothing sent, for what is no
        valid head.
        """
        length = (CONTENT_LENGTH, str(len(body)).encode())
        fields = [pair for pair in headers if pair[0].lower() != CONTENT_LENGTH]
        head = self._build_head(status, [*fields, length])
        self.started = True
        await self._link.send(
            head,
            h11.Data(
                data=body if may_have_body(self.head.method, status) else b''
            ),
            h11.EndOfMessage(),
        )
        self._finish()

    async def start_stream(
        self,
        status: int,
        headers: HeaderPairs,
        first: bytes,
    ) -> None:
        """Send the head and the first part of a streamed response."""
        head = self._build_head(status, headers)
        self.started = True
        if self.head.http_version < CHUNKED_SINCE:
            self._link.reset_on_close(enabled=True)
        await self._link.send(head, h11.Data(data=first))

    async def send_part(self, part: bytes) -> None:
        """Send one more part of a streamed response."""
        await self._link.send(h11.Data(data=part))

    async def finish_stream(self) -> None:
        """Complete a streamed response."""
        if self.head.http_version < CHUNKED_SINCE:
            self._link.reset_on_close(enabled=False)
        await self._link.send(h11.EndOfMessage())
        self._finish()

    @property
    def disconnected(self) -> bool:
        """Whether the caller has left."""
        return self._link.disconnected

    @property
    def disconnect_reason(self) -> str:
        """What shows that the caller has left: its EOF, or an error."""
        if self._link.eof_seen:
            return 'EOF'
        return self._link.lost_reason

    @property
    def can_reuse(self) -> bool:
        """Whether the connection can serve another request after this one."""
        if not self.finished or self.close_after or self.disconnected:
            return False
        machine = self._link.machine
        return (machine.our_state, machine.their_state) == (h11.DONE, h11.DONE)

    def end(self, *, is_planned: bool) -> None:
        """Cut an answer that has begun; refuse a request that may have run."""
        reason = 'This instance ends'
        if not is_planned:
            reason = 'The request was cancelled by mistake'
            events.emit(events.REQUEST_FAILED, error=reason)
        if not self.started:
            raise refuse(UPSTREAM_OUTCOME_UNKNOWN, reason)
        self.abort()

    def abort(self) -> None:
        """Reset the connection, so that the response looks incomplete."""
        self._link.abort()

    def _finish(self) -> None:
        """Let the handler run to its end even if the caller leaves now."""
        self.finished = True
        self._link.cancel_on_disconnect(None)

    def _build_head(self, status: int, headers: HeaderPairs) -> h11.Response:
        fields = list(headers)
        if self.close_after:
            fields.append(CONNECTION_CLOSE)
        return h11.Response(
            status_code=status,
            headers=fields,
            reason=reason_phrase(status),
        )
