"""Finds the client account of a request by its key; no I/O."""

from collections.abc import Callable, Iterator
from enum import Enum

from gentiantrestle.client_keys import find_owner
from gentiantrestle.errors import (
    NO_CONFIGURATION,
    UNAUTHORIZED,
    ErrorKind,
    Refusal,
    RefusedError,
)
from gentiantrestle.gateway.accounts.model import Account
from gentiantrestle.gateway.model import Route, RouteKind, RoutingTable
from gentiantrestle.gateway.routing import Router

# Retry-After while an instance doesn't have the whole configuration.
CONFIG_RETRY_AFTER = 0.5  # seconds
ANONYMOUS = Account('', frozenset())


class KeyFault(Enum):
    """Why a request is refused for its key, or for lack of one."""

    MISSING = 'missing'
    UNKNOWN = 'unknown'
    # It may be one of an account that can't be read, or be a new one.
    UNREADABLE_ACCOUNTS = 'unreadable accounts'
    BEHIND = 'newer configuration elsewhere'
    UNCONFIRMED = 'configuration not confirmed'


REASONS = {
    KeyFault.MISSING: 'The request has no key',
    KeyFault.UNKNOWN: 'The key is not known',
    KeyFault.UNREADABLE_ACCOUNTS: 'Not all accounts can be read',
    KeyFault.BEHIND: 'This instance lacks the newest configuration',
    KeyFault.UNCONFIRMED: 'It is not known whether the key is still valid',
}


class KeyRefusedError(RefusedError):
    """A request is refused for its key; nothing of it has run."""

    def __init__(self, fault: KeyFault) -> None:
        """Refuse for good if the key is at fault, else for a while."""
        kind: ErrorKind = NO_CONFIGURATION
        delay: float | None = CONFIG_RETRY_AFTER
        if fault in {KeyFault.MISSING, KeyFault.UNKNOWN}:
            kind, delay = UNAUTHORIZED, None
        super().__init__(Refusal(kind, REASONS[fault], delay))
        self.fault = fault


class Authenticator:
    """Looks keys up among the accounts of the configuration in force."""

    def __init__(self, router: Router) -> None:
        """Use the accounts of the table of ``router``, which may change."""
        self._router = router
        self._table: RoutingTable | None = None
        self._owners: dict[str, Account] = {}
        self._serves_open_jobs = False
        # Whether the configuration is known to be new enough to serve keys.
        self.is_confirmed: Callable[[], bool] = _is_always_confirmed
        # Whether another instance has a newer configuration.
        self.is_behind: Callable[[], bool] = bool

    @property
    def is_in_force(self) -> bool:
        """Return whether the configuration has accounts."""
        return self._router.table.accounts is not None

    @property
    def serves_open_jobs(self) -> bool:
        """Return whether callers without a key may bring batch jobs."""
        self._update()
        return self._serves_open_jobs

    def authenticate(self, key: str, route: Route | None = None) -> Account:
        """Return the account of a key; raise ``KeyRefusedError`` without one.

        On an anonymous route nobody has an account. An empty ``key`` stands
        for one that is missing or malformed.
        """
        if route is not None and route.anonymous:
            return ANONYMOUS
        if not self.is_confirmed():
            raise KeyRefusedError(KeyFault.UNCONFIRMED)
        self._update()
        account = find_owner(key, self._owners)
        if account is None:
            raise KeyRefusedError(self._find_fault(key))
        return account

    def _find_fault(self, key: str) -> KeyFault:
        if not key:
            return KeyFault.MISSING
        book = self._router.table.accounts
        if book is not None and book.unreadable:
            return KeyFault.UNREADABLE_ACCOUNTS
        return KeyFault.BEHIND if self.is_behind() else KeyFault.UNKNOWN

    def _update(self) -> None:
        """Read the accounts again if the configuration has changed."""
        table = self._router.table
        if table is self._table:
            return
        self._table = table
        self._owners = dict(_key_owners(table))
        self._serves_open_jobs = any(
            route.anonymous and route.kind is RouteKind.BATCH
            for route in table.routes
        )


def _key_owners(table: RoutingTable) -> Iterator[tuple[str, Account]]:
    if table.accounts is None:
        return
    for account in table.accounts.accounts:
        for key_hash in account.key_hashes:
            yield key_hash, account


def _is_always_confirmed() -> bool:
    """Return true until this is set."""
    return True
