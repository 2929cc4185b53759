"""The traits of callers' requests that may recur among crashes; no I/O."""

from gentiantrestle.gateway.model import Request
from gentiantrestle.quarantine.traits import fingerprint

CREDENTIALS = b'authorization'


def request_traits(req: Request) -> tuple[str, ...]:
    """Return the traits of a caller's request.

    A request recurs with the same path and body. Where sound requests share
    these, its query and its caller tell it from them: that is the client
    account, or without accounts the caller's credentials.
    """
    path, _, query = req.target.partition('?')
    caller = req.account
    if caller is None:
        credentials = dict(req.headers).get(CREDENTIALS, b'')
        caller = credentials.decode('latin-1')
    fields = (req.method, req.host, path)
    traits = (*req.prompt_parts, fingerprint('path', fields, req.body))
    if not query and not caller:
        return traits
    fields = (req.method, req.host, req.target, caller)
    return (*traits, fingerprint('request', fields, req.body))
