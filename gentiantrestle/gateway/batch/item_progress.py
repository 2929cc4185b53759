"""Runs one item on upstreams until it succeeds or fails."""

import asyncio
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.attempt import check_events
from gentiantrestle.gateway.batch.access import sent_account
from gentiantrestle.gateway.batch.context import BatchContext, Clock
from gentiantrestle.gateway.batch.item_output import (
    Build,
    ItemOutput,
    OutputTooLongError,
)
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Upstream
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.timing import AnswerTimer, AnswerTiming
from gentiantrestle.gateway.sse import (
    EventSplitter,
    EventStreamError,
    ServerSentEvent,
)
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.gateway.upstream_runs import OtherRunError
from gentiantrestle.http.event_timer import EventTimer
from gentiantrestle.http.link import RequestNotSentError
from gentiantrestle.quarantine.guard import QuarantinedError
from gentiantrestle.quarantine.watch import RequestWatch

OK = 200
UNPROCESSABLE = 422  # the item can't succeed on any upstream
RUN_FAILED = 500
# A running item sends an event every few tens of ms; a run that is silent
# for this long is aborted, and the item runs again from its last event.
STALL_TIMEOUT = 3.0  # seconds
# So many empty answers after an item's last event show that there is no more.
MAX_EMPTY_ANSWERS = 2


class RunOutcome(NamedTuple):
    """How one run of an item ended; if ``result`` is None it runs again.

    ``upstream_health`` is what the run says about its upstream.
    """

    result: ItemResult | None
    reason: str
    upstream_health: SlotOutcome = SlotOutcome.SERVED


