"""The supervised child that answers online requests."""

import asyncio

from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.admission import Admission
from gentiantrestle.daemon.online.at_most_once import AtMostOnceRunner
from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.daemon.online.claims import IdempotencyKey, request_digest
from gentiantrestle.daemon.online.crashes import CrashGuard
from gentiantrestle.daemon.online.relay import Relay
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import RefusedError
from gentiantrestle.http.messages import Response
from gentiantrestle.store.client import StoreClient

DISPATCH_PERIOD = 0.05  # seconds


class OnlineService:
    """Answers online requests, at most once where they carry a key."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
        upstreams: UpstreamRegistry,
        reporter: Reporter,
    ) -> None:
        """Create the queue and the kept answers that all requests share."""
        self._ctx = ctx
        self.reporter = reporter
        self.admission = Admission(ctx, upstreams)
        self._relay = Relay(
            ctx, upstreams, self.admission, CrashGuard(ctx, membership)
        )
        self.at_most_once = AtMostOnceRunner(ctx, store, membership)

    async def run(self) -> None:
        """Dispatch the queue and expire kept answers until cancelled.

        The periodic dispatch notices slots that other instances have freed.
        """
        while True:
            now = self._ctx.now()
            self.admission.dispatch(now)
            self.at_most_once.expire(now)
            await asyncio.sleep(DISPATCH_PERIOD)

    async def answer(self, request: OnlineRequest, key: str | None) -> Response:
        """Answer one request, or raise ``RefusedError``.

        If a non-repeatable request has a key, it runs at most once, and a
        resend with the same key gets the first answer.
        """
        measure = self.reporter.start_measurement(request.endpoint)
        try:
            response = await self._answer(request, key)
        except RefusedError as exc:
            measure.record_refusal(exc)
            raise
        return measure.record_response(response)

    async def _answer(
        self, request: OnlineRequest, key: str | None
    ) -> Response:
        if request.repeatable or key is None:
            return await self._relay.answer(request)
        return await self.at_most_once.run(
            IdempotencyKey(request.client, key),
            request_digest(request.target, request.body),
            lambda: self._relay.answer(request),
        )
