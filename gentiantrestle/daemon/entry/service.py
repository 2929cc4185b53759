"""The child that answers HTTP."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.service import Batch
from gentiantrestle.daemon.configuration.admin import Admin
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.entry import routes
from gentiantrestle.daemon.entry.keys import Identity, identify, require_admin
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.service import OnlineService
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import (
    STOPPING,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.messages import Request, Response, refusal_response
from gentiantrestle.http.server import Server
from gentiantrestle.store.client import StoreClient

NOBODY = Identity('', admin=False)
RETRY_AFTER = 1  # seconds


class Parts(NamedTuple):
    """The other children, as the routes reach them."""

    ctx: Context
    store: StoreClient
    membership: Membership
    configuration: Configuration
    admin: Admin
    fleet: UpstreamRegistry
    online: OnlineService
    batch: Batch
    reporter: Reporter


class Visit(NamedTuple):
    """One request, who sends it, and the fields of its path."""

    req: Request
    identity: Identity
    fields: dict[str, str]


class Entry:
    """Serves callers, operators and probes on one port."""

    def __init__(self, parts: Parts) -> None:
        """Bound the server as the settings say."""
        cfg = parts.ctx.cfg
        self.parts = parts
        self.cfg = cfg
        self.batch = parts.batch
        self._requests = parts.ctx.metrics.requests
        self.stopping = False
        self._server = Server(
            self._answer,
            ServerLimits(
                cfg.header_timeout,
                cfg.idle_timeout,
                cfg.stall_timeout,
                cfg.max_connections,
            ),
        )

    async def run(self) -> None:
        """Listen until cancelled."""
        await self._server.start(self.cfg.host, self.cfg.http_port)
        await asyncio.Event().wait()

    async def stop(self, grace: float) -> int:
        """Finish what runs; return how many requests were cut."""
        self.stopping = True
        cut = await self._server.stop(grace)
        with suppress(TimeoutError):
            async with asyncio.timeout(grace):
                await self.parts.online.at_most_once.finish()
        return cut + self.parts.online.at_most_once.running

    @property
    def ready(self) -> bool:
        """Tell whether callers should come to this instance."""
        return self.parts.configuration.loaded.is_set() and not self.stopping

    async def _answer(self, req: Request) -> Response:
        match = routes.find(req)
        if isinstance(match, Response):
            return match
        try:
            response = await self._dispatch(match, req)
        except RefusedError as exc:
            response = refusal_response(exc.refusal)
        self._requests.inc(
            {
                'route': match.route.label,
                'status': str(response.status),
            }
        )
        return response

    async def _dispatch(self, match: routes.Match, req: Request) -> Response:
        identity = NOBODY
        if match.route.role != routes.ANYONE:
            self._refuse_when_stopping()
            identity = self._identify(match.route.role, req)
        visit = Visit(req, identity, match.fields)
        return await match.route.answer(self, visit)

    def _refuse_when_stopping(self) -> None:
        if self.stopping:
            raise refuse(STOPPING, 'This instance is stopping', RETRY_AFTER)

    def _identify(self, role: str, req: Request) -> Identity:
        identity = identify(
            req.headers.get('authorization', ''),
            self.parts.configuration.fleet,
            self.cfg.admin_key_hash,
        )
        if isinstance(identity, Refusal):
            raise RefusedError(identity)
        refusal = require_admin(identity) if role == routes.OPERATOR else None
        if refusal is not None:
            raise RefusedError(refusal)
        return identity
