"""Finds out which run of an upstream answers at its address.

An upstream may start again under its id and address, with another software
version, before the list of upstreams says so here.
"""

import asyncio
from typing import NamedTuple

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
MAX_SEEN = 4096  # upstreams whose last report is remembered
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


class NotAReportError(ValueError):
    """The upstream has answered, but not with a report that can be read."""


class Sighting(NamedTuple):
    """What came of a question on a connection to an upstream.

    ``answered`` if the run behind the connection has answered in HTTP;
    ``incarnation`` is None unless the answer names it.
    """

    answered: bool
    incarnation: int | None = None


NO_SIGHTING = Sighting(answered=False)


class UpstreamRuns:
    """Asks upstreams which run of them answers."""

    def __init__(self, dialect: Dialect) -> None:
        """Encode and decode reports with ``dialect``."""
        self._dialect = dialect
        # The run that each upstream has reported last.
        self._seen: dict[str, int] = {}

    def known(self, upstream: Upstream) -> frozenset[int]:
        """Return the runs that an upstream is known to have begun by now.

        That is the listed one, and the one of its last report: the list may be
        older than a restart.
        """
        seen = self._seen.get(upstream.id, upstream.incarnation)
        return frozenset((upstream.incarnation, seen))

    async def confirm(self, upstream: Upstream, *, must_be_known: bool) -> None:
        """Raise ``OtherRunError`` if another run than the listed one answers.

        With ``must_be_known`` also if none says which it is. The upstream is
        asked on a connection of its own: one that was opened before leads to
        the run that answers, or is reset if it led to an earlier one.
        """
        incarnation = await self.ask(upstream)
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

    async def ask(self, upstream: Upstream) -> int | None:
        """Return the incarnation that answers; None if that isn't known."""
        try:
            link = await open_report_link(upstream)
        except RequestNotSentError as exc:
            _note_unknown(upstream, exc)
            return None
        try:
            return (await self.ask_on(link, upstream)).incarnation
        finally:
            link.abort()

    async def ask_on(self, link: Link, upstream: Upstream) -> Sighting:
        """Ask the run behind an open connection which it is."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT):
                incarnation = await self._read_incarnation(link, upstream)
        except NotAReportError as exc:
            _note_unknown(upstream, exc)
            return Sighting(answered=True)
        except REPORT_ERRORS as exc:
            _note_unknown(upstream, exc)
            return NO_SIGHTING
        self._note_seen(upstream.id, incarnation)
        return Sighting(True, incarnation)

    async def _read_incarnation(self, link: Link, upstream: Upstream) -> int:
        await link.send(
            self._dialect.report_request(upstream), h11.EndOfMessage()
        )
        body = await _read_body(link)
        try:
            return self._dialect.read_report(body)
        except ValueError as exc:
            raise NotAReportError(repr(exc)) from exc

    def _note_seen(self, upstream_id: str, incarnation: int) -> None:
        self._seen.pop(upstream_id, None)
        if len(self._seen) >= MAX_SEEN:
            self._seen.pop(next(iter(self._seen)))
        self._seen[upstream_id] = incarnation


async def open_report_link(upstream: Upstream) -> Link:
    """Connect to an upstream; raise ``RequestNotSentError``."""
    return await open_link(upstream.address, REPORT_TIMEOUT, MAX_HEADER_SIZE)


async def _read_body(link: Link) -> bytes:
    """Return the body of a report; raise ``NotAReportError`` without one."""
    body = b''
    event = await link.next_event()
    while not isinstance(event, h11.EndOfMessage):
        body += _part_of_report(event)
        if len(body) > MAX_REPORT_SIZE:
            raise NotAReportError(f'more than {MAX_REPORT_SIZE} bytes')
        event = await link.next_event()
    return body


def _part_of_report(event: h11.Event) -> bytes:
    if isinstance(event, h11.ConnectionClosed):
        raise LinkLostError('closed before the report')
    if isinstance(event, h11.Response) and event.status_code != OK:
        raise NotAReportError(f'status {event.status_code}')
    return bytes(event.data) if isinstance(event, h11.Data) else b''


def _note_unknown(upstream: Upstream, exc: Exception) -> None:
    events.emit(events.RUN_UNKNOWN, upstream=upstream.id, error=repr(exc))
