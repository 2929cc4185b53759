"""Find an upstream for each request; try again, or a second, if allowed."""

import asyncio

from gentiantrestle.context import Context
from gentiantrestle.daemon.online.admission import Admission, Wanted
from gentiantrestle.daemon.online.attempt import (
    AnswerStream,
    Attempt,
    AttemptError,
    LeavingError,
    OnlineRequest,
)
from gentiantrestle.daemon.online.hedging import HedgeRule
from gentiantrestle.daemon.online.race import discard, first_good, was_kept
from gentiantrestle.daemon.online.retries import (
    Failure,
    RetryBudget,
    Verdict,
    judge,
)
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.errors import (
    RefusedError,
)
from gentiantrestle.http.messages import (
    EVENT_STREAM,
    JSON,
    Response,
)


class Relay:
    """Finds an upstream for each request and tries again where allowed."""

    def __init__(
        self,
        ctx: Context,
        fleet: UpstreamRegistry,
        admission: Admission,
    ) -> None:
        """Start with a full retry budget."""
        self._ctx = ctx
        self._fleet = fleet
        self._admission = admission
        self._budgets: dict[str, RetryBudget] = {}
        self._hedges = HedgeRule()

    async def answer(self, work: OnlineRequest) -> Response:
        """Answer a request, or raise a refusal that says if it was run."""
        budget = self._budgets.setdefault(work.client, RetryBudget())
        budget.note_request(self._ctx.now())
        excluded: set[str] = set()
        attempts = 0
        while True:
            attempts += 1
            wanted = Wanted(
                work.client,
                work.deployment,
                work.prompt,
                frozenset(excluded),
            )
            upstream = await self._admission.enter(wanted)
            try:
                return await self._race(work, upstream, wanted, budget)
            except AttemptError as exc:
                failure = Failure(exc.stage, work.repeatable, attempts)
                excluded.add(upstream.name)
                self._follow(failure, exc, budget, len(excluded), work)

    async def _race(
        self,
        work: OnlineRequest,
        upstream: Upstream,
        wanted: Wanted,
        budget: RetryBudget,
    ) -> Response:
        """Try one upstream, and a second one if the first is slow to start.

        The first answer that begins is the answer; the other attempt is
        cancelled before any of its parts is passed on.
        """
        delay = self._hedges.delay(work.prompt, repeatable=work.repeatable)
        began = self._ctx.now()
        tasks = [asyncio.create_task(self._try(work, upstream))]
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            second = None if done else self._second(wanted, upstream, budget)
            if second is not None:
                tasks.append(asyncio.create_task(self._try(work, second)))
            response = await first_good(tasks, delay or 0)
        finally:
            await discard(tasks)
        if not was_kept(tasks[0]):
            self._note_late(upstream, began)
        return response

    def _note_late(self, upstream: Upstream, began: float) -> None:
        """Count a start that was overtaken as a slow token."""
        now = self._ctx.now()
        upstream.health.measure(now - began, now)

    def _second(
        self,
        wanted: Wanted,
        first: Upstream,
        budget: RetryBudget,
    ) -> Upstream | None:
        """Take a free slot elsewhere, if there is one and the budget lasts."""
        others = wanted._replace(excluded=wanted.excluded | {first.name})
        if not self._admission.has_free(others):
            return None
        if not budget.take(self._ctx.now()):
            return None
        self._ctx.metrics.attempts.inc({'outcome': 'hedge'})
        return self._admission.take_free(others)

    def _follow(
        self,
        failure: Failure,
        exc: AttemptError,
        budget: RetryBudget,
        tried: int,
        work: OnlineRequest,
    ) -> None:
        """Return if another attempt may follow; else raise the refusal."""
        others_left = tried < len(work.deployment['upstreams'])
        within = others_left and budget.take(self._ctx.now())
        if judge(failure, within_budget=within) is not Verdict.RETRY:
            raise RefusedError(exc.refusal) from exc
        self._ctx.metrics.attempts.inc({'outcome': 'retry'})

    async def _try(self, work: OnlineRequest, upstream: Upstream) -> Response:
        attempt = Attempt(self._ctx, work, upstream)
        try:
            answer = await attempt.send()
        except LeavingError as exc:
            self._fleet.mark_leaving(upstream.name, exc.incarnation)
            self._leave(attempt)
            raise
        except BaseException:
            self._leave(attempt)
            raise
        kind = answer.header('Content-Type') or JSON
        if kind.startswith(EVENT_STREAM):
            stream = AnswerStream(attempt, answer, self._leave)
            await stream.begin()
            self._hedges.note_start(self._ctx.now() - attempt.started_at)
            return Response(answer.status, stream, kind)
        try:
            body = await attempt.read(answer)
        finally:
            self._leave(attempt)
        return Response(answer.status, body, kind)

    def _leave(self, attempt: Attempt) -> None:
        seconds = self._ctx.now() - attempt.started_at
        self._admission.leave(attempt.client, attempt.upstream, seconds)
