"""The traits of callers' requests that may recur among crashes; no I/O."""

from gentiantrestle.gateway.model import Request
from gentiantrestle.quarantine.traits import fingerprint

CREDENTIALS = b'authorization'


def request_traits(req: Request) -> tuple[str, ...]:
    """Return the traits of a caller's request.

    A request recurs with the same path and body. Where sound requests share
    these, its query and its caller's credentials tell it from them.
    """
    path, _, query = req.target.partition('?')
    credentials = dict(req.headers).get(CREDENTIALS, b'')
    fields = (req.method, req.host, path)
    traits = (*req.prompt_parts, fingerprint('path', fields, req.body))
    if not query and not credentials:
        return traits
    fields = (req.method, req.host, req.target, credentials.decode('latin-1'))
    return (*traits, fingerprint('request', fields, req.body))
