"""Encodes and decodes requests that are passed on; no I/O."""

from typing import Any, NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from gentiantrestle.daemon.membership.codec import DECODE_ERRORS
from gentiantrestle.gateway.model import Request, Route, RouteKind, Share
from gentiantrestle.models import MAX_INT32
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000
MAX_LEFT = 3600  # seconds until the deadline of a request


class UnreadableRequestError(Exception):
    """The bytes are no request that an instance has passed on."""


class PassedRequest(NamedTuple):
    """A request that ``instance`` passes on to be served.

    ``runs`` counts attempts so far that may have been executed, and the route
    allows ``max_attempts`` with them. ``tried`` has the ids of upstreams.
    The answer must be of ``version``, unless that is empty.
    """

    instance: str
    req: Request
    route: Route
    service: str
    version: str
    runs: int
    tried: frozenset[str]


def pack(passed: PassedRequest, now: float) -> bytes:
    """Encode a request; what its deadline leaves goes along."""
    req = passed.req
    message = ttypes.PassedRequest(
        id=req.id,
        method=req.method,
        target=req.target,
        host=req.host,
        headers=[ttypes.HeaderField(*pair) for pair in req.headers],
        body=req.body,
        left=int((req.deadline - now) * MS_PER_S),
        retry=req.is_retry,
        last_event=req.last_event,
        prompt_parts=list(req.prompt_parts),
        resumes=req.resumes,
        route=_pack_route(passed.route),
        service_name=passed.service,
        version=passed.version,
        runs=passed.runs,
        tried=sorted(passed.tried),
        instance=passed.instance,
        account=req.account,
    )
    transport = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(transport, fallback=True))
    return transport.getvalue()


def unpack(body: bytes, now: float) -> PassedRequest:
    """Decode a request that has arrived at ``now``.

    Raises ``UnreadableRequestError``.
    """
    message = ttypes.PassedRequest()
    transport = TMemoryBuffer(body)
    try:
        message.read(TCompactProtocolAccelerated(transport, fallback=True))
        _check(message)
        return _convert(message, now)
    except DECODE_ERRORS as exc:
        raise UnreadableRequestError(repr(exc)) from exc


def _check(message: ttypes.PassedRequest) -> None:
    """Raise an exception if a part is missing."""
    for part in (message, message.route, *message.headers):
        part.validate()


def _convert(message: ttypes.PassedRequest, now: float) -> PassedRequest:
    left = min(max(0, message.left) / MS_PER_S, MAX_LEFT)
    req = Request(
        message.id,
        message.method,
        message.target,
        message.host,
        tuple((field.name, field.content) for field in message.headers),
        message.body,
        now,
        now + left,
        message.retry,
        message.last_event,
        tuple(message.prompt_parts),
        message.resumes,
        message.account,
    )
    return PassedRequest(
        message.instance,
        req,
        _unpack_route(message.route, message),
        message.service_name,
        message.version,
        message.runs,
        frozenset(message.tried),
    )


def _pack_route(route: Route) -> ttypes.PassedRoute:
    return ttypes.PassedRoute(
        name=route.name,
        kind=route.kind.value,
        timeout=_to_ms(route.timeout),
        latency_target=_to_ms(route.latency_target),
        priority=route.priority,
        max_attempts=min(route.max_attempts, MAX_INT32),
        resumable=route.resumable,
        split=len(route.shares) > 1,
    )


def _to_ms(seconds: float) -> int:
    return min(int(seconds * MS_PER_S), MAX_INT32)


def _unpack_route(route: ttypes.PassedRoute, message: Any) -> Route:
    share = Share(message.service_name, 1)
    return Route(
        route.name,
        message.host,
        message.target,
        RouteKind(route.kind),
        route.timeout / MS_PER_S,
        route.latency_target / MS_PER_S,
        route.priority,
        (share, share) if route.split else (share,),
        route.max_attempts,
        route.resumable,
    )
