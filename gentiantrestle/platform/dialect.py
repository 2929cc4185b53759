"""Names and formats of callers' and servers' messages."""

import base64
import re
from collections.abc import Iterable
from typing import Any
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

HOST = b'host'
REQUEST_ID = b'x-attempt-id'
# Milliseconds that are left, not a point in time.
TIME_LEFT = b'x-deadline-ms'
EXPECTED_UPSTREAM = b'x-expect-instance'
# Proves that an answer is a server's own.
STAMP = b'x-server-stamp'
NOT_RUN = b'x-not-executed'
LAST_EVENT = b'last-event-id'
ENCODING = b'content-encoding'
WAIT = b'x-wait-ms'
LENGTH = b'content-length'
# Set anew for each upstream.
REPLACED = frozenset((TIME_LEFT, EXPECTED_UPSTREAM, LAST_EVENT, LENGTH))
REPLACED_FOR_ITEMS = REPLACED | {HOST, REQUEST_ID}
MISDIRECTED = 421
FIRST_FAILURE = 300
MAX_WAIT = 1.0  # seconds a read of results may be kept waiting
MAX_DEADLINE = 60.0  # seconds, for requests that tell no deadline
MAX_ITEMS = 200  # items in one job
MS = 0.001  # seconds
ID = re.compile(r'[\w.-]{1,128}')
RESULTS_PATH = re.compile(r'/gentiantrestle/lots/([\w.-]{1,128})')
BODY_PATH = re.compile(r'/gentiantrestle/items/([\w.-]{1,128})')
COMPLETED = 'completed'
GIVEN_UP = 'dead_lettered'
# A decoding error is a ValueError too.
UNFIT = (LookupError, TypeError, ValueError, AttributeError)


class PlatformDialect:
    """Speaks as the platform's callers and servers do."""

    def read_job_operation(self, head: h11.Request) -> JobOperation | None:
        """Recognize a call on batch jobs; None is an ordinary request."""
        path, _, query = head.target.decode('latin-1').partition('?')
        arguments = parse_qs(query)
        match = BODY_PATH.fullmatch(path)
        if match and head.method == b'GET':
            return ReadBody(match[1], arguments.get('id', [''])[0])
        match = RESULTS_PATH.fullmatch(path)
        if match and head.method == b'DELETE':
            return CancelJob(match[1])
        if match and head.method == b'GET':
            after = arguments.get('after', ['0'])[0]
            wait = _number(dict(head.headers).get(WAIT)) * MS
            position = int(after) if after.isdigit() else 0
            return ReadResults(match[1], position, min(MAX_WAIT, wait))
        return None

    def read_request(
        self, head: h11.Request, body: bytes, now: float
    ) -> Request:
        """Decode an ordinary request; raise ``RefusedError`` if unfit."""
        fields = dict(head.headers)
        request_id = fields.get(REQUEST_ID, b'').decode('latin-1')
        if not ID.fullmatch(request_id):
            raise refuse(BAD_REQUEST, 'The request has no usable id')
        left = _number(fields.get(TIME_LEFT)) * MS or MAX_DEADLINE
        return Request(
            request_id,
            head.method.decode(),
            head.target.decode('latin-1'),
            fields.get(HOST, b'').decode('latin-1'),
            forwardable_headers(head.headers, REPLACED),
            body,
            now,
            now + left,
            last_event=_number(fields.get(LAST_EVENT)),
        )

    def read_items(self, body: bytes) -> tuple[ItemSpec, ...]:
        """Decode a job's items; raise ``RefusedError`` if unfit."""
        try:
            listed = msgspec.json.decode(body)['items']
            found = tuple(_item(one) for one in listed)
        except UNFIT as exc:
            raise refuse(BAD_REQUEST, f'Not a batch job: {exc!r}') from exc
        if not 0 < len(found) <= MAX_ITEMS:
            raise refuse(BAD_REQUEST, f'A job has 1 to {MAX_ITEMS} items')
        if len({spec.id for spec in found}) != len(found):
            raise refuse(BAD_REQUEST, 'Two items of the job share an id')
        return found

    def upstream_headers(
        self,
        call: Request,
        upstream: Upstream,
        left: float,
        last_event: int,
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of a request that has ``left`` s."""
        return [
            *call.headers,
            (TIME_LEFT, str(max(1, int(left / MS))).encode()),
            *_common(upstream, last_event),
        ]

    def item_headers(
        self,
        spec: ItemSpec,
        host: str,
        upstream: Upstream,
        last_event: int,
    ) -> list[tuple[bytes, bytes]]:
        """Build the header of an item's run."""
        own = [
            (name.encode(), text.encode())
            for name, text in spec.headers.items()
        ]
        return [
            (HOST, host.encode()),
            (REQUEST_ID, spec.id.encode()),
            *forwardable_headers(own, REPLACED_FOR_ITEMS),
            *_common(upstream, last_event),
        ]

    def read_reply(self, head: h11.Response) -> Reply:
        """Decode the head of a server's answer."""
        fields = dict(head.headers)
        refused = NOT_RUN in fields or head.status_code == MISDIRECTED
        whole = STAMP in fields and ENCODING not in fields
        return Reply(
            head.status_code,
            forwardable_headers(head.headers),
            fields.get(REQUEST_ID, b'').decode('latin-1'),
            genuine=whole or head.status_code >= FIRST_FAILURE,
            not_run=refused,
            wrong_instance=head.status_code == MISDIRECTED,
        )

    def write_refusal(
        self,
        refusal: Refusal,
    ) -> tuple[int, HeaderPairs, bytes]:
        """Encode a refusal: status, header, body."""
        headers = [(b'content-type', b'application/json')]
        if refusal.retry_after is not None:
            pause = str(round(refusal.retry_after, 2))
            headers.append((b'retry-after', pause.encode()))
        body = msgspec.json.encode(error_document(refusal))
        return refusal.kind.status, headers, body

    def write_results(
        self,
        total: int,
        after: int,
        results: Iterable[ItemResult],
    ) -> bytes:
        """Encode a page of results."""
        listed = [
            {
                'id': one.id,
                'state': COMPLETED if one.completed else GIVEN_UP,
                'output': one.output,
            }
            for one in results
        ]
        return msgspec.json.encode(
            {'total': total, 'next': after + len(listed), 'results': listed},
        )


def _common(
    upstream: Upstream,
    last_event: int,
) -> list[tuple[bytes, bytes]]:
    fields = [(EXPECTED_UPSTREAM, upstream.id.encode())]
    if last_event:
        fields.append((LAST_EVENT, str(last_event).encode()))
    return fields


def _item(told: dict[str, Any]) -> ItemSpec:
    headers = dict(told.get('headers') or {})
    return ItemSpec(
        _checked_id(told['id']),
        int(told.get('token-count', 0)),
        told['path'],
        {str(name): str(text) for name, text in headers.items()},
        base64.b64decode(told.get('body') or '', validate=True),
    )


def _checked_id(told: Any) -> str:
    if not isinstance(told, str) or not ID.fullmatch(told):
        raise ValueError(f'{told!r} is not an id')
    return told


def _number(told: bytes | None) -> int:
    return int(told) if told and told.isdigit() else 0
