"""Routes for batch jobs."""

from http import HTTPStatus
from uuid import uuid4

from gentiantrestle.daemon.batch.acceptance import Submission
from gentiantrestle.daemon.batch.client_jobs import job_status
from gentiantrestle.daemon.entry.callers import IDEMPOTENCY_KEY_HEADER
from gentiantrestle.daemon.entry.routes import CLIENT, route
from gentiantrestle.daemon.entry.service import Entry, RoutedRequest
from gentiantrestle.errors import BAD_REQUEST, refuse
from gentiantrestle.http.messages import JSON_LINES, Response, json_response

DEFAULT_WINDOW = 86400.0  # seconds
MAX_WINDOW = 2592000.0  # seconds
DEFAULT_MAX_JOBS = 1000


@route('POST', '/v1/batches', CLIENT)
async def submit_job(entry: Entry, routed: RoutedRequest) -> Response:
    """Accept a batch job; the body holds one item per line, as JSON."""
    client = routed.identity.client
    settings = entry.components.configuration.fleet['clients'].get(client, {})
    submission = Submission(
        client,
        routed.req.headers.get(IDEMPOTENCY_KEY_HEADER) or uuid4().hex,
        _read_window(routed),
        routed.req.iter_body(entry.cfg.max_batch_body),
        routed.req.body_size,
        settings.get('max_jobs', DEFAULT_MAX_JOBS),
    )
    job = await entry.batch.acceptor.accept(submission)
    return json_response(
        job_status(job, job['done'], job['failed']), HTTPStatus.ACCEPTED
    )


@route('GET', '/v1/batches', CLIENT)
async def list_jobs(entry: Entry, routed: RoutedRequest) -> Response:
    """List the client's jobs, the newest first."""
    jobs = sorted(
        entry.batch.client_jobs.jobs_of(routed.identity.client),
        key=lambda job: job['created'],
        reverse=True,
    )
    listed = [job_status(job, job['done'], job['failed']) for job in jobs]
    return json_response({'object': 'list', 'data': listed})


@route('GET', '/v1/batches/{job}', CLIENT)
async def show_job(entry: Entry, routed: RoutedRequest) -> Response:
    """Show a job's status and progress."""
    status = await entry.batch.client_jobs.status(
        routed.identity.client,
        routed.fields['job'],
    )
    return json_response(status)


@route('GET', '/v1/batches/{job}/results', CLIENT)
async def read_results(entry: Entry, routed: RoutedRequest) -> Response:
    """Stream the results available so far, as JSON lines."""
    lines = await entry.batch.client_jobs.results(
        routed.identity.client,
        routed.fields['job'],
    )
    return Response(HTTPStatus.OK, lines, JSON_LINES)


@route('POST', '/v1/batches/{job}/cancel', CLIENT)
async def cancel_job(entry: Entry, routed: RoutedRequest) -> Response:
    """Cancel a job."""
    status = await entry.batch.client_jobs.cancel(
        routed.identity.client,
        routed.fields['job'],
    )
    return json_response(status)


def _read_window(routed: RoutedRequest) -> float:
    given = routed.req.query_values('completion_window')
    try:
        window = float(given[0]) if given else DEFAULT_WINDOW
    except ValueError:
        window = 0
    if not 0 < window <= MAX_WINDOW:
        raise refuse(
            BAD_REQUEST,
            'completion_window must be above 0 and at most '
            f'{MAX_WINDOW:.0f} seconds',
        )
    return window