class ItemProgress:
    """Runs an item; keeps its output so far when a run is cut off.

    The output of one build goes on at no other: there, the item starts again.
    """

    def __init__(
        self, entry: JobEntry, spec: ItemSpec, max_failures: int
    ) -> None:
        """Let the item fail after ``max_failures`` runs with status 500."""
        self.entry = entry
        self.spec = spec
        self._max_failures = max_failures
        self._failures = 0
        self._output = ItemOutput(Build('', ''))
        self._empty_answers = 0
        self._started = float(0)
        self._lost_time = float(0)
        self.run_time = float(0)
        self._timer = AnswerTimer()

    def take_timing(self) -> AnswerTiming:
        """Return, once, what the last run shows of its upstream's pace."""
        timing = self._timer.timing
        self._timer = AnswerTimer()
        return timing

    def wanted_build(self, now: float) -> Build | None:
        """Return the build that an item waits for; None if any will do."""
        return self._output.build if self._output.is_awaited(now) else None

    async def run(
        self,
        lease: SlotLease,
        context: BatchContext,
    ) -> RunOutcome:
        """Run the item from its last event on, in the slot ``lease``.

        Failures of the upstream are returned; only cancellation is raised.
        """
        self._begin_at(lease.upstream, context.clock.now())
        parts = context.dialect.item_prompt_parts(self.spec)
        watch = RequestWatch(context.guard, parts, context.clock, owed=True)
        conn = UpstreamConnection(context.dialect, watch, context.runs)
        conn.on_contact = context.reach.note
        started = self._started
        before = len(self._output.texts)
        try:
            await self._connect(conn, context, lease.upstream)
            reply = await self._start(conn, context, lease.upstream)
            context.slots.note_reply(lease, reply)
            outcome = await self._read(conn, reply, watch, context.clock)
        except (RequestNotSentError, ResponseLostError, TimeoutError) as exc:
            outcome = RunOutcome(None, repr(exc), SlotOutcome.FAILED)
            await conn.check_crash(context.reach)
        except OutputTooLongError as exc:
            self._output = ItemOutput(self._output.build)
            outcome = self._count_failure(str(exc))
        except (EventStreamError, QuarantinedError, OtherRunError) as exc:
            outcome = RunOutcome(None, repr(exc), SlotOutcome.UNKNOWN)
        finally:
            conn.close()
            self.run_time += context.clock.now() - started
        received = len(self._output.texts) - before
        self._log(lease.upstream, outcome, received, conn.framing, parts)
        return outcome

    def fail(self, reason: str) -> ItemResult:
        """Return the result of an item that won't be run any more."""
        events.emit(events.ITEM_FAILED, item=self.spec.id, error=reason)
        return ItemResult(self.spec.id, completed=False, output='')

    def _begin_at(self, upstream: Upstream, now: float) -> None:
        """Begin a run; drop the output so far if it is of another build."""
        self._started = now
        self._timer = AnswerTimer()
        build = Build.from_upstream(upstream)
        if build == self._output.build:
            return
        if self._output.texts:
            events.emit(
                events.ITEM_RESTARTED,
                item=self.spec.id,
                job=self.entry.job.id,
                upstream=upstream.id,
                version=upstream.version,
                began_at=self._output.build.version,
                dropped=len(self._output.texts),
            )
            self._lost_time += self.run_time
            self.run_time = float(0)
        self._output = ItemOutput(build)
        self._empty_answers = 0

    async def _connect(
        self,
        conn: UpstreamConnection,
        context: BatchContext,
        upstream: Upstream,
    ) -> None:
        """Connect; confirm the run where another one would do harm."""
        await conn.connect(upstream)
        usable = context.roster.usable_upstreams(
            upstream.service, context.clock.now()
        )
        is_mixed = len({known.version for known in usable}) > 1
        goes_on = self._output.last_event > 0
        if goes_on or is_mixed:
            await context.runs.confirm(
                upstream, must_be_known=goes_on and is_mixed
            )

    async def _start(
        self,
        conn: UpstreamConnection,
        context: BatchContext,
        upstream: Upstream,
    ) -> Reply:
        job = self.entry.job
        req = UpstreamRequest(
            self.spec.id,
            'POST',
            self.spec.path,
            context.dialect.item_headers(
                self.spec,
                job.host,
                upstream,
                self._output.last_event,
                sent_account(job, context.router.table),
            ),
            self.spec.body,
        )
        self._timer.note_sent(context.clock.now())
        async with asyncio.timeout(STALL_TIMEOUT):
            return await conn.send(req)

    async def _read(
        self,
        conn: UpstreamConnection,
        reply: Reply,
        watch: RequestWatch,
        clock: Clock,
    ) -> RunOutcome:
        if reply.status == OK:
            check_events(reply)
            await self._collect(conn, watch, clock)
            watch.note_sound()
            text = '\n'.join(self._output.texts)
            return RunOutcome(ItemResult(self.spec.id, True, text), 'whole')
        reason = f'status {reply.status}'
        if reply.status == UNPROCESSABLE:
            return RunOutcome(self.fail(reason), reason)
        if reply.status == RUN_FAILED and not reply.not_run:
            return self._count_failure(reason)
        return RunOutcome(None, reason)

    def _count_failure(self, reason: str) -> RunOutcome:
        """Return the outcome of a failed run; the item fails after some."""
        self._failures += 1
        if self._failures >= self._max_failures:
            return RunOutcome(self.fail(reason), reason)
        return RunOutcome(None, reason)

    async def _collect(
        self, conn: UpstreamConnection, watch: RequestWatch, clock: Clock
    ) -> None:
        splitter = EventSplitter(self._output.last_event)
        timer = EventTimer(STALL_TIMEOUT, clock.now())
        async for part in conn.iter_body(STALL_TIMEOUT):
            found = splitter.feed(part)
            now = clock.now()
            timer.note_part(now, has_event=bool(found))
            for event in filter(_has_content, found):
                self._output.add(event.data, splitter.last_id)
                self._empty_answers = 0
                watch.note_event()
            if found:
                self._timer.note_events(now, len(found))
                run_time = self.run_time + now - self._started
                self._output.note_time(now, run_time + self._lost_time)
        if splitter.remainder or self._is_cut_before_an_event(conn):
            raise ResponseLostError('the stream ended within an event')

    def _is_cut_before_an_event(self, conn: UpstreamConnection) -> bool:
        """Return whether an answer that is empty and has no framing was cut.

        One that goes on after the last event of an item is empty and whole.
        """
        if not conn.ended_empty:
            return False
        self._empty_answers += 1
        if not self._output.last_event:
            return True
        return self._empty_answers < MAX_EMPTY_ANSWERS

    def _log(
        self,
        upstream: Upstream,
        outcome: RunOutcome,
        received: int,
        framing: str,
        parts: tuple[str, ...],
    ) -> None:
        events.emit(
            events.ITEM_RUN_ENDED,
            item=self.spec.id,
            job=self.entry.job.id,
            upstream=upstream.id,
            reason=outcome.reason,
            version=upstream.version,
            last_event=self._output.last_event,
            received=received,
            framing=framing,
            prompt_parts=parts,
        )


def _has_content(event: ServerSentEvent) -> bool:
    """Return whether this is an event, and not only a comment."""
    return bool(event.event_id or event.data)
