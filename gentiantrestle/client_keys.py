"""Keys of client accounts, which are kept and compared as hashes."""

import hashlib
from collections.abc import Mapping
from typing import TypeVar

Owner = TypeVar('Owner')


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex, as configurations store it."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_owner(key: str, owners: Mapping[str, Owner]) -> Owner | None:
    """Return the owner of a key; ``owners`` are by the hashes of their keys.

    How long a look-up by hash takes says nothing about a key that isn't known.
    """
    return owners.get(hash_key(key)) if key else None
