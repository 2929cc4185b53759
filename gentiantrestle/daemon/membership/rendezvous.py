"""Rendezvous hashing: all instances agree on the owner of a key."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by descending weight for a key; the first is the owner."""
    return sorted(
        names,
        key=lambda name: (_weight(key, name), name),
        reverse=True,
    )


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the owner of a key, or ``None`` if there are no names."""
    ranked = rank(key, names)
    return ranked[0] if ranked else None
