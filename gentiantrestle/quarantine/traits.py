"""What may make requests crash upstreams, and recurs among them; no I/O.

A trait is a shared part of the prompt, or a fingerprint of the request. A
fingerprint has a colon, which sets it apart from the ids of prompt parts.
"""

import hashlib

FINGERPRINT_SIZE = 8  # bytes


def fingerprint(kind: str, fields: tuple[str, ...], body: bytes) -> str:
    """Return the fingerprint of a request by some fields and its body.

    ``kind`` names what the fields are; no field may hold a zero byte.
    """
    hashed = hashlib.blake2b(digest_size=FINGERPRINT_SIZE)
    hashed.update('\0'.join((*fields, '')).encode())
    hashed.update(body)
    return f'{kind}:{hashed.hexdigest()}'


def is_fingerprint(trait: str) -> bool:
    """Return whether a trait stands for a whole request."""
    return ':' in trait
