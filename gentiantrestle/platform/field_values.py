"""Decodes the values of header fields; unreadable ones count as missing."""

import re

from gentiantrestle.platform.items import ID_PATTERN

MAX_PART_ID = 64  # characters
MAX_PARTS = 16  # of one prompt
MAX_DIGITS = 15  # of a number in a header field
MIN_RATE = 0.01  # requests a second; stands for a limit of 0
RATE_PATTERN = re.compile(rb'\d{1,9}(\.\d{1,9})?')
EVENT_STREAM = b'text/event-stream'


def optional_id(raw: bytes) -> str:
    """Decode an id; empty if it is missing or invalid."""
    text = raw.decode('latin-1')
    return text if ID_PATTERN.fullmatch(text) else ''


def shared_parts(raw: bytes) -> tuple[str, ...]:
    """Decode the ids of a prompt's parts, except for the last one."""
    entries = raw.decode('latin-1').split(',')[:-1]
    return tuple(
        entry.partition(':')[0].strip()[:MAX_PART_ID]
        for entry in entries[:MAX_PARTS]
    )


def is_event_stream(raw: bytes | None) -> bool:
    """Return whether a content type is that of events, or missing."""
    if raw is None:
        return True
    return raw.partition(b';')[0].strip().lower() == EVENT_STREAM


def rate(raw: bytes) -> float:
    """Decode requests a second; 0 if they are missing or unreadable."""
    if not RATE_PATTERN.fullmatch(raw):
        return 0
    return max(MIN_RATE, float(raw))


def number(raw: bytes | None) -> int:
    """Decode digits; 0 if they are missing, unreadable or too many."""
    if raw and raw.isdigit() and len(raw) <= MAX_DIGITS:
        return int(raw)
    return 0
