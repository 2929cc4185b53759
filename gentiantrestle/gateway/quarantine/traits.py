"""What may make requests crash upstreams, and recurs among them; no I/O.

A trait is a shared part of the prompt, or a fingerprint of the request. A
fingerprint has a colon, which sets it apart from the ids of prompt parts.
"""

import hashlib

from gentiantrestle.gateway.model import Request

FINGERPRINT_SIZE = 8  # bytes
CREDENTIALS = b'authorization'


def request_traits(req: Request) -> tuple[str, ...]:
    """Return the traits of a caller's request.

    A request recurs with the same path and body. Where sound requests share
    these, its query and its caller's credentials tell it from them.
    """
    path, _, query = req.target.partition('?')
    credentials = dict(req.headers).get(CREDENTIALS, b'')
    fields = (req.method, req.host, path)
    traits = (*req.prompt_parts, f'path:{_digest(fields, req.body)}')
    if not query and not credentials:
        return traits
    fields = (req.method, req.host, req.target, credentials.decode('latin-1'))
    return (*traits, f'request:{_digest(fields, req.body)}')


def is_fingerprint(trait: str) -> bool:
    """Return whether a trait stands for a whole request."""
    return ':' in trait


def _digest(fields: tuple[str, ...], body: bytes) -> str:
    hashed = hashlib.blake2b(digest_size=FINGERPRINT_SIZE)
    # No field of a request's head can hold a zero byte.
    hashed.update('\0'.join((*fields, '')).encode())
    hashed.update(body)
    return hashed.hexdigest()
