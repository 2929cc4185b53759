"""Finds out which run of an upstream answers at its address.

An upstream may start again under its id and address, with another software
version, before the list of upstreams says so here.
"""

import asyncio

import h11

from gentiantrestle import events
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.http.link import (
    Link,
    LinkLostError,
    RequestNotSentError,
    open_link,
)

# Asking takes two round trips; an upstream that is busy answers late.
REPORT_TIMEOUT = 0.5  # seconds
MAX_HEADER_SIZE = 16384  # bytes
MAX_REPORT_SIZE = 65536  # bytes
OK = 200
REPORT_ERRORS = (
    RequestNotSentError,
    LinkLostError,
    TimeoutError,
    ValueError,
    h11.ProtocolError,
)


class OtherRunError(Exception):
    """Another run of the upstream than the listed one may answer."""


class UpstreamRuns:
    """Asks upstreams which run of them answers."""

    def __init__(self, dialect: Dialect) -> None:
        """Encode and decode reports with ``dialect``."""
        self._dialect = dialect

    async def confirm(self, upstream: Upstream, *, must_be_known: bool) -> None:
        """Raise ``OtherRunError`` if another run than the listed one answers.

        With ``must_be_known`` also if none says which it is. The upstream is
        asked on a connection of its own: one that was opened before leads to
        the run that answers, or is reset if it led to an earlier one.
        """
        incarnation = await self._ask(upstream)
        if incarnation is None:
            if must_be_known:
                raise OtherRunError('the run of the upstream is not known')
        elif incarnation != upstream.incarnation:
            events.emit(
                events.RUN_DIFFERS,
                upstream=upstream.id,
                listed=upstream.incarnation,
                found=incarnation,
            )
            raise OtherRunError('the upstream has started again')

    async def _ask(self, upstream: Upstream) -> int | None:
        """Return the incarnation that answers; None if that isn't known."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT):
                return await self._read_incarnation(upstream)
        except REPORT_ERRORS as exc:
            events.emit(
                events.RUN_UNKNOWN, upstream=upstream.id, error=repr(exc)
            )
        return None

    async def _read_incarnation(self, upstream: Upstream) -> int:
        link = await open_link(
            upstream.address, REPORT_TIMEOUT, MAX_HEADER_SIZE
        )
        try:
            await link.send(
                self._dialect.report_request(upstream), h11.EndOfMessage()
            )
            return self._dialect.read_report(await _read_body(link))
        finally:
            link.abort()


async def _read_body(link: Link) -> bytes:
    """Return the body of a report; raise ``ValueError`` if there is none."""
    body = b''
    event = await link.next_event()
    while not isinstance(event, h11.EndOfMessage):
        body += _part_of_report(event)
        if len(body) > MAX_REPORT_SIZE:
            raise ValueError(f'more than {MAX_REPORT_SIZE} bytes')
        event = await link.next_event()
    return body


def _part_of_report(event: h11.Event) -> bytes:
    if isinstance(event, h11.ConnectionClosed):
        raise LinkLostError('closed before the report')
    if isinstance(event, h11.Response) and event.status_code != OK:
        raise ValueError(f'status {event.status_code}')
    return bytes(event.data) if isinstance(event, h11.Data) else b''
