"""Authenticate callers by key."""

from collections.abc import Iterator
from typing import NamedTuple

from gentiantrestle.client_keys import find_owner
from gentiantrestle.errors import FORBIDDEN, UNAUTHORIZED, Refusal
from gentiantrestle.models import FleetDoc

SCHEME = 'Bearer '
OPERATOR_NAME = 'operator'


class Identity(NamedTuple):
    """A client account, and whether it is an administrator."""

    client: str
    admin: bool


def identify(
    authorization: str,
    fleet: FleetDoc,
    admin_key_hash: str,
) -> Identity | Refusal:
    """Return the identity of the request's key, or a refusal."""
    if not authorization.startswith(SCHEME):
        return Refusal(UNAUTHORIZED, 'The request has no key')
    key = authorization.removeprefix(SCHEME).strip()
    found = find_owner(key, dict(_identities(fleet, admin_key_hash)))
    return found or Refusal(UNAUTHORIZED, 'The key is not known')


def _identities(
    fleet: FleetDoc, admin_key_hash: str
) -> Iterator[tuple[str, Identity]]:
    """Yield the identities by the hashes of their keys."""
    yield admin_key_hash, Identity(OPERATOR_NAME, admin=True)
    for name, client in fleet['clients'].items():
        identity = Identity(name, bool(client.get('admin')))
        for key_hash in client['key_hashes']:
            yield key_hash, identity


def require_admin(identity: Identity) -> Refusal | None:
    """Return a refusal unless the account is an administrator."""
    if identity.admin:
        return None
    return Refusal(FORBIDDEN, 'This account is not an administrator')
