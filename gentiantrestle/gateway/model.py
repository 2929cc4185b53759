"""Data classes of the gateway, independent of any wire format."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle.gateway.accounts.model import AccountBook
from gentiantrestle.models import Address

HeaderTuple = tuple[tuple[bytes, bytes], ...]


class RouteKind(Enum):
    """The kind of a route's requests.

    Safe requests, and streams of a resumable route, may be executed more than
    once.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    BATCH = 'batch'


class Share(NamedTuple):
    """The share of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and path prefix go; times are in s.

    ``latency_target`` is for the first event, and ``completion_target`` for a
    whole batch job. A lower ``priority`` is served first. ``max_tokens``
    bounds the tokens waiting in all batch jobs of the route, of each client
    account if there are accounts; 0 is no bound. An ``anonymous`` route serves
    callers without a key.
    """

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
    anonymous: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def key(self) -> tuple[str, str]:
        """What tells a route from the others of a configuration."""
        return self.host, self.prefix


class CallerLimits(NamedTuple):
    """Limits on callers' requests; sizes in bytes, times in s."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3
    idle_timeout: float = 15


class RoutingTable(NamedTuple):
    """One version of the configuration; ``version`` 0 is none.

    ``unreadable`` names the routes that it has, too, but can't be read.
    Without ``accounts`` callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    unreadable: frozenset[str] = frozenset()
    accounts: AccountBook | None = None


EMPTY_TABLE = RoutingTable(0, (), CallerLimits())


class Upstream(NamedTuple):
    """An upstream as discovered; ``incarnation`` changes when it restarts.

    ``version`` is that of its software; what two versions write of one answer
    doesn't fit together.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    incarnation: int
    version: str = ''

    @property
    def run(self) -> tuple[str, int]:
        """Name one run of the upstream, from its start to its end."""
        return self.id, self.incarnation


class Request(NamedTuple):
    """A caller's request; times are monotonic, in s.

    ``is_retry`` means that the caller has probably been refused before, and
    ``last_event`` is the id of the last event that it has received, or 0.
    ``prompt_parts`` are the ids of the prompt's parts that other requests may
    share: all but the last. ``resumes`` is the id of the attempt that brought
    the first event of a stream that is taken up again, if the caller names it.
    ``account`` names the caller's client account: empty on an anonymous route,
    None if the configuration has no accounts.
    """

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
    prompt_parts: tuple[str, ...] = ()
    resumes: str = ''
    account: str | None = None


class ItemSpec(NamedTuple):
    """One item of a batch job, as submitted.

    ``path``, ``headers`` and ``body`` are empty if only the job's index was
    read.
    """

    id: str
    tokens: int
    path: str = ''
    headers: Mapping[str, str] = MappingProxyType({})
    body: bytes = b''


class Job(NamedTuple):
    """An accepted batch job; ``submitted`` is a wall-clock time in s.

    ``acceptor`` names the instance run that accepted it, and ``version`` the
    configuration in force then. ``cancelled`` is set when a caller cancels
    the job, ``done`` when every item has a result. Its bodies are stored in
    ``body_parts`` objects, named after ``upload`` if that isn't empty.
    ``account`` is that of the request that brought it.
    """

    id: str
    host: str
    path: str
    submitted: float
    acceptor: str
    items: tuple[ItemSpec, ...]
    version: int = 0
    cancelled: bool = False
    done: bool = False
    body_parts: int = 1
    account: str | None = None
    upload: str = ''

    @property
    def tokens(self) -> int:
        """Sum the tokens that the items may need."""
        return sum(spec.tokens for spec in self.items)


class ItemResult(NamedTuple):
    """The result of one item; ``output`` is empty if the item failed."""

    id: str
    completed: bool
    output: str
