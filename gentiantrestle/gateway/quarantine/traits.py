"""What may make requests crash upstreams, and recurs among them; no I/O.

A trait is a shared part of the prompt, or a fingerprint of the request.
"""

import hashlib

from gentiantrestle.gateway.model import Request

FINGERPRINT_SIZE = 8  # bytes


def path_fingerprint(req: Request) -> str:
    """Return what is equal for requests with the same path and body.

    The colon sets it apart from the ids of prompt parts, which have none.
    """
    path = req.target.partition('?')[0]
    fields = (req.method, req.host, path)
    return f'path:{_digest(fields, req.body)}'


def _digest(fields: tuple[str, ...], body: bytes) -> str:
    hashed = hashlib.blake2b(digest_size=FINGERPRINT_SIZE)
    # No field of a request's head can hold a zero byte.
    hashed.update('\0'.join((*fields, '')).encode())
    hashed.update(body)
    return hashed.hexdigest()
