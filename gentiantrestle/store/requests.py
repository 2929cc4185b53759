"""The calls of the object API on one object; no I/O."""

from typing import Any
from urllib.parse import quote

import msgspec

from gentiantrestle.http.client import ClientRequest

ROOT = '/v1/objects'


def target_of(name: str) -> str:
    """Return the target of an object."""
    return f'{ROOT}/{quote(name)}'


def get_request(name: str) -> ClientRequest:
    """Return the call that reads an object."""
    return ClientRequest('GET', target_of(name))


def put_request(
    name: str, document: dict[str, Any], expected: int
) -> ClientRequest:
    """Return the call that writes a document if the version is ``expected``.

    0 stands for an object that must not exist yet.
    """
    condition = ('If-Match', str(expected))
    if not expected:
        condition = ('If-None-Match', '*')
    body = msgspec.json.encode(document)
    return ClientRequest('PUT', target_of(name), (condition,), body)
