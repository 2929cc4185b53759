"""Addresses and the documents of a fleet configuration."""

from typing import NamedTuple, NotRequired, TypedDict

# Largest integers that instances tell each other.
MAX_INT32 = 2147483647
MAX_INT64 = 9223372036854775807
MAX_PORT = 65535


class Address(NamedTuple):
    """IP address and port that a process listens on."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``IP:PORT``; raise ``ValueError`` if PORT is not a port."""
        host, _, port = text.rpartition(':')
        if not 0 <= int(port) <= MAX_PORT:
            raise ValueError(f'{text!r} has no valid port')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``IP:PORT``."""
        return f'{self.host}:{self.port}'


class UpstreamDoc(TypedDict):
    """Settings of one upstream; ``version`` is that of its software."""

    zone: str
    address: str
    kind: str
    slots: int
    checks_fencing: NotRequired[bool]
    version: NotRequired[str]


class DeploymentDoc(TypedDict):
    """A version of a model and the upstreams that serve it."""

    model: str
    version: str
    upstreams: list[str]
    adapters: NotRequired[list[str]]


class EndpointDoc(TypedDict):
    """The name under which callers use a deployment."""

    deployment: str
    max_prompt: int
    repeatable: NotRequired[bool]


class ClientDoc(TypedDict):
    """A client account: hashes of its keys, its rights and limits."""

    key_hashes: list[str]
    admin: NotRequired[bool]
    max_jobs: NotRequired[int]


class FleetDoc(TypedDict):
    """The whole configuration under one revision."""

    revision: int
    upstreams: dict[str, UpstreamDoc]
    deployments: dict[str, DeploymentDoc]
    endpoints: dict[str, EndpointDoc]
    clients: dict[str, ClientDoc]


EMPTY_FLEET = FleetDoc(
    revision=0,
    upstreams={},
    deployments={},
    endpoints={},
    clients={},
)
