"""Sample routes, upstreams, requests and jobs."""

from typing import Any

from gentiantrestle.gateway.model import (
    CallerLimits,
    ItemSpec,
    Job,
    Request,
    Route,
    RouteKind,
    RoutingTable,
    Share,
    Upstream,
)
from gentiantrestle.models import Address

HOST = 'shop.example'
ENGINES = 'engines'
ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


def make_route(**changes: Any) -> Route:
    """Return a streaming route with some fields changed."""
    default = Route(
        name='chat',
        host=HOST,
        prefix='/chat/',
        kind=RouteKind.STREAM,
        timeout=5,
        latency_target=0.3,
        priority=0,
        shares=(Share(ENGINES, 1),),
        max_attempts=2,
        resumable=True,
    )
    return default._replace(**changes)


def make_batch_route(**changes: Any) -> Route:
    """Return a batch route with some fields changed."""
    fields = {
        'name': 'lists',
        'prefix': '/lists/',
        'kind': RouteKind.BATCH,
        'completion_target': 18.0,
        'retention': 60.0,
        'max_attempts': 3,
    }
    return make_route(**(fields | changes))


def make_table(*routes: Route, version: int = 1) -> RoutingTable:
    """Return a configuration with these routes."""
    return RoutingTable(version, routes, CallerLimits())


def make_upstream(name: str, **changes: Any) -> Upstream:
    """Return an engine that is ready, with some fields changed."""
    default = Upstream(
        name, ENGINES, Address('127.0.0.1', 9), 'a1', 8, False, 1
    )
    return default._replace(**changes)


def make_request(name: str, now: float = 0, **changes: Any) -> Request:
    """Return a caller's request that was received at ``now``."""
    default = Request(
        name, 'POST', '/chat/1', HOST, (), b'', now, now + 5, False, 0
    )
    return default._replace(**changes)


def make_job(name: str = 'job1', count: int = 2, **changes: Any) -> Job:
    """Return a job with ``count`` items."""
    specs = tuple(
        ItemSpec(f'{name}-{number}', 100, '/lists/x', {'x-model': 'm'}, b'{}')
        for number in range(count)
    )
    default = Job(name, HOST, '/lists/all', 0, 'one/1', specs)
    return default._replace(**changes)
