"""Accounts, and a request handler that keeps what it passes on."""

from types import SimpleNamespace
from typing import Any

import h11
import pytest

from gentiantrestle.client_keys import hash_key
from gentiantrestle.errors import (
    NOT_FOUND,
    ErrorKind,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.accounts.model import Account, AccountBook
from gentiantrestle.gateway.batch.access import JobCaller
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.ports import ReadResults
from gentiantrestle.gateway.request_handler import RequestHandler
from gentiantrestle.gateway.routing import Router
from gentiantrestle.platform.dialect import PlatformDialect
from tests.gateway.samples import (
    HOST,
    make_batch_route,
    make_route,
    make_table,
)

KEY = 'key-a'
OTHER_KEY = 'key-b'
BOOK = AccountBook(
    (
        Account('anna', frozenset((hash_key(KEY), hash_key('old'))), 3),
        Account('bert', frozenset((hash_key(OTHER_KEY),))),
    )
)
ROUTES = (
    make_route(priority=7),
    make_route(name='open', prefix='/open/', anonymous=True),
)
OPEN_JOBS = make_batch_route(anonymous=True)
NOW = 5.0
CALL = ('GET', '/gentiantrestle/lots/job1')


def make_head(
    *keys: str, method: str = 'POST', path: str = '/chat/1', **fields: str
) -> h11.Request:
    """Return a request's head with an Authorization field for each key."""
    headers = [('Host', HOST), ('X-Attempt-Id', 'r1'), *fields.items()]
    headers += [('Authorization', text.encode('latin-1')) for text in keys]
    return h11.Request(method=method, target=path, headers=headers)


def make_exchange(head: h11.Request, admitted: Any = None) -> Any:
    """Return a stand-in for an exchange."""
    return SimpleNamespace(
        head=head,
        body=b'late',
        admitted=admitted,
        disconnected=False,
        disconnect_reason='',
    )


class World:
    """A request handler whose forwarder and job calls keep what they get."""

    def __init__(
        self,
        book: AccountBook | None = BOOK,
        routes: tuple[Route, ...] = ROUTES,
    ) -> None:
        """Put accounts and routes in force, unless there are no routes."""
        self.router = Router()
        if routes:
            table = make_table(*routes)
            self.router.apply(table._replace(accounts=book))
        self.served: list[tuple[Request, Route]] = []
        self.callers: list[JobCaller] = []
        self.reasons: list[str] = []
        self.handler = RequestHandler(
            self.router,
            SimpleNamespace(answer=self._answer),
            SimpleNamespace(read_results=self._read_results),
            PlatformDialect(),
            SimpleNamespace(now=lambda: NOW),
        )
        self.handler.record_key_refusal = self.reasons.append
        self.authenticator = self.handler.authenticator

    def refusal(self, head: h11.Request) -> ErrorKind | None:
        """Return the kind of the refusal before the body, if there is one."""
        try:
            self.handler.check_head(head)
        except RefusedError as exc:
            return exc.refusal.kind
        return None

    async def serve(self, head: h11.Request) -> Request:
        """Have a request answered after its body; return the one forwarded."""
        admitted = self.handler.check_head(head)
        await self.handler.handle(make_exchange(head, admitted))
        return self.served[-1][0]

    async def call_refusal(self, *keys: str) -> ErrorKind:
        """Return the kind of the refusal of a call on a job."""
        method, path = CALL
        head = make_head(*keys, method=method, path=path)
        with pytest.raises(RefusedError) as caught:
            await self.handler.handle(make_exchange(head))
        return caught.value.refusal.kind

    async def _answer(self, req: Request, route: Route, exchange: Any) -> str:
        self.served.append((req, route))
        return 'done'

    async def _read_results(
        self, operation: ReadResults, caller: JobCaller
    ) -> Any:
        self.callers.append(caller)
        raise caller.refusal or refuse(NOT_FOUND, 'No such job')
