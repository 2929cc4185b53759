"""Claims that keep a non-repeatable request from running twice; no I/O."""

import hashlib
from enum import Enum
from typing import NamedTuple, TypedDict

from gentiantrestle.errors import ALREADY_STARTED, KEY_REUSED, Refusal

CLAIM_PREFIX = 'claims/'


class Claim(TypedDict):
    """The store's record that a request was started, and where.

    ``home`` is the peer address (IP:PORT) of the instance that runs it,
    ``digest`` identifies the request, and ``at`` is the wall-clock time of
    the claim in seconds since the epoch.
    """

    instance: str
    home: str
    incarnation: int
    digest: str
    at: float


class ClaimAction(Enum):
    """How to get the answer of a request that is already claimed."""

    WAIT_HERE = 'wait here'
    ASK_HOME = 'ask home'


class IdempotencyKey(NamedTuple):
    """An idempotency key, which is valid within one client."""

    client: str
    key: str


def claim_name(idempotency_key: IdempotencyKey) -> str:
    """Return the name of the claim's object in the store.

    The same key sent by two clients gives two names.
    """
    text = f'{idempotency_key.client}\0{idempotency_key.key}'
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{CLAIM_PREFIX}{digest}'


def request_digest(target: str, body: bytes) -> str:
    """Hash a request, to detect a key that is reused for another one."""
    return hashlib.sha256(b'%b\0%b' % (target.encode(), body)).hexdigest()


def resolve_claim(
    claim: Claim,
    digest: str,
    this_run: tuple[str, int],
) -> ClaimAction | Refusal:
    """Decide how to answer a request whose key is already claimed.

    ``this_run`` is the name and the incarnation of this instance.
    """
    if claim['digest'] != digest:
        return Refusal(
            KEY_REUSED,
            'This Idempotency-Key was used for another request',
        )
    if claim['instance'] != this_run[0]:
        return ClaimAction.ASK_HOME
    if claim['incarnation'] == this_run[1]:
        return ClaimAction.WAIT_HERE
    return Refusal(
        ALREADY_STARTED,
        'The instance that ran the request has restarted',
    )
