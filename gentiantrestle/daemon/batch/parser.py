"""Read a job's lines as they come and pack them into chunks; no I/O."""

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
CHUNK_ITEMS = 256
MIN_CHUNK_ITEMS = 16
CHUNKS_PER_JOB = 10
CHUNK_BYTES = 524288
MAX_LINE = 262144  # bytes
MAX_CUSTOM_ID = 256  # characters
TARGETS = frozenset((COMPLETIONS, CHAT))


class Summary(NamedTuple):
    """What is known of a job once all of its lines are read."""

    endpoint: str
    url: str
    items: int
    digest: str


def chunk_item_limit(body_size: int, line_size: int) -> int:
    """Return how many items a chunk holds, from sizes in bytes.

    A short job is split as well, so that several instances share it.
    """
    if not body_size:
        return CHUNK_ITEMS
    expected = body_size // max(1, line_size)
    share = -(-expected // CHUNKS_PER_JOB)
    return min(CHUNK_ITEMS, max(MIN_CHUNK_ITEMS, share))


class Intake:
    """Checks lines one by one and yields chunks as they fill."""

    def __init__(self, fleet: FleetDoc, body_size: int) -> None:
        """Check against a configuration; ``body_size`` 0 means unknown."""
        self._fleet = fleet
        self._body_size = body_size
        self._limit = CHUNK_ITEMS
        self._rest = b''
        self._line = 0
        self._digest = hashlib.sha256()
        self._seen: set[str] = set()
        self._chunk: list[ItemLine] = []
        self._chunk_bytes = 0
        self._first: tuple[str, str] | None = None

    def feed(self, part: bytes) -> Iterator[list[ItemLine]]:
        """Take in a part of the body; yield the chunks that it fills."""
        self._digest.update(part)
        lines = (self._rest + part).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            yield from self._take(line)
        if len(self._rest) > MAX_LINE:
            raise self._fault('the line is too long', self._line + 1)

    def finish(self) -> Iterator[list[ItemLine]]:
        """Take in the last line; yield what is left."""
        yield from self._take(self._rest)
        self._rest = b''
        if not self._seen:
            raise refuse(BAD_REQUEST, 'The job has no items')
        if self._chunk:
            yield self._flush()

    def summary(self) -> Summary:
        """Sum the job up."""
        endpoint, url = self._first
        return Summary(endpoint, url, len(self._seen), self._digest.hexdigest())

    def _take(self, line: bytes) -> Iterator[list[ItemLine]]:
        self._line += 1
        if not line.strip():
            return
        if len(line) > MAX_LINE:
            raise self._fault(f'the item is above {MAX_LINE} bytes', self._line)
        full = self._chunk_bytes + len(line) > CHUNK_BYTES
        if self._chunk and (full or len(self._chunk) >= self._limit):
            yield self._flush()
        if not self._seen:
            self._limit = chunk_item_limit(self._body_size, len(line) + 1)
        self._chunk.append(self._parse(line))
        self._chunk_bytes += len(line)

    def _flush(self) -> list[ItemLine]:
        chunk = self._chunk
        self._chunk = []
        self._chunk_bytes = 0
        return chunk

    def _parse(self, line: bytes) -> ItemLine:
        try:
            item = msgspec.json.decode(line, type=ItemLine)
        except msgspec.DecodeError as exc:
            raise self._fault(str(exc), self._line) from None
        self._check_id(item['custom_id'])
        self._check_target(item)
        self._check_prompt(item['body'])
        return item

    def _check_id(self, custom_id: str) -> None:
        if not custom_id or len(custom_id) > MAX_CUSTOM_ID:
            raise self._fault('custom_id is empty or too long', self._line)
        if custom_id in self._seen:
            raise self._fault(f'custom_id {custom_id!r} doubled', self._line)
        if len(self._seen) >= MAX_ITEMS:
            raise refuse(TOO_LARGE, f'The job has over {MAX_ITEMS} items')
        self._seen.add(custom_id)

    def _check_target(self, item: ItemLine) -> None:
        model = item['body'].get('model')
        if item['url'] not in TARGETS:
            raise self._fault(
                f'url is not one of {sorted(TARGETS)}', self._line
            )
        if model not in self._fleet['endpoints']:
            raise refuse(
                UNKNOWN_MODEL,
                f'Line {self._line}: no endpoint {model!r}',
            )
        if self._first is None:
            self._first = (model, item['url'])
        if self._first != (model, item['url']):
            raise self._fault('a job has one model and one url', self._line)

    def _check_prompt(self, body: dict[str, Any]) -> None:
        limit = self._fleet['endpoints'][body['model']]['max_prompt']
        try:
            prompt = prompt_text(body)
        except (AttributeError, TypeError):
            raise self._fault('messages are not objects', self._line) from None
        if not prompt:
            raise self._fault('no prompt and no messages', self._line)
        if len(prompt) > limit:
            raise refuse(
                PROMPT_TOO_LONG,
                f'Line {self._line}: the prompt is above {limit} characters',
            )

    def _fault(self, reason: str, line: int) -> RefusedError:
        return refuse(BAD_REQUEST, f'Line {line}: {reason}')
