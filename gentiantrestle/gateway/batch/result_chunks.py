"""How results of a job are grouped into objects and pages; no I/O."""

import json
from collections.abc import Iterable, Sequence

import msgspec

from gentiantrestle.gateway.model import ItemResult

SEPARATOR_SIZE = 2  # bytes between two results
# Around the results, as ``records.results_to_content`` encodes them.
WRAPPER_SIZE = 32  # bytes

# Names of a result's fields in a page, as sent to clients.
ROW_SIZE = 64  # bytes


def result_size(result: ItemResult) -> int:
    """Return the most bytes that the store counts for a result.

    Other JSON encoders escape all characters that are not ASCII.
    """
    return len(json.dumps(list(result))) + SEPARATOR_SIZE


def first_chunk(
    results: Iterable[ItemResult], max_size: int
) -> tuple[ItemResult, ...]:
    """Return the first results that fit into ``max_size`` bytes together.

    There is at least one; it may be too large by itself.
    """
    chunk: list[ItemResult] = []
    left = max_size - WRAPPER_SIZE
    for result in results:
        left -= result_size(result)
        if chunk and left < 0:
            break
        chunk.append(result)
    return tuple(chunk)


def first_page(
    results: Sequence[ItemResult], after: int, max_size: int
) -> list[ItemResult]:
    """Return the results from a position on that fit into ``max_size`` bytes.

    There is at least one, if one exists; it may be too large by itself.
    """
    page: list[ItemResult] = []
    left = max_size
    for result in results[after:]:
        left -= len(msgspec.json.encode(result)) + ROW_SIZE
        if page and left < 0:
            break
        page.append(result)
    return page


def without_output(result: ItemResult) -> ItemResult:
    """Return the failure that is stored instead of a result too large."""
    return result._replace(completed=False, output='')
