"""Splits the bodies of a job over several objects of the store; no I/O.

Bodies that fit are one object, as ``records.bodies_to_content`` encodes them.
Otherwise that text is cut into pieces, since one body may be too large by
itself.
"""

import hashlib
import json
from collections.abc import Iterable
from typing import Any

import msgspec

from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    BODY_PART_KIND,
    bodies_to_content,
    owner_to_content,
    with_bodies,
)
from gentiantrestle.gateway.model import ItemSpec, Job

# Quotes and backslashes of a piece are escaped once more.
ESCAPED_SHARE = 2
WRAPPER_SIZE = 64  # bytes around a piece
UPLOAD_LENGTH = 32  # hex digits


class _PieceContent(msgspec.Struct):
    piece: str


def part_key(job_id: str, index: int, upload: str = '') -> tuple[str, str]:
    """Return the kind and name of the object of one part of the bodies."""
    if upload:
        return BODY_PART_KIND, f'{job_id}.{upload}.{index}'
    if index:
        return BODY_PART_KIND, f'{job_id}.{index}'
    return BODY_KIND, job_id


def upload_name(parts: Iterable[dict[str, Any]]) -> str:
    """Return the name of an upload, which only equal parts share."""
    text = json.dumps(list(parts), sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:UPLOAD_LENGTH]


def split_bodies(job: Job, max_size: int) -> tuple[dict[str, Any], ...]:
    """Encode a job's bodies as contents of at most ``max_size`` bytes.

    Each names the job's account: one that another account has written under
    the same id isn't taken for it.
    """
    owner = owner_to_content(job)
    whole = {**bodies_to_content(job), **owner}
    text = json.dumps(whole)
    if len(text) <= max_size:
        return (whole,)
    wrapper_size = WRAPPER_SIZE + len(json.dumps(owner))
    length = (max_size - wrapper_size) // ESCAPED_SHARE
    return tuple(
        {'piece': text[start : start + length], **owner}
        for start in range(0, len(text), length)
    )


def join_bodies(job: Job, parts: Iterable[Any]) -> tuple[ItemSpec, ...]:
    """Return a job's items with the bodies decoded from all parts.

    Raises one of ``records.DECODE_ERRORS`` if they are malformed.
    """
    first, *others = parts
    if not others:
        return with_bodies(job, first)
    text = ''.join(
        msgspec.convert(part, _PieceContent).piece for part in (first, *others)
    )
    return with_bodies(job, json.loads(text))
