"""Relay requests to upstreams, with retries and hedging where allowed."""

import asyncio
from functools import partial

from gentiantrestle.context import Context
from gentiantrestle.daemon.online.admission import Admission, SlotRequest
from gentiantrestle.daemon.online.answer_stream import AnswerStream
from gentiantrestle.daemon.online.attempt import (
    Attempt,
    AttemptError,
    OnlineRequest,
    UpstreamLeavingError,
)
from gentiantrestle.daemon.online.crashes import CrashGuard
from gentiantrestle.daemon.online.hedging import HedgeRule
from gentiantrestle.daemon.online.race import (
    cancel_losers,
    first_success,
    is_winner,
)
from gentiantrestle.daemon.online.retries import (
    Failure,
    RetryBudget,
    Stage,
    Verdict,
    classify_failure,
)
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.errors import (
    QUARANTINED,
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    Run,
    refuse,
)
from gentiantrestle.http.messages import (
    EVENT_STREAM,
    JSON,
    Response,
)


class RelayProgress:
    """What has been tried for a request so far.

    ``may_have_run`` is set by an attempt of unknown outcome. ``crashes`` counts
    the upstreams that ended while they began the answer.
    """

    def __init__(self, traits: tuple[str, ...]) -> None:
        """Start before the first attempt of a request with these traits."""
        self.traits = traits
        self.attempts = 0
        self.crashes = 0
        self.excluded: set[str] = set()
        self.may_have_run = False


class Relay:
    """Relays each request to an upstream, with retries and hedging."""

    def __init__(
        self,
        ctx: Context,
        upstreams: UpstreamRegistry,
        admission: Admission,
        crash_guard: CrashGuard,
    ) -> None:
        """Start with a fresh retry budget for every client.

        What ``crash_guard`` holds back is refused.
        """
        self._ctx = ctx
        self._upstreams = upstreams
        self._admission = admission
        self._crash_guard = crash_guard
        self._budgets: dict[str, RetryBudget] = {}
        self._hedge_rule = HedgeRule()

    async def answer(self, request: OnlineRequest) -> Response:
        """Answer a request, or raise ``RefusedError``.

        The kind of its refusal tells whether the request may have run.
        """
        progress = RelayProgress(self._crash_guard.admit(request))
        budget = self._budgets.setdefault(request.client, RetryBudget())
        budget.record_request(self._ctx.now())
        try:
            return await self._try_upstreams(request, budget, progress)
        except RefusedError as exc:
            if progress.may_have_run and exc.refusal.kind.run is Run.NOT_RUN:
                raise refuse(
                    UPSTREAM_OUTCOME_UNKNOWN, exc.refusal.reason
                ) from exc
            raise

    async def _try_upstreams(
        self,
        request: OnlineRequest,
        budget: RetryBudget,
        progress: RelayProgress,
    ) -> Response:
        while True:
            progress.attempts += 1
            slot_request = SlotRequest(
                request.client,
                request.deployment,
                request.prompt,
                frozenset(progress.excluded),
            )
            upstream = await self._admission.acquire(slot_request)
            try:
                return await self._race(
                    request, upstream, slot_request, budget, progress
                )
            except AttemptError as exc:
                progress.excluded.add(upstream.name)
                self._raise_unless_retry(exc, budget, progress, request)

    async def _race(
        self,
        request: OnlineRequest,
        upstream: Upstream,
        slot_request: SlotRequest,
        budget: RetryBudget,
        progress: RelayProgress,
    ) -> Response:
        """Try one upstream, and hedge with a second one if it is slow to start.

        The other attempt is cancelled before any of its parts reaches the
        caller.
        """
        delay = self._hedge_rule.delay(
            request.prompt, repeatable=request.repeatable
        )
        started_at = self._ctx.now()
        first = self._run_attempt(request, upstream, progress)
        tasks = [asyncio.create_task(first)]
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            second = (
                None
                if done
                else self._acquire_second(slot_request, upstream, budget)
            )
            if second is not None:
                hedge = self._run_attempt(request, second, progress)
                tasks.append(asyncio.create_task(hedge))
            response = await first_success(tasks, delay or 0)
        finally:
            await cancel_losers(tasks)
        if not is_winner(tasks[0]):
            self._record_slow_start(upstream, started_at)
        return response

    def _record_slow_start(self, upstream: Upstream, started_at: float) -> None:
        """Record the time without an answer as the upstream's token time."""
        now = self._ctx.now()
        upstream.health.record_pace(now - started_at, now)

    def _acquire_second(
        self,
        slot_request: SlotRequest,
        first: Upstream,
        budget: RetryBudget,
    ) -> Upstream | None:
        """Take a free slot on another upstream, within the retry budget."""
        elsewhere = slot_request._replace(
            excluded=slot_request.excluded | {first.name}
        )
        if not self._admission.has_free_slot(elsewhere):
            return None
        if not budget.try_spend(self._ctx.now()):
            return None
        self._ctx.metrics.attempts.inc({'outcome': 'hedge'})
        return self._admission.acquire_if_free(elsewhere)

    def _raise_unless_retry(
        self,
        exc: AttemptError,
        budget: RetryBudget,
        progress: RelayProgress,
        request: OnlineRequest,
    ) -> None:
        """Raise the refusal unless another attempt may follow."""
        if exc.refusal.kind is QUARANTINED:
            raise RefusedError(exc.refusal) from exc
        failure = Failure(
            exc.stage, request.repeatable, progress.attempts, progress.crashes
        )
        upstreams = request.deployment['upstreams']
        has_untried = len(progress.excluded) < len(upstreams)
        within_budget = has_untried and budget.try_spend(self._ctx.now())
        if (
            classify_failure(failure, within_budget=within_budget)
            is not Verdict.RETRY
        ):
            raise RefusedError(exc.refusal) from exc
        self._ctx.metrics.attempts.inc({'outcome': 'retry'})

    async def _run_attempt(
        self,
        request: OnlineRequest,
        upstream: Upstream,
        progress: RelayProgress,
    ) -> Response:
        try:
            return await self._send_attempt(request, upstream, progress)
        except AttemptError as exc:
            progress.crashes += exc.crashed
            if exc.stage is not Stage.NOT_SENT:
                progress.may_have_run = True
            raise

    async def _send_attempt(
        self,
        request: OnlineRequest,
        upstream: Upstream,
        progress: RelayProgress,
    ) -> Response:
        watch = self._crash_guard.watch(progress.traits)
        attempt = Attempt(self._ctx, request, upstream, watch)
        attempt.others = partial(
            self._upstreams.others, upstream.name, request.deployment
        )
        try:
            answer = await attempt.send()
        except UpstreamLeavingError as exc:
            self._upstreams.mark_leaving(upstream.name, exc.incarnation)
            self._release_slot(attempt)
            raise
        except BaseException:
            self._release_slot(attempt)
            raise
        kind = answer.header('Content-Type') or JSON
        if kind.startswith(EVENT_STREAM):
            stream = AnswerStream(attempt, answer, self._release_slot)
            await stream.begin()
            self._hedge_rule.record_start(self._ctx.now() - attempt.started_at)
            return Response(answer.status, stream, kind)
        try:
            body = await attempt.read(answer)
        finally:
            self._release_slot(attempt)
        return Response(answer.status, body, kind)

    def _release_slot(self, attempt: Attempt) -> None:
        seconds = self._ctx.now() - attempt.started_at
        self._admission.release(attempt.client, attempt.upstream, seconds)
