"""Decodes and encodes the messages of the platform's callers and servers."""

import re
from collections.abc import Iterable
from urllib.parse import parse_qs

import h11
import msgspec

from gentiantrestle.errors import BAD_REQUEST, Refusal, refuse
from gentiantrestle.gateway.headers import forwardable_headers
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Request, Upstream
from gentiantrestle.gateway.ports import (
    CancelJob,
    JobOperation,
    ReadBody,
    ReadResults,
    Reply,
)
from gentiantrestle.http.link import HeaderPairs
from gentiantrestle.http.messages import error_document
from gentiantrestle.platform import credentials, field_values
from gentiantrestle.platform.items import ID_PATTERN, decode_item

HOST = b'host'
REQUEST_ID = b'x-attempt-id'
# Remaining time in ms, not a point in time.
TIME_LEFT = b'x-deadline-ms'
EXPECTED_UPSTREAM = b'x-expect-instance'
# Proves that the server itself has produced the response.
STAMP = b'x-server-stamp'
NOT_RUN = b'x-not-executed'
LAST_EVENT = b'last-event-id'
# The attempt that brought the first event of a stream that is taken up.
RESUMED_ATTEMPT = b'resumes'
ENCODING = b'content-encoding'
CONTENT_TYPE = b'content-type'
WAIT = b'x-wait-ms'
LENGTH = b'content-length'
RATE_LIMIT = b'server-limit'
LEAVING = b'server-leaving'
# The parts of the prompt in order, as ID:TOKENS; the last is the request's own.
PROMPT_PARTS = b'x-prompt-prefix'
# Set separately for each upstream.
REPLACED = frozenset((TIME_LEFT, EXPECTED_UPSTREAM, LAST_EVENT, LENGTH))
REPLACED_FOR_ITEMS = REPLACED | {HOST, REQUEST_ID}
MISDIRECTED = 421
FIRST_NON_SUCCESS = 300
MAX_WAIT = 1.0  # seconds that a read of results may wait
DEFAULT_TIMEOUT = 60.0  # seconds, for requests without a deadline
MAX_ITEMS = 200  # items in one job
MS = 0.001  # seconds
RESULTS_PATH = re.compile(r'/gentiantrestle/lots/([\w.-]{1,128})')
REPORT_PATH = '/gentiantrestle/report'
BODY_PATH = re.compile(r'/gentiantrestle/items/([\w.-]{1,128})')
COMPLETED = 'completed'
DEAD_LETTERED = 'dead_lettered'
# msgspec and base64 raise subclasses of ValueError.
DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class _Report(msgspec.Struct):
    """What a server says of itself; ``born`` is in ms."""

    born: int


