"""Rendezvous hashing: every instance finds the same owner of a key."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a key, the owner first."""
    return sorted(
        names,
        key=lambda name: (_weigh(key, name), name),
        reverse=True,
    )


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the owner of a key, or nothing where no name is given."""
    ranked = rank(key, names)
    return ranked[0] if ranked else None
