"""Requests and responses as handlers see them."""

from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import parse_qsl, unquote

import msgspec

from gentiantrestle.errors import BAD_REQUEST, TOO_LARGE, Refusal, refuse

HeaderPairs: TypeAlias = list[tuple[bytes, bytes]]

JSON = 'application/json'
JSON_LINES = 'application/x-ndjson'
EVENT_STREAM = 'text/event-stream'
OK = 200


class Request:
    """One request: its line, its header fields, and its body to read."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Split the target; the body stays unread."""
        path, _, query = target.partition('?')
        self.method = method
        self.path = unquote(path)
        self.query = parse_qsl(query)
        self.headers = headers
        self.chunks = chunks

    def query_values(self, name: str) -> list[str]:
        """Return every value of one query argument."""
        return [text for key, text in self.query if key == name]

    @property
    def body_size(self) -> int:
        """Size of the body in bytes, or 0 if the caller did not say."""
        told = self.headers.get('content-length', '')
        return int(told) if told.isdigit() else 0

    async def read(self, limit: int) -> bytes:
        """Collect the body; refuse one above ``limit`` bytes."""
        parts = [part async for part in self.iter_body(limit)]
        return b''.join(parts)

    async def iter_body(self, limit: int) -> AsyncIterator[bytes]:
        """Pass body parts on; refuse once ``limit`` bytes are passed."""
        size = 0
        async for part in self.chunks:
            size += len(part)
            if size > limit:
                raise refuse(TOO_LARGE, f'The body is above {limit} bytes')
            yield part

    async def read_json(self, limit: int) -> dict[str, Any]:
        """Collect the body as one JSON object."""
        return decode_json_object(await self.read(limit))


class Response(NamedTuple):
    """An answer: a whole body, or a stream of parts."""

    status: int = OK
    body: bytes | AsyncIterator[bytes] = b''
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


def decode_json_object(body: bytes) -> dict[str, Any]:
    """Read a JSON object, or refuse the body with the place of the fault."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise refuse(
            BAD_REQUEST,
            f'The body is not a JSON object: {exc}',
        ) from None


def json_response(document: Any, status: int = OK) -> Response:
    """Answer with a JSON document."""
    return Response(status, msgspec.json.Encoder().encode_lines([document]))


def error_document(refusal: Refusal) -> dict[str, Any]:
    """Describe a refusal in the error shape of this ecosystem."""
    return {
        'error': {
            'type': refusal.kind.name,
            'message': refusal.reason,
            'remedy': refusal.kind.remedy,
            'run': refusal.kind.run.value,
        },
    }


def refusal_response(refusal: Refusal) -> Response:
    """Answer with a refusal, its remedy and whether the work was run."""
    headers = [('X-Run', refusal.kind.run.value)]
    if refusal.retry_after is not None:
        headers.append(('Retry-After', str(refusal.retry_after)))
    return Response(
        refusal.kind.status,
        msgspec.json.Encoder().encode_lines([error_document(refusal)]),
        JSON,
        tuple(headers),
    )
