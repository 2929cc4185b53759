"""Compresses what instances copy from each other; no I/O."""

import zlib
from typing import Any

import msgspec

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    MAX_FRAME_BYTES,
    BadFrameError,
    decode,
    encode,
)
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.wire.peer import ttypes

LEVEL = 1
MIN_PACKED_SIZE = 4096  # bytes of content that are worth the time
ENCODE_ERRORS = (TypeError, ValueError, OverflowError, RecursionError)
DECODE_ERRORS = (TypeError, ValueError, RecursionError)


class ConfigPacker:
    """Encodes the configuration; compressed once for each revision."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._stored: StoredObject | None = None
        self._packed: ttypes.KnownObject | None = None

    def pack(
        self, stored: StoredObject, *, compressed: bool
    ) -> ttypes.KnownObject:
        """Return a configuration for another instance."""
        if not compressed:
            return pack_object(stored)
        if stored is not self._stored:
            self._packed = _compress(pack_object(stored))
            self._stored = stored
        return self._packed


def pack_object(stored: StoredObject) -> ttypes.KnownObject:
    """Encode an object; without its content if that can't be encoded."""
    try:
        content = msgspec.json.encode([stored.content, stored.status])
    except ENCODE_ERRORS as exc:
        events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc))
        content = msgspec.json.encode([None, None])
    return ttypes.KnownObject(stored.name, stored.revision, content)


def unpack_object(known_object: ttypes.KnownObject) -> StoredObject:
    """Decode an object; one that can't be decoded says so.

    Raises ``BadFrameError`` if it can't be decompressed.
    """
    stored = StoredObject(known_object.name, known_object.revision, None)
    encoded = known_object.content
    if known_object.compressed:
        encoded = _inflate(encoded)
    try:
        content, status = msgspec.json.decode(encoded, type=list[Any])
    except DECODE_ERRORS as exc:
        return stored._replace(error=repr(exc))
    return stored._replace(content=content, status=status)


def pack_copy(copy: ttypes.Copy) -> ttypes.Copy:
    """Return a copy with its upstream entries and jobs compressed.

    One that holds little is returned unchanged.
    """
    rows = [*copy.jobs, *(copy.upstreams or ())]
    if sum(len(row.content) for row in rows) < MIN_PACKED_SIZE:
        return copy
    frame = encode(ttypes.Envelope(call=0, copy=copy))
    return ttypes.Copy(
        upstreams_revision=copy.upstreams_revision,
        jobs_revision=copy.jobs_revision,
        jobs=[],
        lapse_left=copy.lapse_left,
        packed=zlib.compress(frame[LENGTH.size :], LEVEL),
    )


def unpack_copy(copy: ttypes.Copy) -> ttypes.Copy:
    """Return what ``pack_copy`` was given.

    Raises ``BadFrameError`` if it can't be decompressed.
    """
    if copy.packed is None:
        return copy
    unpacked = decode(_inflate(copy.packed)).copy
    if unpacked is None:
        raise BadFrameError('no copy in compressed data')
    unpacked.config = copy.config
    return unpacked


def _compress(known_object: ttypes.KnownObject) -> ttypes.KnownObject:
    content = zlib.compress(known_object.content, LEVEL)
    return ttypes.KnownObject(
        known_object.name, known_object.revision, content, compressed=True
    )


def _inflate(packed: bytes) -> bytes:
    """Decompress bytes; raise ``BadFrameError`` if invalid or too large."""
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(packed, MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise BadFrameError(repr(exc)) from exc
    if not inflater.eof:
        raise BadFrameError('compressed data is cut off or too large')
    return content
