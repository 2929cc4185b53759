"""Which instance runs a job, and which item is next; no I/O.

Answers the load of many jobs at once: the job that is due first goes first,
and within it the longest items, since they bind when it is done.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.batch.book import Entry
from gentiantrestle.gateway.model import ItemSpec, Route

# Slots of each upstream that batch leaves free for online requests: about
# what comes to one upstream while a slot is given back.
RESERVED_SLOTS = 1


class Due(NamedTuple):
    """An item that waits for a slot, and when its job is due."""

    at: float
    tokens: int
    entry: Entry
    spec: ItemSpec


def runner_of(entry: Entry, names: Iterable[str]) -> str | None:
    """Name the instance that runs a job.

    The acceptor does while it lives; after it any instance may be chosen.
    Two that disagree cost work, not correctness.
    """
    alive = set(names)
    if entry.job.acceptor in alive:
        return entry.job.acceptor
    return owner(entry.job.id, alive)


def runs_here(entry: Entry, instance: str, alive: Iterable[str]) -> bool:
    """Tell whether this instance runs a job."""
    return runner_of(entry, (*alive, instance)) == instance


def due_items(
    entries: Iterable[tuple[Entry, Route]],
    busy: set[str],
) -> Iterator[Due]:
    """Pass on the items that wait, those due first and longest first."""
    found = [
        Due(
            entry.job.submitted + route.completion_target,
            -spec.tokens,
            entry,
            spec,
        )
        for entry, route in entries
        for spec in entry.unlisted()
        if spec.id not in busy
    ]
    return iter(sorted(found, key=lambda due: due[:2]))
