"""At most once: who may run a request that may not be repeated."""

import hashlib
from enum import Enum
from typing import NamedTuple, TypedDict

from gentiantrestle.errors import ALREADY_STARTED, KEY_REUSED, Refusal

PREFIX = 'claims/'


class Claim(TypedDict):
    """The store's record that a request was started, and where.

    ``home`` is the address for peers of the instance that runs it.
    """

    instance: str
    home: str
    incarnation: int
    digest: str
    at: float


class Move(Enum):
    """What an instance does for a request whose claim is taken."""

    WAIT_HERE = 'wait here'
    ASK_HOME = 'ask home'


class Caller(NamedTuple):
    """Who asks, and with which idempotency key."""

    client: str
    key: str


def claim_name(caller: Caller) -> str:
    """Name the claim's object; the same key of two clients differs."""
    text = f'{caller.client}\0{caller.key}'
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{PREFIX}{digest}'


def body_digest(target: str, body: bytes) -> str:
    """Digest what a key stands for."""
    return hashlib.sha256(b'%b\0%b' % (target.encode(), body)).hexdigest()


def decide(
    found: Claim,
    digest: str,
    me: tuple[str, int],
) -> Move | Refusal:
    """Decide what to do when the claim is another request's already."""
    if found['digest'] != digest:
        return Refusal(
            KEY_REUSED,
            'This Idempotency-Key was used for another request',
        )
    if found['instance'] != me[0]:
        return Move.ASK_HOME
    if found['incarnation'] == me[1]:
        return Move.WAIT_HERE
    return Refusal(ALREADY_STARTED, 'The instance that ran it has restarted')
