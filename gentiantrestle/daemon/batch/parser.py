"""Parse a job's lines as they arrive and group them into chunks; no I/O."""

import hashlib
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from gentiantrestle.daemon.batch.records import ItemLine
from gentiantrestle.daemon.upstreams.adapter import (
    CHAT,
    COMPLETIONS,
    prompt_text,
)
from gentiantrestle.errors import (
    BAD_REQUEST,
    PROMPT_TOO_LONG,
    TOO_LARGE,
    UNKNOWN_MODEL,
    RefusedError,
    refuse,
)
from gentiantrestle.models import FleetDoc

MAX_ITEMS = 200000
MAX_CHUNK_ITEMS = 256
MIN_CHUNK_ITEMS = 16
TARGET_CHUNKS_PER_JOB = 10
MAX_CHUNK_BYTES = 524288
MAX_LINE_BYTES = 262144
MAX_CUSTOM_ID_LENGTH = 256  # characters
SUPPORTED_URLS = frozenset((COMPLETIONS, CHAT))


class JobSummary(NamedTuple):
    """A job's properties, known once all of its lines are parsed.

    ``digest`` is the SHA-256 of the body in hex.
    """

    endpoint: str
    url: str
    items: int
    digest: str


def chunk_item_limit(body_size: int, line_size: int) -> int:
    """Return the maximum number of items per chunk, from sizes in bytes.

    A short job is split too, so that several instances can share its work.
    ``body_size`` 0 means unknown.
    """
    if not body_size:
        return MAX_CHUNK_ITEMS
    expected_items = body_size // max(1, line_size)
    items_per_chunk = -(-expected_items // TARGET_CHUNKS_PER_JOB)
    return min(MAX_CHUNK_ITEMS, max(MIN_CHUNK_ITEMS, items_per_chunk))


class JobParser:
    """Validates the lines of a job and groups them into chunks.

    ``feed`` and ``finish`` raise ``RefusedError`` at the first invalid line.
    """

    def __init__(self, fleet: FleetDoc, body_size: int) -> None:
        """Check against ``fleet``; a ``body_size`` of 0 means unknown."""
        self._fleet = fleet
        self._body_size = body_size
        self._chunk_item_limit = MAX_CHUNK_ITEMS
        self._partial_line = b''
        self._line_number = 0
        self._digest = hashlib.sha256()
        self._custom_ids: set[str] = set()
        self._chunk: list[ItemLine] = []
        self._chunk_bytes = 0
        self._target: tuple[str, str] | None = None

    def feed(self, part: bytes) -> Iterator[list[ItemLine]]:
        """Parse the next part of the body; yield the chunks it completes."""
        self._digest.update(part)
        lines = (self._partial_line + part).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            yield from self._add_line(line)
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise self._line_error(
                'the line is too long', self._line_number + 1
            )

    def finish(self) -> Iterator[list[ItemLine]]:
        """Parse the last line; yield the remaining chunks."""
        yield from self._add_line(self._partial_line)
        self._partial_line = b''
        if not self._custom_ids:
            raise refuse(BAD_REQUEST, 'The job has no items')
        if self._chunk:
            yield self._flush()

    def summary(self) -> JobSummary:
        """Return the summary; call it only after ``finish``."""
        endpoint, url = self._target
        return JobSummary(
            endpoint, url, len(self._custom_ids), self._digest.hexdigest()
        )

    def _add_line(self, line: bytes) -> Iterator[list[ItemLine]]:
        self._line_number += 1
        if not line.strip():
            return
        if len(line) > MAX_LINE_BYTES:
            raise self._line_error(
                f'the item is larger than {MAX_LINE_BYTES} bytes',
                self._line_number,
            )
        full = self._chunk_bytes + len(line) > MAX_CHUNK_BYTES
        if self._chunk and (full or len(self._chunk) >= self._chunk_item_limit):
            yield self._flush()
        if not self._custom_ids:
            self._chunk_item_limit = chunk_item_limit(
                self._body_size, len(line) + 1
            )
        self._chunk.append(self._parse_item(line))
        self._chunk_bytes += len(line)

    def _flush(self) -> list[ItemLine]:
        chunk = self._chunk
        self._chunk = []
        self._chunk_bytes = 0
        return chunk

    def _parse_item(self, line: bytes) -> ItemLine:
        try:
            item = msgspec.json.decode(line, type=ItemLine)
        except msgspec.DecodeError as exc:
            raise self._line_error(str(exc), self._line_number) from None
        self._check_custom_id(item['custom_id'])
        self._check_target(item)
        self._check_prompt(item['body'])
        return item

    def _check_custom_id(self, custom_id: str) -> None:
        if not custom_id or len(custom_id) > MAX_CUSTOM_ID_LENGTH:
            raise self._line_error(
                'custom_id is empty or too long', self._line_number
            )
        if custom_id in self._custom_ids:
            raise self._line_error(
                f'custom_id {custom_id!r} doubled', self._line_number
            )
        if len(self._custom_ids) >= MAX_ITEMS:
            raise refuse(TOO_LARGE, f'The job has more than {MAX_ITEMS} items')
        self._custom_ids.add(custom_id)

    def _check_target(self, item: ItemLine) -> None:
        model = item['body'].get('model')
        if item['url'] not in SUPPORTED_URLS:
            raise self._line_error(
                f'url must be one of {sorted(SUPPORTED_URLS)}',
                self._line_number,
            )
        if model not in self._fleet['endpoints']:
            raise refuse(
                UNKNOWN_MODEL,
                f'Line {self._line_number}: there is no endpoint {model!r}',
            )
        if self._target is None:
            self._target = (model, item['url'])
        if self._target != (model, item['url']):
            raise self._line_error(
                'all items of a job must have the same model and url',
                self._line_number,
            )

    def _check_prompt(self, body: dict[str, Any]) -> None:
        limit = self._fleet['endpoints'][body['model']]['max_prompt']
        try:
            prompt = prompt_text(body)
        except (AttributeError, TypeError):
            raise self._line_error(
                'messages must be a list of objects', self._line_number
            ) from None
        if not prompt:
            raise self._line_error(
                'the prompt or the messages must contain text',
                self._line_number,
            )
        if len(prompt) > limit:
            raise refuse(
                PROMPT_TOO_LONG,
                f'Line {self._line_number}: '
                f'the prompt is longer than {limit} characters',
            )

    def _line_error(self, reason: str, line: int) -> RefusedError:
        return refuse(BAD_REQUEST, f'Line {line}: {reason}')
