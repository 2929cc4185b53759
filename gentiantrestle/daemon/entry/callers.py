"""Routes for online requests, probes and metrics."""

from http import HTTPStatus

from gentiantrestle.daemon.entry.request_parsing import (
    parse_completion,
    parse_service_call,
)
from gentiantrestle.daemon.entry.routes import ANYONE, CLIENT, route
from gentiantrestle.daemon.entry.service import Entry, RoutedRequest
from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.errors import NO_UPSTREAM, refuse
from gentiantrestle.http.messages import Response, json_response

IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
RETRY_AFTER = 1  # seconds


@route('GET', '/healthz', ANYONE)
async def answer_health(entry: Entry, routed: RoutedRequest) -> Response:
    """Report that the process is alive."""
    return json_response({'alive': True})


@route('GET', '/readyz', ANYONE)
async def answer_ready(entry: Entry, routed: RoutedRequest) -> Response:
    """Report whether this instance takes requests; 503 if it does not."""
    return json_response(
        {'ready': entry.ready},
        HTTPStatus.OK if entry.ready else HTTPStatus.SERVICE_UNAVAILABLE,
    )


@route('GET', '/metrics', ANYONE)
async def answer_metrics(entry: Entry, routed: RoutedRequest) -> Response:
    """Return the metrics in a format that the caller accepts."""
    accepts = tuple(routed.req.headers.get('accept', '*/*').split(','))
    body, content_type = entry.components.ctx.metrics.render(accepts)
    return Response(HTTPStatus.OK, body, content_type)


@route('GET', '/v1/models', CLIENT)
async def answer_models(entry: Entry, routed: RoutedRequest) -> Response:
    """List the endpoints."""
    endpoints = entry.components.configuration.fleet['endpoints']
    models = [{'id': name, 'object': 'model'} for name in sorted(endpoints)]
    return json_response({'object': 'list', 'data': models})


@route('POST', '/v1/completions', CLIENT)
@route('POST', '/v1/chat/completions', CLIENT)
async def answer_completion(entry: Entry, routed: RoutedRequest) -> Response:
    """Answer a completion or chat request, streamed or whole."""
    _require_ready(entry)
    raw = await routed.req.read(entry.components.ctx.cfg.max_body)
    online_request = parse_completion(
        routed.identity.client,
        routed.req,
        raw,
        entry.components.configuration.fleet,
    )
    return await _answer(entry, routed, online_request)


@route('POST', '/v1/services/{endpoint}/{rest}', CLIENT)
@route('GET', '/v1/services/{endpoint}/{rest}', CLIENT)
async def answer_service(entry: Entry, routed: RoutedRequest) -> Response:
    """Forward a call to a service upstream."""
    _require_ready(entry)
    raw = await routed.req.read(entry.components.ctx.cfg.max_body)
    online_request = parse_service_call(
        routed.identity.client,
        routed.req,
        raw,
        entry.components.configuration.fleet,
        routed.fields,
    )
    return await _answer(entry, routed, online_request)


async def _answer(
    entry: Entry, routed: RoutedRequest, online_request: OnlineRequest
) -> Response:
    key = routed.req.headers.get(IDEMPOTENCY_KEY_HEADER)
    return await entry.components.online.answer(online_request, key)


def _require_ready(entry: Entry) -> None:
    if not entry.ready:
        raise refuse(NO_UPSTREAM, 'No configuration is known yet', RETRY_AFTER)
