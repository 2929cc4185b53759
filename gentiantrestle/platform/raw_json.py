"""Splits JSON text of any depth into its parts, which stay undecoded."""

import re
from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

# Strings are matched whole, since they may contain brackets and commas.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},]', re.DOTALL)
NAME = re.compile(rb'\s*"([^"\\]*)"\s*:', re.DOTALL)
OPENING = frozenset((b'[', b'{'))
CLOSING = frozenset((b']', b'}'))
SEPARATOR = frozenset((b',',))
# What stands before and after a part of the outermost value.
BORDERS = OPENING | CLOSING | SEPARATOR


class _Token(NamedTuple):
    """A bracket, separator or string, and where it stands.

    ``depth`` counts the values around it; a bracket is within its own value.
    """

    text: bytes
    depth: int
    start: int
    end: int


class CutDocumentError(ValueError):
    """The text ends within an array or object, or is neither."""


def split_object(raw: bytes) -> dict[str, bytes]:
    """Return the undecoded values of an object by name; the last one counts.

    Members whose name has escapes are left out. Raises ``CutDocumentError``.
    """
    found = {}
    for part in _split(raw, b'{'):
        match = NAME.match(part)
        if match is not None:
            name = match[1].decode(errors='replace')
            found[name] = part[match.end() :].strip()
    return found


def split_array(raw: bytes) -> list[bytes]:
    """Return the undecoded elements of an array.

    Raises ``CutDocumentError``.
    """
    return [part.strip() for part in _split(raw, b'[') if part.strip()]


def exceeds_depth(raw: bytes, limit: int) -> bool:
    """Return whether arrays and objects are nested more than ``limit`` deep."""
    if raw.count(b'[') + raw.count(b'{') <= limit:
        return False
    return any(token.depth > limit for token in _read_tokens(raw))


def _read_tokens(raw: bytes) -> Iterator[_Token]:
    depth = 0
    for match in TOKEN.finditer(raw):
        if match[0] in OPENING:
            depth += 1
        yield _Token(match[0], depth, match.start(), match.end())
        if match[0] in CLOSING:
            depth -= 1


def _split(raw: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield what stands between the separators of the outermost value."""
    if not raw.lstrip().startswith(opening):
        raise CutDocumentError(f'the document does not begin with {opening!r}')
    outermost = (token for token in _read_tokens(raw) if token.depth == 1)
    borders = [token for token in outermost if token.text in BORDERS]
    if len(borders) == 1 or borders[-1].text not in CLOSING:
        raise CutDocumentError('the document is not complete')
    for before, after in pairwise(borders):
        yield raw[before.end : after.start]
