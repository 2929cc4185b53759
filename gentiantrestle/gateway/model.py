"""Plain data of the gateway; adapters decode wire formats into it."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle.models import Address

HeaderTuple = tuple[tuple[bytes, bytes], ...]


class RouteKind(Enum):
    """What a route's requests allow."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    BATCH = 'batch'


class Share(NamedTuple):
    """One service's part of a split route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path prefix go; times are in s."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    resumable: bool = False
    completion_target: float = 0
    retention: float = 0
    max_tokens: int = 0

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Service(NamedTuple):
    """A group of upstreams that do the same work."""

    name: str
    is_engine: bool


class CallerLimits(NamedTuple):
    """Bounds on what callers may send; sizes in bytes, times in s."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3
    idle_timeout: float = 15


class RoutingTable(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


EMPTY_TABLE = RoutingTable(0, (), {}, CallerLimits())


class Upstream(NamedTuple):
    """An upstream as discovered; ``incarnation`` changes when it restarts."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    incarnation: int


class Request(NamedTuple):
    """A caller's request, decoded; ``deadline`` is a monotonic time in s."""

    id: str
    method: str
    target: str
    host: str
    headers: HeaderTuple
    body: bytes
    received: float
    deadline: float
    is_retry: bool = False
    last_event: int = 0


class ItemSpec(NamedTuple):
    """One item of a batch job, as it was handed in.

    Path, header and body are empty where only the job's index was read.
    """

    id: str
    tokens: int
    path: str = ''
    headers: Mapping[str, str] = MappingProxyType({})
    body: bytes = b''


class Job(NamedTuple):
    """An accepted batch job; ``submitted`` is a wall-clock time in s.

    ``version`` is that of the configuration that it was accepted under.
    """

    id: str
    host: str
    path: str
    submitted: float
    acceptor: str
    items: tuple[ItemSpec, ...]  # noqa: WPS110 (batch's word)
    version: int = 0
    cancelled: bool = False
    done: bool = False

    @property
    def tokens(self) -> int:
        """Sum the tokens that the items may need."""
        return sum(spec.tokens for spec in self.items)


class ItemResult(NamedTuple):
    """How one item ended."""

    id: str
    completed: bool
    output: str
