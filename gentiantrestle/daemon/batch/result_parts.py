"""Splits result lines into objects that the store takes; no I/O."""

from collections.abc import Iterable

import msgspec

from gentiantrestle.daemon.batch.records import ResultLine

MAX_PART_BYTES = 716800


def encoded_size(line: ResultLine) -> int:
    """Return the size of a result line in the store, in bytes."""
    return len(msgspec.json.encode(line))


def group_lines(lines: Iterable[ResultLine]) -> Iterable[list[ResultLine]]:
    """Group result lines so that each group fits into one object."""
    group: list[ResultLine] = []
    size = 0
    for line in lines:
        length = encoded_size(line)
        if group and size + length > MAX_PART_BYTES:
            yield group
            group, size = [], 0
        group.append(line)
        size += length
    if group:
        yield group
