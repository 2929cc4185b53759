"""Decodes the store's answers object by object.

Anybody may have written an object: what can't be decoded of one must not make
the others of its page unreadable.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import msgspec

from gentiantrestle import events
from gentiantrestle.gateway.ports import Page, StoredObject
from gentiantrestle.models import MAX_INT64
from gentiantrestle.store.raw_json import (
    exceeds_depth,
    split_array,
    split_object,
)

MAX_DEPTH = 200  # arrays and objects within each other in one object
MAX_NAME = 1024  # characters
MAX_LOGGED = 80  # bytes of an object without a readable name
# Objects without a readable name that are logged once only.
REMEMBERED = 256
DECODE_ERRORS = (LookupError, TypeError, ValueError, RecursionError)


class StoreAnswerError(Exception):
    """An answer of the store as a whole can't be decoded."""


class _RawPage(msgspec.Struct, rename='kebab'):
    """A page of a list or of changes, whose objects are not decoded yet."""

    as_of: int
    items: list[msgspec.Raw] = []  # noqa: WPS110 (the platform's word)
    events: list[msgspec.Raw] = []
    has_more: bool = False


class _Metadata(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
    revision: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
    # An object that only waits for its finalizers counts as deleted.
    deleting: Any = None


class ObjectDecoder:
    """Decodes pages and objects; logs objects without a readable name once."""

    def __init__(self) -> None:
        """Start without logged objects."""
        self._logged: deque[int] = deque(maxlen=REMEMBERED)

    def decode_list(self, body: bytes) -> Page:
        """Decode a page of a list; raise ``StoreAnswerError``."""
        page = _decode_page(body)
        found = tuple(self._decode_readable(page.items))
        if page.has_more and not found:
            raise StoreAnswerError('no object of the page has a readable name')
        return Page(found, page.as_of, page.has_more)

    def decode_changes(self, body: bytes) -> Page:
        """Decode the answer to a watch; raise ``StoreAnswerError``."""
        page = _decode_page(body)
        return Page(tuple(self._decode_readable(page.events)), page.as_of)

    def decode_object(self, body: bytes) -> StoredObject:
        """Decode one object; raise ``StoreAnswerError`` if it has no name."""
        try:
            return _decode_object(body)
        except DECODE_ERRORS as exc:
            raise StoreAnswerError(repr(exc)) from exc

    def _decode_readable(
        self, entries: Iterable[msgspec.Raw]
    ) -> Iterator[StoredObject]:
        for raw in map(bytes, entries):
            try:
                yield _decode_object(raw)
            except DECODE_ERRORS as exc:
                self._log(raw, exc)

    def _log(self, raw: bytes, exc: Exception) -> None:
        if hash(raw) in self._logged:
            return
        self._logged.append(hash(raw))
        name = raw[:MAX_LOGGED].decode(errors='replace')
        events.emit(events.ENTRY_UNREADABLE, name=name, error=repr(exc))


def _decode_page(body: bytes) -> _RawPage:
    try:
        return msgspec.json.decode(body, type=_RawPage)
    except DECODE_ERRORS:
        # Also raised for a part that is nested too deep to be passed over.
        return _split_page(body)


def _split_page(body: bytes) -> _RawPage:
    try:
        parts = split_object(body)
        return _RawPage(
            msgspec.json.decode(parts['as-of'], type=int),
            _split_entries(parts, 'items'),
            _split_entries(parts, 'events'),
            msgspec.json.decode(parts.get('has-more', b'false'), type=bool),
        )
    except DECODE_ERRORS as exc:
        raise StoreAnswerError(repr(exc)) from exc


def _split_entries(parts: dict[str, bytes], name: str) -> list[msgspec.Raw]:
    return list(map(msgspec.Raw, split_array(parts.get(name, b'[]'))))


def _decode_object(raw: bytes) -> StoredObject:
    """Decode an object, or a change and its object.

    If only the content can't be decoded, the object says so. Raises one of
    ``DECODE_ERRORS`` if it has no readable name.
    """
    try:
        return _build_object(_decode(raw), '')
    except DECODE_ERRORS as exc:
        return _build_object(_decode_metadata(raw), repr(exc))


def _decode_metadata(raw: bytes) -> dict[str, Any]:
    """Decode what names an object, or a change and its object."""
    parts = split_object(raw)
    if 'object' not in parts:
        return {'metadata': _decode(parts['metadata'])}
    return {
        'object': _decode_metadata(parts['object']),
        'deleted': msgspec.json.decode(parts.get('deleted', b'false')),
    }


def _build_object(document: dict[str, Any], error: str) -> StoredObject:
    changed = document.get('object')
    if changed is not None:
        stored = _build_object(changed, error)
        deleted = stored.deleted or bool(document.get('deleted'))
        return stored._replace(deleted=deleted)
    metadata = msgspec.convert(document['metadata'], _Metadata)
    return StoredObject(
        metadata.name,
        metadata.revision,
        document.get('spec'),
        document.get('status'),
        bool(metadata.deleting),
        error,
    )


def _decode(raw: bytes) -> dict[str, Any]:
    # Deeper values might be decoded here, but not encoded for other instances.
    if exceeds_depth(raw, MAX_DEPTH):
        raise ValueError(f'nested more than {MAX_DEPTH} deep')
    return msgspec.json.decode(raw, type=dict[str, Any])
