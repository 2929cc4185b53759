"""Authenticate callers by key; hashes are compared in constant time."""

import hashlib
import hmac
from typing import NamedTuple

from gentiantrestle.errors import FORBIDDEN, UNAUTHORIZED, Refusal
from gentiantrestle.models import FleetDoc

SCHEME = 'Bearer '
OPERATOR_NAME = 'operator'


class Identity(NamedTuple):
    """A client account, and whether it is an administrator."""

    client: str
    admin: bool


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    authorization: str,
    fleet: FleetDoc,
    admin_key_hash: str,
) -> Identity | Refusal:
    """Return the identity of the request's key, or a refusal.

    Compares every key, so that the timing does not reveal a match.
    """
    if not authorization.startswith(SCHEME):
        return Refusal(UNAUTHORIZED, 'The request has no key')
    given_hash = hash_key(authorization.removeprefix(SCHEME).strip())
    found = None
    if admin_key_hash and hmac.compare_digest(given_hash, admin_key_hash):
        found = Identity(OPERATOR_NAME, admin=True)
    for name, client in fleet['clients'].items():
        for key_hash in client['key_hashes']:
            if hmac.compare_digest(given_hash, key_hash):
                found = Identity(name, bool(client.get('admin')))
    return found or Refusal(UNAUTHORIZED, 'The key is not known')


def require_admin(identity: Identity) -> Refusal | None:
    """Return a refusal unless the account is an administrator."""
    if identity.admin:
        return None
    return Refusal(FORBIDDEN, 'This account is not an administrator')
