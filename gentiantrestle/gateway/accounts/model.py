"""Client accounts as a configuration has them; no I/O."""

from typing import NamedTuple

DEFAULT_WINDOW = 5.0  # seconds; of an operator who names none


class Account(NamedTuple):
    """A client account.

    ``key_hashes`` are the SHA-256 of its keys in hex. ``rate`` in requests a
    second and ``burst`` in requests are its allowance over all instances; a
    rate of 0 is no limit. A ``priority`` goes before that of the route; None
    leaves it.
    """

    name: str
    key_hashes: frozenset[str]
    priority: int | None = None
    rate: float = 0
    burst: float = 0


class AccountBook(NamedTuple):
    """The accounts of one configuration.

    With ``unreadable`` it has others, too, that can't be read: a key that isn't
    known here may be theirs.
    """

    accounts: tuple[Account, ...] = ()
    unreadable: bool = False


class AllowanceTerms(NamedTuple):
    """What all instances together may grant an account beyond its allowance.

    In each span of ``window`` s that is the share ``overshoot`` of what the
    allowance permits, and ``slack`` requests.
    """

    window: float = DEFAULT_WINDOW
    overshoot: float = 0
    slack: int = 0
