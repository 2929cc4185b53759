"""Decodes lists of the object API, object by object.

A document that can't be read must not make the others of its list unreadable.
"""

from collections.abc import Iterable, Iterator
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec

from gentiantrestle import events
from gentiantrestle.models import MAX_INT64
from gentiantrestle.store.raw_json import (
    exceeds_depth,
    split_array,
    split_object,
)

MAX_DEPTH = 200  # arrays and objects within each other in one document
MAX_LOGGED = 80  # bytes of an object without a readable name
DECODE_ERRORS = (LookupError, TypeError, ValueError, RecursionError)
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]


class ListedObject(TypedDict):
    """One object in the response to a list or watch call."""

    name: str
    version: int
    body: NotRequired[dict[str, Any]]
    deleted: NotRequired[bool]


class ObjectList(TypedDict):
    """Response to a list or watch call."""

    revision: int
    objects: list[ListedObject]  # noqa: WPS110 (the object API's word)


class _RawList(msgspec.Struct):
    revision: Version
    objects: list[msgspec.Raw]  # noqa: WPS110 (the object API's word)


class _CheckedObject(TypedDict):
    name: str
    version: Version
    body: NotRequired[dict[str, Any]]
    deleted: NotRequired[bool]


class ListDecoder:
    """Decodes lists; leaves out what is unreadable and logs it once."""

    def __init__(self) -> None:
        """Start without unreadable objects."""
        self._unreadable: dict[str, int] = {}

    def decode(self, body: bytes) -> ObjectList:
        """Decode a list; raise one of ``DECODE_ERRORS`` if it is none."""
        listed = _decode_raw(body)
        found = self._decode_readable(map(bytes, listed.objects))
        return ObjectList(revision=listed.revision, objects=list(found))

    def _decode_readable(
        self, raw_objects: Iterable[bytes]
    ) -> Iterator[ListedObject]:
        for raw in raw_objects:
            try:
                yield _decode(raw, _CheckedObject)
            except DECODE_ERRORS as exc:
                self._log(raw, exc)

    def _log(self, raw: bytes, exc: Exception) -> None:
        name = _readable_name(raw)
        fingerprint = hash(raw)
        if self._unreadable.get(name) == fingerprint:
            return
        self._unreadable[name] = fingerprint
        events.emit(events.ENTRY_UNREADABLE, name=name, error=repr(exc))


def decode_document(raw: bytes) -> dict[str, Any]:
    """Decode a document; raise one of ``DECODE_ERRORS``."""
    return _decode(raw, dict[str, Any])


def _decode(raw: bytes, wanted: Any) -> Any:
    if exceeds_depth(raw, MAX_DEPTH):
        raise ValueError(f'nested more than {MAX_DEPTH} deep')
    return msgspec.json.decode(raw, type=wanted)


def _decode_raw(body: bytes) -> _RawList:
    try:
        return msgspec.json.decode(body, type=_RawList)
    except DECODE_ERRORS:
        # Also raised for a part that is nested too deep to be passed over.
        parts = split_object(body)
    return _RawList(
        msgspec.json.decode(parts['revision'], type=Version),
        list(map(msgspec.Raw, split_array(parts['objects']))),
    )


def _readable_name(raw: bytes) -> str:
    try:
        return msgspec.json.decode(split_object(raw)['name'], type=str)
    except DECODE_ERRORS:
        return raw[:MAX_LOGGED].decode(errors='replace')
