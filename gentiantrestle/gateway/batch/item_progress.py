"""Runs one item on upstreams until it is whole, dead or cancelled."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Upstream
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.ports import Dialect, Reply
from gentiantrestle.gateway.sse import EventOrderError, EventSplitter
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.http.link import RequestNotSentError

OK = 200
NEVER_POSSIBLE = 422
FAILED = 500
# A running item makes an event every few tens of ms; one that is silent
# for this long goes on elsewhere.
MAX_SILENCE = 3.0  # seconds


class Finished(NamedTuple):
    """What came of one run: a result, or nothing yet."""

    result: ItemResult | None
    reason: str


class ItemRun:
    """An item's text so far; it outlives the runs that are cut."""

    def __init__(self, entry: JobEntry, spec: ItemSpec, attempts: int) -> None:
        """Allow ``attempts`` answers that say the run failed."""
        self.entry = entry
        self.spec = spec
        self._attempts = attempts
        self._failures = 0
        self._texts: list[str] = []
        self._last = 0
        self.spent = float(0)

    async def run(
        self,
        upstream: Upstream,
        placement: Placement,
        dialect: Dialect,
        now: Callable[[], float],
    ) -> Finished:
        """Run on from the last event; never raises but on cancellation."""
        sending = UpstreamConnection(dialect)
        health = placement.health(upstream.id)
        started = now()
        try:
            await sending.connect(upstream)
            reply = await self._start(sending, dialect, upstream)
            finished = await self._read(sending, reply)
        except (RequestNotSentError, ResponseLostError, TimeoutError) as exc:
            health.record_failure(now(), 0)
            finished = Finished(None, repr(exc))
        except EventOrderError as exc:
            finished = Finished(None, repr(exc))
        else:
            health.record_success()
        finally:
            sending.close()
            self.spent += now() - started
        self._log(upstream, finished)
        return finished

    def give_up(self, reason: str) -> ItemResult:
        """Return the result of an item that is not run any more."""
        events.emit(events.ITEM_FAILED, item=self.spec.id, error=reason)
        return ItemResult(self.spec.id, completed=False, output='')

    async def _start(
        self,
        sending: UpstreamConnection,
        dialect: Dialect,
        upstream: Upstream,
    ) -> Reply:
        message = UpstreamRequest(
            self.spec.id,
            'POST',
            self.spec.path,
            dialect.item_headers(
                self.spec, self.entry.job.host, upstream, self._last
            ),
            self.spec.body,
        )
        async with asyncio.timeout(MAX_SILENCE):
            return await sending.send(message)

    async def _read(
        self, sending: UpstreamConnection, reply: Reply
    ) -> Finished:
        if reply.status == OK:
            await self._collect(sending)
            text = '\n'.join(self._texts)
            return Finished(ItemResult(self.spec.id, True, text), 'whole')
        reason = f'status {reply.status}'
        if reply.status == NEVER_POSSIBLE:
            return Finished(self.give_up(reason), reason)
        if reply.status == FAILED and not reply.not_run:
            self._failures += 1
        if self._failures >= self._attempts:
            return Finished(self.give_up(reason), reason)
        return Finished(None, reason)

    async def _collect(self, sending: UpstreamConnection) -> None:
        splitter = EventSplitter(self._last)
        async for part in sending.iter_body(MAX_SILENCE):
            for event in splitter.feed(part):
                self._texts.append(event.data)
                self._last = splitter.last_id

    def _log(self, upstream: Upstream, finished: Finished) -> None:
        events.emit(
            events.ITEM_RUN_ENDED,
            item=self.spec.id,
            job=self.entry.job.id,
            upstream=upstream.id,
            reason=finished.reason,
            last_event=self._last,
        )
