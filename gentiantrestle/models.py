"""Plain data that more than one part of the system reads."""

from typing import NamedTuple, NotRequired, TypedDict


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read ``IP:PORT``."""
        host, _, port = text.rpartition(':')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Write ``IP:PORT``."""
        return f'{self.host}:{self.port}'


class UpstreamDoc(TypedDict):
    """Settings of one upstream."""

    zone: str
    address: str
    kind: str
    slots: int
    checks_fencing: NotRequired[bool]


class DeploymentDoc(TypedDict):
    """A model as it is rolled out on upstreams."""

    model: str
    version: str
    upstreams: list[str]
    adapters: NotRequired[list[str]]


class EndpointDoc(TypedDict):
    """A name that callers use for a deployment."""

    deployment: str
    max_prompt: int
    repeatable: NotRequired[bool]


class ClientDoc(TypedDict):
    """A client account: hashed keys and limits."""

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
