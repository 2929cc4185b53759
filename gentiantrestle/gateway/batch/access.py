"""Which callers a batch job is there for; no I/O."""

from typing import NamedTuple

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.model import Job, RoutingTable
from gentiantrestle.gateway.routing import Router


class JobCaller(NamedTuple):
    """Who makes a call on a job; ``account`` is None without accounts.

    It is empty for a caller without a valid key, who is told ``refusal`` about
    all jobs but those that are open to everybody. While it isn't known whether
    there are accounts, there is a refusal, too.
    """

    account: str | None = None
    refusal: RefusedError | None = None


def may_use(caller: JobCaller, job: Job, router: Router) -> bool:
    """Return whether a job exists for a caller.

    One that an older build has accepted doesn't name its account: whoever has
    a valid key may use it, so that it isn't lost.
    """
    if caller.account is None:
        return caller.refusal is None or not job.account
    if job.account is None:
        route = router.match_job(job)
        return bool(caller.account) or (route is not None and route.anonymous)
    return job.account in {'', caller.account}


def is_submitted_by(job: Job, account: str | None) -> bool:
    """Return whether a job may be one that ``account`` has submitted."""
    return account is None or job.account in {None, account}


def sent_account(job: Job, table: RoutingTable) -> str | None:
    """Return the account that upstreams are told; None as in ``Request``."""
    if job.account is None and table.accounts is not None:
        return ''
    return job.account
