"""Which route and which service a request belongs to; no I/O."""

import xxhash

from gentiantrestle.gateway.model import EMPTY_TABLE, Route, RoutingTable

HASH_RANGE = 0x100000000


class Router:
    """Finds routes by host and longest path prefix in one table."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.table = EMPTY_TABLE
        self._hosts: dict[str, list[Route]] = {}

    @property
    def has_config(self) -> bool:
        """Tell whether any configuration is in force."""
        return self.table.version > 0

    def apply(self, table: RoutingTable) -> bool:
        """Put a newer table in force; an older or equal one is ignored."""
        if table.version <= self.table.version:
            return False
        hosts: dict[str, list[Route]] = {}
        for listed in table.routes:
            hosts.setdefault(listed.host, []).append(listed)
        for routes in hosts.values():
            routes.sort(key=_prefix_length, reverse=True)
        self.table = table
        self._hosts = hosts
        return True

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        path = target.partition('?')[0]
        for route in self._hosts.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def normalize_host(host: str) -> str:
    """Strip a port and the case from a Host field."""
    return host.partition(':')[0].lower()


def choose_service(route: Route, request_id: str) -> str:
    """Pick a split route's service; one request id always gets the same."""
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(request_id.encode()) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
