"""Decodes and checks the items of a batch job."""

import base64
import re
from collections.abc import Mapping
from typing import Any

import h11

from gentiantrestle.gateway.headers import forwardable_headers
from gentiantrestle.gateway.model import ItemSpec
from gentiantrestle.models import MAX_INT32

ID_PATTERN = re.compile(r'[\w.-]{1,128}')


def decode_item(
    document: Mapping[str, Any], replaced: frozenset[bytes]
) -> ItemSpec:
    """Decode an item; raise ``ValueError``, or another error, if it is invalid.

    What can't be sent as HTTP is: no upstream will ever run it. The header
    fields in ``replaced`` are not sent.
    """
    spec = ItemSpec(
        _checked_id(document['id']),
        _checked_tokens(document.get('token-count', 0)),
        _checked_path(document['path']),
        _decode_headers(document.get('headers') or {}),
        base64.b64decode(document.get('body') or '', validate=True),
    )
    _check_encodable(spec, replaced)
    return spec


def _checked_id(raw: Any) -> str:
    if not isinstance(raw, str) or not ID_PATTERN.fullmatch(raw):
        raise ValueError(f'{raw!r} is not a valid id')
    return raw


def _checked_tokens(raw: Any) -> int:
    tokens = int(raw)
    if not 0 <= tokens <= MAX_INT32:
        raise ValueError('token-count is out of range')
    return tokens


def _checked_path(raw: Any) -> str:
    if not isinstance(raw, str) or not raw.startswith('/'):
        raise ValueError(f'{raw!r} is not a path')
    return raw


def _decode_headers(raw: Any) -> dict[str, str]:
    return {str(name): str(text) for name, text in dict(raw).items()}


def _check_encodable(spec: ItemSpec, replaced: frozenset[bytes]) -> None:
    fields = (
        (name.encode(), text.encode()) for name, text in spec.headers.items()
    )
    sent = [(b'host', b'host'), *forwardable_headers(fields, replaced)]
    try:
        h11.Request(method='POST', target=spec.path, headers=sent)
    except h11.LocalProtocolError as exc:
        raise ValueError(f'the item is not valid HTTP: {exc}') from exc
