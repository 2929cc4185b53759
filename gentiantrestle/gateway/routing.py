"""Finds the route and the service of a request; no I/O."""

import xxhash

from gentiantrestle.gateway.model import (
    EMPTY_TABLE,
    Job,
    Route,
    RouteKind,
    RoutingTable,
)

HASH_RANGE = 0x100000000


class Router:
    """Finds routes by host and longest path prefix."""

    def __init__(self) -> None:
        """Start without any routes."""
        self.table = EMPTY_TABLE
        self._hosts: dict[str, list[Route]] = {}

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
        for routes in hosts.values():
            routes.sort(key=_prefix_length, reverse=True)
        self.table = table
        self._hosts = hosts
        return True

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        path = target.partition('?')[0]
        for route in self._hosts.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def match_job(self, job: Job) -> Route | None:
        """Return the batch route of a job and all of its items, or None."""
        route = self.match(job.host, job.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


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
