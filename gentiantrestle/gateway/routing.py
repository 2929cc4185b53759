"""Finds the route and the service of a request; no I/O."""

from collections.abc import Iterable

import xxhash

from gentiantrestle.gateway.model import (
    EMPTY_TABLE,
    Job,
    Route,
    RouteKind,
    RoutingTable,
)

HASH_RANGE = 0x100000000


class _HostRoutes:
    """The routes of one host by path prefix.

    Looked up once for each length of prefix: there may be thousands of routes,
    and a route is looked up for each waiting item.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Of routes with the same prefix the first one counts."""
        self._by_prefix: dict[str, Route] = {}
        for route in routes:
            self._by_prefix.setdefault(route.prefix, route)
        self._lengths = sorted(set(map(len, self._by_prefix)), reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        found = (self._by_prefix.get(path[:length]) for length in self._lengths)
        return next(filter(None, found), None)


class Router:
    """Finds routes by host and longest path prefix."""

    def __init__(self) -> None:
        """Start without any routes."""
        self.table = EMPTY_TABLE
        self._hosts: dict[str, _HostRoutes] = {}

    @property
    def has_config(self) -> bool:
        """Return whether a configuration is in force."""
        return self.table.version > 0

    def apply(self, table: RoutingTable) -> bool:
        """Put ``table`` in force if it is newer; return whether it is.

        Of its routes that can't be read the last readable version stays.
        """
        if table.version <= self.table.version:
            return False
        kept = [
            route
            for route in self.table.routes
            if route.name in table.unreadable
        ]
        table = table._replace(routes=(*table.routes, *kept))
        hosts: dict[str, list[Route]] = {}
        for route in table.routes:
            hosts.setdefault(route.host, []).append(route)
        self.table = table
        self._hosts = {
            host: _HostRoutes(routes) for host, routes in hosts.items()
        }
        return True

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        routes = self._hosts.get(normalize_host(host))
        return routes and routes.match(target.partition('?')[0])

    def match_job(self, job: Job) -> Route | None:
        """Return the batch route of a job and all of its items, or None."""
        route = self.match(job.host, job.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route


def normalize_host(host: str) -> str:
    """Return the value of a Host field in lower case without the port."""
    return host.partition(':')[0].lower()


def choose_service(route: Route, request_id: str) -> str:
    """Choose a service by weight; the same request id gets the same one."""
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(request_id.encode()) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
