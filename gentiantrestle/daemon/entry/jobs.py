"""Routes of batch jobs."""

from http import HTTPStatus
from uuid import uuid4

from gentiantrestle.daemon.batch.acceptance import Submission
from gentiantrestle.daemon.batch.client_jobs import job_status
from gentiantrestle.daemon.entry.callers import KEY_HEADER
from gentiantrestle.daemon.entry.routes import CLIENT, route
from gentiantrestle.daemon.entry.service import Entry, Visit
from gentiantrestle.errors import BAD_REQUEST, refuse
from gentiantrestle.http.messages import JSON_LINES, Response, json_response

DEFAULT_WINDOW = 86400.0  # seconds
MAX_WINDOW = 2592000.0  # seconds
DEFAULT_MAX_JOBS = 1000


@route('POST', '/v1/batches', CLIENT)
async def submit_job(entry: Entry, visit: Visit) -> Response:
    """Accept a job of JSON lines."""
    client = visit.identity.client
    settings = entry.parts.configuration.fleet['clients'].get(client, {})
    submission = Submission(
        client,
        visit.req.headers.get(KEY_HEADER) or uuid4().hex,
        _window(visit),
        visit.req.iter_body(entry.cfg.max_batch_body),
        visit.req.body_size,
        settings.get('max_jobs', DEFAULT_MAX_JOBS),
    )
    job = await entry.batch.acceptor.accept(submission)
    return json_response(
        job_status(job, job['done'], job['failed']), HTTPStatus.ACCEPTED
    )


@route('GET', '/v1/batches', CLIENT)
async def list_jobs(entry: Entry, visit: Visit) -> Response:
    """List the client's jobs, the newest first."""
    jobs = sorted(
        entry.batch.client_jobs.jobs_of(visit.identity.client),
        key=lambda job: job['created'],
        reverse=True,
    )
    listed = [job_status(job, job['done'], job['failed']) for job in jobs]
    return json_response({'object': 'list', 'data': listed})


@route('GET', '/v1/batches/{job}', CLIENT)
async def show_job(entry: Entry, visit: Visit) -> Response:
    """Show how far a job is."""
    status = await entry.batch.client_jobs.status(
        visit.identity.client,
        visit.fields['job'],
    )
    return json_response(status)


@route('GET', '/v1/batches/{job}/results', CLIENT)
async def read_results(entry: Entry, visit: Visit) -> Response:
    """Stream the results that there are."""
    lines = await entry.batch.client_jobs.results(
        visit.identity.client,
        visit.fields['job'],
    )
    return Response(HTTPStatus.OK, lines, JSON_LINES)


@route('POST', '/v1/batches/{job}/cancel', CLIENT)
async def cancel_job(entry: Entry, visit: Visit) -> Response:
    """Cancel a job."""
    status = await entry.batch.client_jobs.cancel(
        visit.identity.client,
        visit.fields['job'],
    )
    return json_response(status)


def _window(visit: Visit) -> float:
    given = visit.req.query_values('completion_window')
    try:
        window = float(given[0]) if given else DEFAULT_WINDOW
    except ValueError:
        window = 0
    if not 0 < window <= MAX_WINDOW:
        raise refuse(
            BAD_REQUEST,
            f'completion_window is not from 1 to {MAX_WINDOW:.0f} seconds',
        )
    return window
