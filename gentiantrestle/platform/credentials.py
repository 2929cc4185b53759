"""The header fields that hold keys, and the names of client accounts."""

from collections.abc import Iterable, Mapping

from gentiantrestle.gateway.model import HeaderTuple

KEY = b'authorization'
ACCOUNT = b'x-tenant'
SCHEME = b'bearer'
REPLACED = frozenset((KEY, ACCOUNT))


def read_key(fields: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the key in the fields of a header; empty if none is valid.

    Of two keys neither is.
    """
    found = [text for name, text in fields if name.lower() == KEY]
    if len(found) != 1:
        return ''
    scheme, _, key = found[0].strip().partition(b' ')
    if scheme.lower() != SCHEME:
        return ''
    try:
        return key.strip().decode()
    except UnicodeDecodeError:
        return ''


def name_account(fields: HeaderTuple, account: str) -> HeaderTuple:
    """Return the fields with this account's name only, and without keys.

    Nobody is named if ``account`` is empty.
    """
    own = ((ACCOUNT, account.encode()),) if account else ()
    others = (pair for pair in fields if pair[0].lower() not in REPLACED)
    return (*others, *own)


def without_credentials(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the fields of an item's header without keys and accounts."""
    return {
        name: text
        for name, text in fields.items()
        if name.lower().encode() not in REPLACED
    }
