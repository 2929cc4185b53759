"""What the gateway needs of an adapter to the platform around it."""

from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

import h11

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.model import (
    HeaderTuple,
    ItemResult,
    ItemSpec,
    Request,
    RoutingTable,
    Upstream,
)


class HistoryGoneError(Exception):
    """The store has dropped the history that a watch asked for."""


class StoredObject(NamedTuple):
    """One object of the store; ``content`` and ``status`` are plain data."""

    name: str
    revision: int
    content: Any
    status: Any = None
    deleted: bool = False


class Page(NamedTuple):
    """Part of a list, or the changes since a revision."""

    entries: tuple[StoredObject, ...]
    revision: int
    more: bool = False


class ObjectStore(Protocol):
    """The platform's store: each call changes one object.

    Raises ``StoreUnavailableError`` where nothing was done and
    ``StoreOutcomeUnknownError`` where a change may yet take effect.
    """

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List one page of a kind after a name."""

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait up to ``wait`` s for changes; raise ``HistoryGoneError``."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; False where one exists."""

    async def put_status(
        self, kind: str, found: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False where the object has changed since."""

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; deleting twice is the same as once."""


class Reply(NamedTuple):
    """The head of an upstream's answer."""

    status: int
    headers: HeaderTuple
    request_id: str
    genuine: bool
    not_run: bool
    wrong_instance: bool


class ReadResults(NamedTuple):
    """A caller asks for a job's results from a position on; wait in s."""

    job: str
    after: int
    wait: float


class ReadBody(NamedTuple):
    """A caller asks for the body of an item."""

    job: str
    item_id: str


class CancelJob(NamedTuple):
    """A caller ends a job."""

    job: str


JobOperation = ReadResults | ReadBody | CancelJob


class Dialect(Protocol):
    """The adapter's names and formats; it decides nothing."""

    def read_job_operation(self, head: h11.Request) -> JobOperation | None:
        """Recognize a call on batch jobs; None is an ordinary request."""

    def read_request(
        self, head: h11.Request, body: bytes, now: float
    ) -> Request:
        """Decode an ordinary request; raise ``RefusedError`` if unfit."""

    def read_items(self, body: bytes) -> tuple[ItemSpec, ...]:
        """Decode a job's items; raise ``RefusedError`` if unfit."""

    def upstream_headers(
        self, call: Request, upstream: Upstream, left: float, last_event: int
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of a request that has ``left`` s."""

    def item_headers(
        self, spec: ItemSpec, host: str, upstream: Upstream, last_event: int
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of an item's run."""

    def read_reply(self, head: h11.Response) -> Reply:
        """Decode the head of an upstream's answer."""

    def write_refusal(self, refusal: Refusal) -> tuple[int, list, bytes]:
        """Encode a refusal: status, header, body."""

    def write_results(
        self, total: int, after: int, results: Iterable[ItemResult]
    ) -> bytes:
        """Encode a page of results."""


class DocumentDecoder(Protocol):
    """Decodes what operators and upstreams write into the store."""

    def read_table(self, stored: StoredObject) -> RoutingTable | None:
        """Decode the configuration; None where it can't be read."""

    def read_upstream(self, stored: StoredObject) -> Upstream | None:
        """Decode an upstream's entry; None where it can't be used."""


class ObjectKinds(NamedTuple):
    """Names of what others write into the store."""

    config: str
    config_name: str
    upstreams: str


class Adapter(NamedTuple):
    """All that ties the gateway to one platform."""

    store: ObjectStore
    documents: DocumentDecoder
    dialect: Dialect
    kinds: ObjectKinds
