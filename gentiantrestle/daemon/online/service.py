"""The child that answers callers who wait."""

import asyncio

from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.admission import Admission
from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.daemon.online.claims import Caller, body_digest
from gentiantrestle.daemon.online.once import Once
from gentiantrestle.daemon.online.relay import Relay
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import RefusedError
from gentiantrestle.http.messages import Response
from gentiantrestle.store.client import StoreClient

PUMP_PERIOD = 0.05  # seconds


class OnlineService:
    """Answers requests: directly, or at most once by their key."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
        fleet: UpstreamRegistry,
        reporter: Reporter,
    ) -> None:
        """Share one queue and one memory of answers."""
        self._ctx = ctx
        self.reporter = reporter
        self.admission = Admission(ctx, fleet)
        self._relay = Relay(ctx, fleet, self.admission)
        self.at_most_once = Once(ctx, store, membership)

    async def run(self) -> None:
        """Let waiting requests go as slots come free elsewhere."""
        while True:
            now = self._ctx.now()
            self.admission.pump(now)
            self.at_most_once.expire(now)
            await asyncio.sleep(PUMP_PERIOD)

    async def answer(self, work: OnlineRequest, key: str | None) -> Response:
        """Answer one request; a key makes a resend find the first answer."""
        measure = self.reporter.measure(work.endpoint)
        try:
            response = await self._answer(work, key)
        except RefusedError as exc:
            measure.refused(exc)
            raise
        return measure.answered(response)

    async def _answer(self, work: OnlineRequest, key: str | None) -> Response:
        if work.repeatable or key is None:
            return await self._relay.answer(work)
        return await self.at_most_once.run(
            Caller(work.client, key),
            body_digest(work.target, work.body),
            lambda: self._relay.answer(work),
        )
