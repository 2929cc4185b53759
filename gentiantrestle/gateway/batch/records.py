"""How jobs and their results lie in the store; the project's own format."""

import base64
from typing import Any, NamedTuple

from gentiantrestle.gateway.model import ItemResult, ItemSpec, Job
from gentiantrestle.gateway.ports import StoredObject

JOB_KIND = 'batch-jobs'
BODY_KIND = 'batch-bodies'
RESULT_KIND = 'batch-results'
ENDED = 'ended'
DONE = 'done'


class JobRecord(NamedTuple):
    """A job as it was read, with what a status write needs."""

    job: Job
    stored: StoredObject


def chunk_name(job: str, index: int) -> str:
    """Name the part of a job's results with this index."""
    return f'{job}.{index}'


def job_to_content(job: Job) -> dict[str, Any]:
    """Write a job without its bodies: each instance reads it.

    Its state stands in the object's status.
    """
    return {
        'host': job.host,
        'path': job.path,
        'submitted': job.submitted,
        'acceptor': job.acceptor,
        'version': job.version,
        'items': [[spec.id, spec.tokens] for spec in job.items],
    }


def bodies_to_content(job: Job) -> dict[str, Any]:
    """Write what only the instance that runs a job needs."""
    return {
        'bodies': [
            [spec.path, spec.headers, base64.b64encode(spec.body).decode()]
            for spec in job.items
        ],
    }


def job_from_stored(stored: StoredObject) -> JobRecord:
    """Read a job and its state; the bodies are not in it."""
    told = stored.content
    state = (stored.status or {}).get('state', '')
    job = Job(
        id=stored.name,
        host=told['host'],
        path=told['path'],
        submitted=told['submitted'],
        acceptor=told['acceptor'],
        items=tuple(ItemSpec(name, tokens) for name, tokens in told['items']),
        version=told['version'],
        cancelled=state == ENDED,
        done=state == DONE,
    )
    return JobRecord(job, stored)


def with_bodies(job: Job, told: dict[str, Any]) -> tuple[ItemSpec, ...]:
    """Return a job's items with the bodies that were stored for it."""
    return tuple(
        spec._replace(path=path, headers=headers, body=base64.b64decode(body))
        for spec, (path, headers, body) in zip(
            job.items, told['bodies'], strict=True
        )
    )


def results_to_content(results: tuple[ItemResult, ...]) -> dict[str, Any]:
    """Write one part of a job's results."""
    return {'results': [list(one) for one in results]}


def results_from_content(told: dict[str, Any]) -> tuple[ItemResult, ...]:
    """Read one part of a job's results."""
    return tuple(ItemResult(*one) for one in told['results'])
