"""Who calls: keys are compared as hashes and in constant time."""

import hashlib
import hmac
from typing import NamedTuple

from gentiantrestle.errors import FORBIDDEN, UNAUTHORIZED, Refusal
from gentiantrestle.models import FleetDoc

SCHEME = 'Bearer '
OPERATOR_NAME = 'operator'


class Identity(NamedTuple):
    """A client account, and whether it administers."""

    client: str
    admin: bool


def hash_key(key: str) -> str:
    """Hash a key as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    authorization: str,
    fleet: FleetDoc,
    admin_key_hash: str,
) -> Identity | Refusal:
    """Find whose key it is; look at all keys, so that time tells nothing."""
    if not authorization.startswith(SCHEME):
        return Refusal(UNAUTHORIZED, 'The request has no key')
    given = hash_key(authorization.removeprefix(SCHEME).strip())
    found = None
    if admin_key_hash and hmac.compare_digest(given, admin_key_hash):
        found = Identity(OPERATOR_NAME, admin=True)
    for name, client in fleet['clients'].items():
        for key_hash in client['key_hashes']:
            if hmac.compare_digest(given, key_hash):
                found = Identity(name, bool(client.get('admin')))
    return found or Refusal(UNAUTHORIZED, 'The key is not known')


def require_admin(identity: Identity) -> Refusal | None:
    """Refuse those who don't administer."""
    if identity.admin:
        return None
    return Refusal(FORBIDDEN, 'This account does not administer')
