"""The child that answers HTTP requests."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.service import Batch
from gentiantrestle.daemon.configuration.admin import Admin
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.entry import routes
from gentiantrestle.daemon.entry.authentication import (
    Identity,
    identify,
    require_admin,
)
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

ANONYMOUS = Identity('', admin=False)
RETRY_AFTER = 1  # seconds


class Components(NamedTuple):
    """The components of the daemon that the routes use."""

    ctx: Context
    store: StoreClient
    membership: Membership
    configuration: Configuration
    admin: Admin
    upstreams: UpstreamRegistry
    online: OnlineService
    batch: Batch
    reporter: Reporter


class RoutedRequest(NamedTuple):
    """A request with the identity of its caller and its path fields."""

    req: Request
    identity: Identity
    fields: dict[str, str]


class Entry:
    """Serves callers, operators and probes on one port."""

    def __init__(self, components: Components) -> None:
        """Create the server with the limits of the settings."""
        cfg = components.ctx.cfg
        self.components = components
        self.cfg = cfg
        self.batch = components.batch
        self._request_counter = components.ctx.metrics.requests
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
        """Stop accepting requests; return how many were cut off.

        Waits up to ``grace`` s for open requests, and again for at-most-once
        requests that run on without their callers.
        """
        self.stopping = True
        cut = await self._server.stop(grace)
        with suppress(TimeoutError):
            async with asyncio.timeout(grace):
                await self.components.online.at_most_once.finish()
        return cut + self.components.online.at_most_once.running

    @property
    def ready(self) -> bool:
        """Tell whether this instance is configured and not stopping."""
        return (
            self.components.configuration.loaded.is_set() and not self.stopping
        )

    async def _answer(self, req: Request) -> Response:
        match = routes.find(req)
        if isinstance(match, Response):
            return match
        try:
            response = await self._dispatch(match, req)
        except RefusedError as exc:
            response = refusal_response(exc.refusal)
        self._request_counter.inc(
            {
                'route': match.route.label,
                'status': str(response.status),
            }
        )
        return response

    async def _dispatch(self, match: routes.Match, req: Request) -> Response:
        identity = ANONYMOUS
        if match.route.role != routes.ANYONE:
            self._refuse_when_stopping()
            identity = self._identify(match.route.role, req)
        routed = RoutedRequest(req, identity, match.fields)
        return await match.route.handler(self, routed)

    def _refuse_when_stopping(self) -> None:
        if self.stopping:
            raise refuse(STOPPING, 'This instance is stopping', RETRY_AFTER)

    def _identify(self, role: str, req: Request) -> Identity:
        identity = identify(
            req.headers.get('authorization', ''),
            self.components.configuration.fleet,
            self.cfg.admin_key_hash,
        )
        if isinstance(identity, Refusal):
            raise RefusedError(identity)
        refusal = require_admin(identity) if role == routes.OPERATOR else None
        if refusal is not None:
            raise RefusedError(refusal)
        return identity
