"""Requests and responses as handlers see them."""

from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import parse_qsl, unquote

import h11
import msgspec

from gentiantrestle.errors import (
    BAD_REQUEST,
    INTERNAL,
    TOO_LARGE,
    Refusal,
    refuse,
)

HeaderPairs: TypeAlias = list[tuple[bytes, bytes]]

JSON = 'application/json'
JSON_LINES = 'application/x-ndjson'
EVENT_STREAM = 'text/event-stream'
OK = 200
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Request:
    """One request: method, target, header fields, and a body to read."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body_parts: AsyncIterator[bytes],
    ) -> None:
        """Split the target into path and query; the body stays unread."""
        path, _, query = target.partition('?')
        self.method = method
        self.path = unquote(path)
        self.query = parse_qsl(query)
        self.headers = headers
        self.body_parts = body_parts

    def query_values(self, name: str) -> list[str]:
        """Return all values of a query parameter."""
        return [text for key, text in self.query if key == name]

    @property
    def body_size(self) -> int:
        """Declared size of the body in bytes; 0 if not declared."""
        declared = self.headers.get('content-length', '')
        return int(declared) if declared.isdigit() else 0

    async def read(self, limit: int) -> bytes:
        """Read the whole body; refuse one above ``limit`` bytes."""
        parts = [part async for part in self.iter_body(limit)]
        return b''.join(parts)

    async def iter_body(self, limit: int) -> AsyncIterator[bytes]:
        """Yield the body; refuse it once it exceeds ``limit`` bytes."""
        size = 0
        async for part in self.body_parts:
            size += len(part)
            if size > limit:
                raise refuse(
                    TOO_LARGE, f'The request body exceeds {limit} bytes'
                )
            yield part

    async def read_json(self, limit: int) -> dict[str, Any]:
        """Read the body as a JSON object; refuse anything else."""
        return decode_json_object(await self.read(limit))


class Response(NamedTuple):
    """A response with a whole body or a stream of parts."""

    status: int = OK
    body: bytes | AsyncIterator[bytes] = b''
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


async def close_body(response: Response) -> None:
    """End the source of a body that isn't sent."""
    if not isinstance(response.body, bytes):
        await response.body.aclose()


def decode_json_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or refuse the body and say where it is wrong."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise refuse(
            BAD_REQUEST,
            f'The body is not a JSON object: {exc}',
        ) from None


def may_have_body(method: bytes, status: int) -> bool:
    """Return whether an answer with a status may have a body."""
    return method != b'HEAD' and status not in BODILESS_STATUSES


def needs_body(method: str, status: int) -> bool:
    """Return whether an unframed answer that ends with its head was cut."""
    is_success = status < HTTPStatus.MULTIPLE_CHOICES
    return is_success and may_have_body(method.encode(), status)


def reason_phrase(status: int) -> bytes:
    """Return the phrase of a status; empty for one that has none."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''


def response_head(response: Response, *, close: bool) -> h11.Response:
    """Return the head; raise ``h11.LocalProtocolError`` if it is invalid."""
    headers = [('Content-Type', response.content_type), *response.headers]
    if close:
        headers.append(('Connection', 'close'))
    if isinstance(response.body, bytes):
        headers.append(('Content-Length', str(len(response.body))))
    return h11.Response(
        status_code=response.status,
        headers=headers,
        reason=reason_phrase(response.status),
    )


def json_response(document: Any, status: int = OK) -> Response:
    """Build a response from a JSON document."""
    return Response(status, msgspec.json.Encoder().encode_lines([document]))


def error_document(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as the JSON error object that callers expect."""
    return {
        'error': {
            'type': refusal.kind.name,
            'message': refusal.reason,
            'remedy': refusal.kind.remedy,
            'run': refusal.kind.run.value,
        },
    }


def refusal_response(refusal: Refusal) -> Response:
    """Build the response to a refusal: remedy, and whether the work ran."""
    headers = [('X-Run', refusal.kind.run.value)]
    if refusal.retry_after is not None:
        headers.append(('Retry-After', str(refusal.retry_after)))
    return Response(
        refusal.kind.status,
        msgspec.json.Encoder().encode_lines([error_document(refusal)]),
        JSON,
        tuple(headers),
    )


def internal_error_response() -> Response:
    """Build the response to a request that failed for an unknown reason."""
    return refusal_response(
        refuse(INTERNAL, 'The request failed with an internal error').refusal
    )
