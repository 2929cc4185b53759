"""Splits JSON text of any depth into its parts, which stay undecoded."""

import re
from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

# Strings are matched whole, since they may contain brackets and commas, and
# so are runs of brackets, since there may be a great many.
BRACKETS = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+',
    re.DOTALL,
)
TOKEN = re.compile(rb'%b|,' % BRACKETS.pattern, re.DOTALL)
NAME = re.compile(rb'\s*"([^"\\]*)"\s*:', re.DOTALL)
OPENING = frozenset(b'[{')
CLOSING = frozenset(b']}')
COMMA = ord(',')


class CutDocumentError(ValueError):
    """The text ends within an array or object, or is neither."""


class _Token(NamedTuple):
    """Some brackets or a comma.

    ``depth`` counts the values around it, and ``change`` what it adds to them.
    """

    start: int
    depth: int
    change: int


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
    return any(
        token.depth + token.change > limit
        for token in _read_tokens(BRACKETS, raw)
    )


def _read_tokens(pattern: re.Pattern[bytes], raw: bytes) -> Iterator[_Token]:
    depth = 0
    for match in pattern.finditer(raw):
        start = match.start()
        size = match.end() - start
        if raw[start] in OPENING:
            yield _Token(start, depth, size)
            depth += size
        elif raw[start] in CLOSING:
            yield _Token(start, depth, -size)
            depth -= size
        elif raw[start] == COMMA:
            yield _Token(start, depth, 0)


def _find_borders(raw: bytes) -> Iterator[int]:
    """Yield where the outermost value begins, has its commas, and ends."""
    for token in _read_tokens(TOKEN, raw):
        if token.depth + token.change <= 0:
            yield token.start + token.depth - 1
            return
        if not token.depth or (token.depth == 1 and not token.change):
            yield token.start
    raise CutDocumentError('the document is not complete')


def _split(raw: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield what stands between the borders of the outermost value."""
    if not raw.lstrip().startswith(opening):
        raise CutDocumentError(f'the document does not begin with {opening!r}')
    for before, after in pairwise(_find_borders(raw)):
        yield raw[before + 1 : after]