class PlatformDialect:
    """Formats of the platform's callers and servers; decides nothing."""

    def read_job_operation(self, head: h11.Request) -> JobOperation | None:
        """Decode an operation on batch jobs; None for an ordinary request."""
        path, _, query = head.target.decode('latin-1').partition('?')
        query_values = parse_qs(query)
        match = BODY_PATH.fullmatch(path)
        if match and head.method == b'GET':
            return ReadBody(match[1], query_values.get('id', [''])[0])
        match = RESULTS_PATH.fullmatch(path)
        if match and head.method == b'DELETE':
            return CancelJob(match[1])
        if match and head.method == b'GET':
            after = query_values.get('after', ['0'])[0]
            wait = field_values.number(dict(head.headers).get(WAIT)) * MS
            position = field_values.number(after.encode())
            return ReadResults(match[1], position, min(MAX_WAIT, wait))
        return None

    def read_request(
        self, head: h11.Request, body: bytes, now: float
    ) -> Request:
        """Decode an ordinary request; raise ``RefusedError`` if invalid.

        ``now`` is a monotonic time in s.
        """
        fields = dict(head.headers)
        request_id = fields.get(REQUEST_ID, b'').decode('latin-1')
        if not ID_PATTERN.fullmatch(request_id):
            raise refuse(
                BAD_REQUEST, 'X-Attempt-Id is missing or is not a valid id'
            )
        timeout = (
            field_values.number(fields.get(TIME_LEFT)) * MS or DEFAULT_TIMEOUT
        )
        return Request(
            request_id,
            head.method.decode(),
            head.target.decode('latin-1'),
            fields.get(HOST, b'').decode('latin-1'),
            forwardable_headers(head.headers, REPLACED),
            body,
            now,
            now + timeout,
            last_event=field_values.number(fields.get(LAST_EVENT)),
            prompt_parts=field_values.shared_parts(
                fields.get(PROMPT_PARTS, b'')
            ),
            resumes=field_values.optional_id(fields.get(RESUMED_ATTEMPT, b'')),
        )

    def read_key(self, head: h11.Request) -> str:
        """Return the key of a request as it came; empty without a valid one."""
        return credentials.read_key(head.headers)

    def name_account(self, req: Request, account: str) -> Request:
        """Return a request of an account for upstreams, without its key."""
        return req._replace(
            headers=credentials.name_account(req.headers, account),
            account=account,
        )

    def read_items(
        self, body: bytes, account: str | None = None
    ) -> tuple[ItemSpec, ...]:
        """Decode a job's items; raise ``RefusedError`` if invalid.

        Those of an account hold no keys and name no account themselves.
        """
        try:
            documents = msgspec.json.decode(body)['items']
            specs = tuple(
                decode_item(document, REPLACED_FOR_ITEMS)
                for document in documents
            )
        except DECODE_ERRORS as exc:
            raise refuse(BAD_REQUEST, f'Not a batch job: {exc!r}') from exc
        if not 0 < len(specs) <= MAX_ITEMS:
            raise refuse(BAD_REQUEST, f'A job has 1 to {MAX_ITEMS} items')
        if len({spec.id for spec in specs}) != len(specs):
            raise refuse(BAD_REQUEST, 'Two items of the job share an id')
        return specs if account is None else _without_credentials(specs)

    def upstream_headers(
        self,
        req: Request,
        upstream: Upstream,
        left: float,
        last_event: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header for an upstream; ``left`` is the time left in s."""
        return [
            *req.headers,
            (TIME_LEFT, str(max(1, int(left / MS))).encode()),
            *_upstream_fields(upstream, last_event),
        ]

    def item_headers(
        self,
        spec: ItemSpec,
        host: str,
        upstream: Upstream,
        last_event: int,
        account: str | None = None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header for one run of a batch item of ``account``."""
        item_fields = forwardable_headers(
            (
                (name.encode(), text.encode())
                for name, text in spec.headers.items()
            ),
            REPLACED_FOR_ITEMS,
        )
        if account is not None:
            item_fields = credentials.name_account(item_fields, account)
        return [
            (HOST, host.encode()),
            (REQUEST_ID, spec.id.encode()),
            *item_fields,
            *_upstream_fields(upstream, last_event),
        ]

    def item_prompt_parts(self, spec: ItemSpec) -> tuple[str, ...]:
        """Return the ids of the shared parts of an item's prompt."""
        names = {name.lower(): text for name, text in spec.headers.items()}
        return field_values.shared_parts(
            names.get(PROMPT_PARTS.decode(), '').encode()
        )

    def read_reply(self, head: h11.Response) -> Reply:
        """Decode the head of a server's response."""
        fields = dict(head.headers)
        not_run = NOT_RUN in fields or head.status_code == MISDIRECTED
        authentic = STAMP in fields and ENCODING not in fields
        return Reply(
            head.status_code,
            forwardable_headers(head.headers),
            fields.get(REQUEST_ID, b'').decode('latin-1'),
            genuine=authentic or head.status_code >= FIRST_NON_SUCCESS,
            not_run=not_run,
            wrong_instance=head.status_code == MISDIRECTED,
            leaving=fields.get(LEAVING) == b'1',
            rate_limit=field_values.rate(fields.get(RATE_LIMIT, b'')),
            event_stream=field_values.is_event_stream(fields.get(CONTENT_TYPE)),
        )

    def report_request(self, upstream: Upstream) -> h11.Request:
        """Build the head of a request for what an upstream says of itself."""
        return h11.Request(
            method='GET',
            target=REPORT_PATH,
            headers=[(HOST, str(upstream.address).encode())],
        )

    def read_report(self, body: bytes) -> int:
        """Return the incarnation that a report names; raise ``ValueError``."""
        return msgspec.json.decode(body, type=_Report).born

    def write_refusal(
        self,
        refusal: Refusal,
    ) -> tuple[int, HeaderPairs, bytes]:
        """Encode a refusal as status, header and body."""
        headers = [(b'content-type', b'application/json')]
        if refusal.retry_after is not None:
            delay = str(round(refusal.retry_after, 2))
            headers.append((b'retry-after', delay.encode()))
        body = msgspec.json.encode(error_document(refusal))
        return refusal.kind.status, headers, body

    def write_results(
        self,
        total: int,
        after: int,
        results: Iterable[ItemResult],
    ) -> bytes:
        """Encode the page of results that follows position ``after``."""
        rows = [
            {
                'id': item.id,
                'state': COMPLETED if item.completed else DEAD_LETTERED,
                'output': item.output,
            }
            for item in results
        ]
        return msgspec.json.encode(
            {'total': total, 'next': after + len(rows), 'results': rows},
        )


def _without_credentials(specs: Iterable[ItemSpec]) -> tuple[ItemSpec, ...]:
    return tuple(
        spec._replace(headers=credentials.without_credentials(spec.headers))
        for spec in specs
    )


def _upstream_fields(
    upstream: Upstream,
    last_event: int,
) -> list[tuple[bytes, bytes]]:
    fields = [(EXPECTED_UPSTREAM, upstream.id.encode())]
    if last_event:
        fields.append((LAST_EVENT, str(last_event).encode()))
    return fields
