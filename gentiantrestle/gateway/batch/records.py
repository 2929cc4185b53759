"""Encodes batch jobs and their results in this project's store format."""

import base64
from typing import Annotated, Any, NamedTuple

import msgspec

from gentiantrestle.gateway.model import ItemResult, ItemSpec, Job
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.models import MAX_INT32, MAX_INT64

MAX_BODY_PARTS = 64  # objects
JOB_KIND = 'batch-jobs'
BODY_KIND = 'batch-bodies'
# Of bodies that are not one object: those after the first, by number. Ids may
# look like these names, so they have a kind of their own.
BODY_PART_KIND = 'batch-body-parts'
RESULT_KIND = 'batch-results'
# What anybody may have written is checked before it is used; msgspec raises
# subclasses of ValueError.
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]
Parts = Annotated[int, msgspec.Meta(ge=1, le=MAX_BODY_PARTS)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
CANCELLED = 'ended'  # by the client
DONE = 'done'  # every item has a result


class _ItemContent(msgspec.Struct, array_like=True):
    id: str
    tokens: Tokens


class _BodyContent(msgspec.Struct, array_like=True):
    path: str
    headers: dict[str, str]
    body: str  # in base64


class JobTakenError(Exception):
    """Another client account has a job of the same id."""


class _JobContent(msgspec.Struct):
    host: str
    path: str
    submitted: float
    acceptor: str
    version: Version
    items: list[_ItemContent]  # noqa: WPS110 (as in the store)
    body_parts: Parts = 1
    account: str | None = None
    upload: str = ''


class _BodiesContent(msgspec.Struct):
    bodies: list[_BodyContent]  # in the order of the job's items


class _ResultsContent(msgspec.Struct):
    results: list[ItemResult]


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
        'body_parts': job.body_parts,
        **owner_to_content(job),
        **({'upload': job.upload} if job.upload else {}),
    }


def owner_to_content(job: Job) -> dict[str, str]:
    """Encode the account that an object of a job belongs to, if any."""
    return {} if job.account is None else {'account': job.account}


def belongs_to(job: Job, content: Any) -> bool:
    """Return whether an object may belong to a job of this account.

    Those that older builds have written name no account.
    """
    return not isinstance(content, dict) or (
        content.get('account', job.account) == job.account
    )


def is_same_upload(job: Job, other: Job) -> bool:
    """Return whether two stored jobs have the same items and bodies."""
    if (job.body_parts, job.upload) != (other.body_parts, other.upload):
        return False
    return [(spec.id, spec.tokens) for spec in job.items] == [
        (spec.id, spec.tokens) for spec in other.items
    ]


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

    Raises one of ``DECODE_ERRORS`` if it is malformed.
    """
    content = msgspec.convert(stored.require_content(), _JobContent)
    state = state_of(stored)
    job = Job(
        id=stored.name,
        host=content.host,
        path=content.path,
        submitted=content.submitted,
        acceptor=content.acceptor,
        items=tuple(ItemSpec(spec.id, spec.tokens) for spec in content.items),
        version=content.version,
        cancelled=state == CANCELLED,
        done=state == DONE,
        body_parts=content.body_parts,
        account=content.account,
        upload=content.upload,
    )
    return JobRecord(job, stored)


def state_of(stored: StoredObject) -> str:
    """Return the state in a job's status; empty if it has none."""
    if not isinstance(stored.status, dict):
        return ''
    return stored.status.get('state', '')


def with_bodies(job: Job, content: Any) -> tuple[ItemSpec, ...]:
    """Return a job's items with the bodies decoded from ``content``.

    Raises one of ``DECODE_ERRORS`` if it is malformed.
    """
    bodies = msgspec.convert(content, _BodiesContent).bodies
    return tuple(
        spec._replace(
            path=stored.path,
            headers=stored.headers,
            body=base64.b64decode(stored.body),
        )
        for spec, stored in zip(job.items, bodies, strict=True)
    )


def results_to_content(results: tuple[ItemResult, ...]) -> dict[str, Any]:
    """Encode one chunk of a job's results."""
    return {'results': [list(result) for result in results]}


def results_from_content(content: Any) -> tuple[ItemResult, ...]:
    """Decode one chunk of a job's results.

    Raises one of ``DECODE_ERRORS`` if it is malformed.
    """
    return tuple(msgspec.convert(content, _ResultsContent).results)
