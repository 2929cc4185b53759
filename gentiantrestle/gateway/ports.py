"""Interfaces that an adapter to a platform implements for the gateway."""

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
    """The store no longer has the changes since a watch's revision."""


class StoredObject(NamedTuple):
    """An object of the store; ``content`` and ``status`` are decoded JSON.

    ``error`` says why they could not be decoded; they are None then.
    """

    name: str
    revision: int
    content: Any
    status: Any = None
    deleted: bool = False
    error: str = ''

    def require_content(self) -> Any:
        """Return the content; raise ``ValueError`` if it is unreadable."""
        if self.error:
            raise ValueError(self.error)
        return self.content


class Page(NamedTuple):
    """Part of a list, or the changes since a revision.

    ``revision`` is that of the store; ``more`` means that the list goes on.
    """

    entries: tuple[StoredObject, ...]
    revision: int
    more: bool = False


class ObjectStore(Protocol):
    """The platform's object store; each write changes one object.

    All calls raise ``StoreUnavailableError`` if nothing was done; writes
    raise ``StoreOutcomeUnknownError`` if the change may still take effect,
    ``StoreRejectedError`` if the same content will never be taken, and
    ``ObjectTooLargeError`` if that is for its size.

    ``max_content_size`` is what a content may take in bytes, with all
    characters that are not ASCII escaped.
    """

    max_content_size: int

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List the objects of a kind whose names follow ``after``.

        With ``stale`` the list may be out of date.
        """

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Return the changes since ``revision``; wait up to ``wait`` s.

        Raises ``HistoryGoneError``.
        """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read an object; None if it does not exist."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; False if it exists."""

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False if the object has changed since."""

    async def replace(
        self, kind: str, stored: StoredObject, content: Any
    ) -> StoredObject | None:
        """Replace an object's content; None if it has changed or is gone."""

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; does nothing if it does not exist."""


class Reply(NamedTuple):
    """The head of an upstream's response.

    ``genuine`` is False for a success that is not proven to come unaltered
    from an upstream. ``not_run`` means that the request was not executed,
    ``wrong_instance`` that it reached another instance than intended.
    ``rate_limit`` is the most requests a second that the upstream takes from
    all instances together, 0 for no limit. ``leaving`` means that the upstream
    will end soon, ``event_stream`` that nothing says that the body is of
    another type.
    """

    status: int
    headers: HeaderTuple
    request_id: str
    genuine: bool
    not_run: bool
    wrong_instance: bool
    rate_limit: float = 0
    leaving: bool = False
    event_stream: bool = True


class ReadResults(NamedTuple):
    """Read a job's results from position ``after`` on; ``wait`` is in s."""

    job: str
    after: int
    wait: float


class ReadBody(NamedTuple):
    """Read the body of a job's item."""

    job: str
    item_id: str


class CancelJob(NamedTuple):
    """Cancel a job."""

    job: str


JobOperation = ReadResults | ReadBody | CancelJob


class Dialect(Protocol):
    """Encodes and decodes the platform's messages; makes no decisions."""

    def read_job_operation(self, head: h11.Request) -> JobOperation | None:
        """Decode an operation on a batch job; None for other requests."""

    def read_request(
        self, head: h11.Request, body: bytes, now: float
    ) -> Request:
        """Decode an ordinary request; ``RefusedError`` if it is invalid."""

    def read_key(self, head: h11.Request) -> str:
        """Return a request's key; empty if it has no valid one, or several."""

    def name_account(self, req: Request, account: str) -> Request:
        """Name the account of a request to upstreams, and nobody if empty.

        Keys and names that the caller has sent are taken out.
        """

    def read_items(
        self, body: bytes, account: str | None = None
    ) -> tuple[ItemSpec, ...]:
        """Decode a job's items; ``RefusedError`` if they are invalid.

        Keys and names of accounts are taken out unless ``account`` is None.
        """

    def upstream_headers(
        self, req: Request, upstream: Upstream, left: float, last_event: int
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of a request; ``left`` s until its deadline.

        The upstream continues after the event ``last_event``; 0 for none.
        """

    def item_headers(
        self,
        spec: ItemSpec,
        host: str,
        upstream: Upstream,
        last_event: int,
        account: str | None = None,
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of a request that runs a batch item.

        It names ``account``, unless that is empty, and holds no key; what the
        item says of these passes if ``account`` is None.
        """

    def item_prompt_parts(self, spec: ItemSpec) -> tuple[str, ...]:
        """Return the ids of the shared parts of an item's prompt."""

    def read_reply(self, head: h11.Response) -> Reply:
        """Decode the head of an upstream's response."""

    def report_request(self, upstream: Upstream) -> h11.Request:
        """Build the head of a request for what an upstream says of itself."""

    def read_report(self, body: bytes) -> int:
        """Return the incarnation that a report names; raise ``ValueError``."""

    def write_refusal(self, refusal: Refusal) -> tuple[int, list, bytes]:
        """Encode a refusal as status, header and body."""

    def write_results(
        self, total: int, after: int, results: Iterable[ItemResult]
    ) -> bytes:
        """Encode the results after a position, of ``total`` items."""


class DocumentDecoder(Protocol):
    """Decodes the objects that operators and upstreams write to the store."""

    def read_table(self, stored: StoredObject) -> RoutingTable | None:
        """Decode the configuration; None if it is invalid."""

    def read_upstream(self, stored: StoredObject) -> Upstream | None:
        """Decode an upstream's entry; None if it is invalid."""


class ObjectKinds(NamedTuple):
    """Kinds and names of objects that others write to the store."""

    config: str
    config_name: str
    upstreams: str


class Adapter(NamedTuple):
    """The parts of an adapter that ties the gateway to one platform."""

    store: ObjectStore
    decoder: DocumentDecoder
    dialect: Dialect
    kinds: ObjectKinds
