"""Encodes batch jobs and their results in this project's store format."""

import base64
from typing import Any, NamedTuple

from gentiantrestle.gateway.model import ItemResult, ItemSpec, Job
from gentiantrestle.gateway.ports import StoredObject

JOB_KIND = 'batch-jobs'
BODY_KIND = 'batch-bodies'
RESULT_KIND = 'batch-results'
CANCELLED = 'ended'  # by the client
DONE = 'done'  # every item has a result


class JobRecord(NamedTuple):
    """A decoded job and its object, which is needed to write its status."""

    job: Job
    stored: StoredObject


def chunk_name(job_id: str, index: int) -> str:
    """Name the object of one chunk of a job's results."""
    return f'{job_id}.{index}'


def job_to_content(job: Job) -> dict[str, Any]:
    """Encode a job without its bodies, as every instance reads it.

    The job's state is not included: it is in the object's status.
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
    """Encode the paths, headers and bodies of a job's items.

    They are stored apart: only the instance that runs the job needs them.
    """
    return {
        'bodies': [
            [spec.path, spec.headers, base64.b64encode(spec.body).decode()]
            for spec in job.items
        ],
    }


def job_from_stored(stored: StoredObject) -> JobRecord:
    """Decode a job and its state; its items have no bodies.

    Raises ``LookupError``, ``TypeError`` or ``ValueError`` if the content is
    malformed.
    """
    content = stored.content
    state = (stored.status or {}).get('state', '')
    job = Job(
        id=stored.name,
        host=content['host'],
        path=content['path'],
        submitted=content['submitted'],
        acceptor=content['acceptor'],
        items=tuple(
            ItemSpec(name, tokens) for name, tokens in content['items']
        ),
        version=content['version'],
        cancelled=state == CANCELLED,
        done=state == DONE,
    )
    return JobRecord(job, stored)


def with_bodies(job: Job, content: dict[str, Any]) -> tuple[ItemSpec, ...]:
    """Return a job's items with the bodies decoded from ``content``."""
    return tuple(
        spec._replace(path=path, headers=headers, body=base64.b64decode(body))
        for spec, (path, headers, body) in zip(
            job.items, content['bodies'], strict=True
        )
    )


def results_to_content(results: tuple[ItemResult, ...]) -> dict[str, Any]:
    """Encode one chunk of a job's results."""
    return {'results': [list(result) for result in results]}


def results_from_content(content: dict[str, Any]) -> tuple[ItemResult, ...]:
    """Decode one chunk of a job's results."""
    return tuple(ItemResult(*row) for row in content['results'])
