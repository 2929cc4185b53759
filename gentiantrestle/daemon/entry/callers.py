"""Routes of those who wait for an answer."""

from http import HTTPStatus

from gentiantrestle.daemon.entry.bodies import completion_work, service_work
from gentiantrestle.daemon.entry.routes import ANYONE, CLIENT, route
from gentiantrestle.daemon.entry.service import Entry, Visit
from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.errors import NO_UPSTREAM, refuse
from gentiantrestle.http.messages import Response, json_response

KEY_HEADER = 'idempotency-key'
RETRY_AFTER = 1  # seconds


@route('GET', '/healthz', ANYONE)
async def answer_health(entry: Entry, visit: Visit) -> Response:
    """Say that the process runs."""
    return json_response({'alive': True})


@route('GET', '/readyz', ANYONE)
async def answer_ready(entry: Entry, visit: Visit) -> Response:
    """Say whether callers should come here."""
    return json_response(
        {'ready': entry.ready},
        HTTPStatus.OK if entry.ready else HTTPStatus.SERVICE_UNAVAILABLE,
    )


@route('GET', '/metrics', ANYONE)
async def answer_metrics(entry: Entry, visit: Visit) -> Response:
    """Show the metrics."""
    accepts = tuple(visit.req.headers.get('accept', '*/*').split(','))
    body, content_type = entry.parts.ctx.metrics.render(accepts)
    return Response(HTTPStatus.OK, body, content_type)


@route('GET', '/v1/models', CLIENT)
async def answer_models(entry: Entry, visit: Visit) -> Response:
    """List the endpoints."""
    endpoints = entry.parts.configuration.fleet['endpoints']
    models = [{'id': name, 'object': 'model'} for name in sorted(endpoints)]
    return json_response({'object': 'list', 'data': models})


@route('POST', '/v1/completions', CLIENT)
@route('POST', '/v1/chat/completions', CLIENT)
async def answer_completion(entry: Entry, visit: Visit) -> Response:
    """Answer a prompt, as a stream or whole."""
    _require_ready(entry)
    raw = await visit.req.read(entry.parts.ctx.cfg.max_body)
    work = completion_work(
        visit.identity.client,
        visit.req,
        raw,
        entry.parts.configuration.fleet,
    )
    return await _answer(entry, visit, work)


@route('POST', '/v1/services/{endpoint}/{rest}', CLIENT)
@route('GET', '/v1/services/{endpoint}/{rest}', CLIENT)
async def answer_service(entry: Entry, visit: Visit) -> Response:
    """Pass a call on to a plain service."""
    _require_ready(entry)
    raw = await visit.req.read(entry.parts.ctx.cfg.max_body)
    work = service_work(
        visit.identity.client,
        visit.req,
        raw,
        entry.parts.configuration.fleet,
        visit.fields,
    )
    return await _answer(entry, visit, work)


async def _answer(entry: Entry, visit: Visit, work: OnlineRequest) -> Response:
    key = visit.req.headers.get(KEY_HEADER)
    return await entry.parts.online.answer(work, key)


def _require_ready(entry: Entry) -> None:
    if not entry.ready:
        raise refuse(NO_UPSTREAM, 'No configuration is known yet', RETRY_AFTER)
