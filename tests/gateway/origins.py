"""What tells where streams began, without a network."""

from collections.abc import Callable
from types import SimpleNamespace

from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import (
    Adapter,
    ObjectKinds,
    ObjectStore,
    StoredObject,
)
from gentiantrestle.gateway.streams.asking import PeerOrigins
from gentiantrestle.gateway.streams.reading import StreamReader, VersionReader
from gentiantrestle.gateway.streams.resolving import OriginSources
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_upstream

ZONE = 'a1'
UPSTREAMS = 'servers'


def make_adapter(store: ObjectStore) -> Adapter:
    """Return one whose entries of upstreams hold only a version."""
    decoder = SimpleNamespace(read_upstream=_read_upstream)
    kinds = ObjectKinds('config', 'main', UPSTREAMS)
    return Adapter(store, decoder, None, kinds)


def make_sources(store: ObjectStore, now: Callable[[], float]) -> OriginSources:
    """Return those of an instance that is alone."""
    return OriginSources(
        StreamReader(store),
        VersionReader(make_adapter(store)),
        PeerOrigins(ZONE, PeerList('me', '10.0.0.1', ZONE, ()), now),
    )


async def list_upstream(store: MemoryStore, version: str) -> None:
    """Write the entry of an upstream of a version."""
    await store.create(UPSTREAMS, f'u-{version}', version)


def _read_upstream(stored: StoredObject) -> Upstream:
    return make_upstream(stored.name, version=stored.content)
