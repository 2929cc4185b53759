"""Routes of batch jobs."""

from uuid import uuid4

from gentiantrestle.daemon.batch.accept import Submission
from gentiantrestle.daemon.batch.reader import describe
from gentiantrestle.daemon.batch.records import RUNNING
from gentiantrestle.daemon.entry.callers import KEY_HEADER
from gentiantrestle.daemon.entry.routes import CLIENT, route
from gentiantrestle.daemon.entry.service import Entry, Visit
from gentiantrestle.errors import BAD_REQUEST, OVERLOADED, refuse
from gentiantrestle.http.messages import JSON_LINES, Response, answer_json

DEFAULT_WINDOW = 86400.0  # seconds
MAX_WINDOW = 30 * DEFAULT_WINDOW
DEFAULT_MAX_JOBS = 1000
ACCEPTED = 202
RETRY_AFTER = 30  # seconds


@route('POST', '/v1/batches', CLIENT)
async def submit_job(entry: Entry, visit: Visit) -> Response:
    """Accept a job of JSON lines."""
    client = visit.identity.client
    _check_count(entry, client)
    submission = Submission(
        client,
        visit.req.headers.get(KEY_HEADER) or uuid4().hex,
        _window(visit),
        visit.req.limited(entry.parts.ctx.cfg.max_batch_body),
    )
    job = await entry.parts.batch.acceptance.accept(submission)
    return answer_json(describe(job, job['done'], job['failed']), ACCEPTED)


@route('GET', '/v1/batches', CLIENT)
async def list_jobs(entry: Entry, visit: Visit) -> Response:
    """List the client's jobs, the newest first."""
    jobs = sorted(
        entry.parts.batch.reader.jobs_of(visit.identity.client),
        key=lambda job: job['created'],
        reverse=True,
    )
    listed = [describe(job, job['done'], job['failed']) for job in jobs]
    return answer_json({'object': 'list', 'data': listed})


@route('GET', '/v1/batches/{job}', CLIENT)
async def show_job(entry: Entry, visit: Visit) -> Response:
    """Show how far a job is."""
    status = await entry.parts.batch.reader.status(
        visit.identity.client,
        visit.fields['job'],
    )
    return answer_json(status)


@route('GET', '/v1/batches/{job}/results', CLIENT)
async def read_results(entry: Entry, visit: Visit) -> Response:
    """Stream the results that there are."""
    lines = await entry.parts.batch.reader.results(
        visit.identity.client,
        visit.fields['job'],
    )
    return Response(200, lines, JSON_LINES)


@route('POST', '/v1/batches/{job}/cancel', CLIENT)
async def cancel_job(entry: Entry, visit: Visit) -> Response:
    """Cancel a job."""
    status = await entry.parts.batch.reader.cancel(
        visit.identity.client,
        visit.fields['job'],
    )
    return answer_json(status)


def _window(visit: Visit) -> float:
    given = visit.req.arguments('completion_window')
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


def _check_count(entry: Entry, client: str) -> None:
    settings = entry.parts.configuration.fleet['clients'].get(client, {})
    limit = settings.get('max_jobs', DEFAULT_MAX_JOBS)
    running = sum(
        job['state'] == RUNNING
        for job in entry.parts.batch.reader.jobs_of(client)
    )
    if running >= limit:
        raise refuse(
            OVERLOADED,
            f'{running} jobs of this account are running already',
            RETRY_AFTER,
        )
