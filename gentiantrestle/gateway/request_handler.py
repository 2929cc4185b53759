"""Handles callers' requests: batch jobs, and requests to be forwarded."""

from collections.abc import Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    contextmanager,
    nullcontext,
)
from typing import NamedTuple

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    NO_CONFIGURATION,
    NOT_FOUND,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.accounts.authentication import (
    CONFIG_RETRY_AFTER,
    Authenticator,
    KeyRefusedError,
)
from gentiantrestle.gateway.batch.access import JobCaller
from gentiantrestle.gateway.batch.api import JobApi, Response, Submission
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.ending import Ending
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.model import Request, Route, RouteKind
from gentiantrestle.gateway.ports import (
    CancelJob,
    Dialect,
    JobOperation,
    ReadBody,
)
from gentiantrestle.gateway.routing import Router

# A request with this much less time left than its route's timeout is a retry.
# The gap allows for the time that a first request spends on its way.
RETRY_TIME_GAP = 0.2  # seconds
POST = 'POST'


class AdmittedRequest(NamedTuple):
    """A request that has a route and, if need be, an account."""

    req: Request
    route: Route


class RequestHandler:
    """Routes and answers the requests of an instance's callers."""

    def __init__(
        self,
        router: Router,
        forwarder: Forwarder,
        api: JobApi,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        """Use the routes of ``router``, which may change at any time."""
        self._router = router
        self._forwarder = forwarder
        self._api = api
        self._dialect = dialect
        self._clock = clock
        # Set to an end by a planned stop.
        self.ending = Ending()
        self.record_request: Callable[[str, str, float], None] = _record_nothing
        # Charges a request to its account while it is served; raises
        # ``RefusedError`` for one beyond the account's allowance.
        self.charge: Callable[[Request], AbstractAsyncContextManager] = (
            _charge_nothing
        )
        # Whether this instance knows what the others know.
        self.is_prepared: Callable[[], bool] = _is_always_prepared
        self.authenticator = Authenticator(router)
        # Called with the reason for each request refused for its key.
        self.record_key_refusal: Callable[[str], None] = _ignore_reason

    def check_head(
        self, head: h11.Request
    ) -> AdmittedRequest | JobCaller | None:
        """Judge a request, while its body is still to come, by its key.

        What is returned goes to ``handle`` with its exchange; it is None
        without accounts. Raises ``RefusedError``.
        """
        if not self.authenticator.is_in_force:
            return None
        operation = self._dialect.read_job_operation(head)
        if operation is not None:
            with self._noting_key_refusals(operation.job):
                return self._find_caller(head)
        started = self._clock.now()
        req = self._dialect.read_request(head, b'', started)
        try:
            return self._admit(req, head)
        except RefusedError as exc:
            self._record(req, None, exc.refusal.kind.name, started)
            raise

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; raise ``RefusedError`` for one to be refused."""
        started = self._clock.now()
        operation = self._dialect.read_job_operation(exchange.head)
        if operation is not None:
            with self._noting_key_refusals(operation.job):
                caller = exchange.admitted or self._find_caller(exchange.head)
                answer = await self._run_job_operation(operation, caller)
            await _respond(exchange, answer)
            self.record_request(
                'batch-call', 'done', self._clock.now() - started
            )
            return
        req = self._dialect.read_request(exchange.head, exchange.body, started)
        outcome = ''
        route = None
        try:
            req, route = self._take_admitted(exchange, req)
            outcome = await self._answer(req, route, exchange)
        except RefusedError as exc:
            outcome = exc.refusal.kind.name
            raise
        finally:
            unanswered = 'left' if exchange.disconnected else 'failed'
            self._record(req, route, outcome or unanswered, started, exchange)

    async def _run_job_operation(
        self, operation: JobOperation, caller: JobCaller
    ) -> Response:
        if isinstance(operation, CancelJob):
            return await self._api.cancel(operation, caller)
        if isinstance(operation, ReadBody):
            return await self._api.read_body(operation, caller)
        return await self._api.read_results(operation, caller)

    def _find_caller(self, head: h11.Request) -> JobCaller:
        """Return who calls; raise ``RefusedError`` if no job can be theirs."""
        authenticator = self.authenticator
        if not self._router.has_config:
            return JobCaller(refusal=_not_prepared())
        if not authenticator.is_in_force:
            return JobCaller()
        try:
            self._check_prepared()
            account = authenticator.authenticate(self._dialect.read_key(head))
        except RefusedError as exc:
            if authenticator.serves_open_jobs:
                return JobCaller('', exc)
            raise
        return JobCaller(account.name)

    def _take_admitted(
        self, exchange: Exchange, req: Request
    ) -> AdmittedRequest:
        """Return a request as its head was judged; judge it if it wasn't."""
        admitted: AdmittedRequest | None = exchange.admitted
        if admitted is None:
            return self._admit(req, exchange.head)
        judged = admitted.req
        return admitted._replace(
            req=req._replace(headers=judged.headers, account=judged.account)
        )

    def _admit(self, req: Request, head: h11.Request) -> AdmittedRequest:
        """Find the route and the account of a request; name it upstream."""
        route = self._find_route(req)
        if not self.authenticator.is_in_force:
            return AdmittedRequest(req, route)
        key = self._dialect.read_key(head)
        with self._noting_key_refusals(req.id, route.name):
            account = self.authenticator.authenticate(key, route)
        if account.priority is not None:
            route = route._replace(priority=account.priority)
        return AdmittedRequest(
            self._dialect.name_account(req, account.name), route
        )

    @contextmanager
    def _noting_key_refusals(
        self, request_id: str, route: str = ''
    ) -> Iterator[None]:
        try:
            yield
        except KeyRefusedError as exc:
            self.record_key_refusal(exc.fault.value)
            events.emit(
                events.KEY_REFUSED,
                request=request_id,
                route=route,
                reason=exc.fault.value,
            )
            raise

    def _check_prepared(self) -> None:
        if not self._router.has_config or not self.is_prepared():
            raise _not_prepared()

    def _find_route(self, req: Request) -> Route:
        self._check_prepared()
        route = self._router.match(req.host, req.target)
        if route is not None:
            return route
        if self._router.table.unreadable:
            raise refuse(
                NO_CONFIGURATION,
                'A route of the configuration can not be read',
                CONFIG_RETRY_AFTER,
            )
        raise refuse(NOT_FOUND, 'No route matches this host and path')

    async def _answer(
        self,
        req: Request,
        route: Route,
        exchange: Exchange,
    ) -> str:
        if route.kind is RouteKind.BATCH and req.method == POST:
            submission = Submission(
                self._clock.wall(), self._router.table.version
            )
            answer = await self._api.submit(req, route, submission)
            await _respond(exchange, answer)
            return 'accepted'
        bounded = self.ending.bound(
            within_timeout(req, route), route, self._clock.now()
        )
        async with self.charge(bounded):
            return await self._forwarder.answer(bounded, route, exchange)

    def _record(
        self,
        req: Request,
        route: Route | None,
        outcome: str,
        started: float,
        exchange: Exchange | None = None,
    ) -> None:
        seconds = self._clock.now() - started
        name = route.name if route else ''
        self.record_request(name, outcome, seconds)
        events.emit(
            events.REQUEST_ENDED,
            request=req.id,
            route=name,
            version=self._router.table.version,
            outcome=outcome,
            took_ms=round(seconds * 1000),
            disconnect=exchange.disconnect_reason if exchange else '',
        )


def within_timeout(req: Request, route: Route) -> Request:
    """Return a request with its deadline within the route's timeout.

    It counts as a retry if its caller has been waiting, or has had the
    beginning of a stream.
    """
    left = req.deadline - req.received
    return req._replace(
        deadline=req.received + min(left, route.timeout),
        is_retry=req.last_event > 0 or left < route.timeout - RETRY_TIME_GAP,
    )


async def _respond(exchange: Exchange, answer: Response) -> None:
    await exchange.respond(answer.status, answer.headers, answer.body)


def _charge_nothing(req: Request) -> AbstractAsyncContextManager:
    """Charge nothing; the default until allowances are set up."""
    return nullcontext()


def _not_prepared() -> RefusedError:
    return refuse(
        NO_CONFIGURATION, 'This instance has just started', CONFIG_RETRY_AFTER
    )


def _is_always_prepared() -> bool:
    """Return true until this is set."""
    return True


def _record_nothing(route: str, outcome: str, seconds: float) -> None:
    """Record nothing; the default until metrics are set up."""


def _ignore_reason(reason: str) -> None:
    """Record nothing; the default until metrics are set up."""
