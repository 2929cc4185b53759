"""The limits of the accounts in force; no I/O."""

from gentiantrestle.gateway.accounts.allowance_ledger import Limits
from gentiantrestle.gateway.accounts.model import AccountBook, AllowanceTerms
from gentiantrestle.gateway.routing import Router


class AllowanceBook:
    """Finds the limits of an account in the configuration in force."""

    def __init__(self, router: Router, terms: AllowanceTerms) -> None:
        """Read the accounts of ``router``, which may change at any time."""
        self._router = router
        self._terms = terms
        self._book: AccountBook | None = None
        self._limits: dict[str, Limits] = {}

    def find(self, account: str) -> Limits | None:
        """Return the limits of an account; None if it has no limit."""
        return self.limits.get(account)

    @property
    def limits(self) -> dict[str, Limits]:
        """Return the limits of all accounts that have a rate, by name."""
        book = self._router.table.accounts
        if book is not self._book:
            self._book = book
            accounts = () if book is None else book.accounts
            self._limits = {
                account.name: Limits.from_account(account, self._terms)
                for account in accounts
                if account.rate
            }
        return self._limits
