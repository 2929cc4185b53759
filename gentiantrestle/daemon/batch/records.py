"""What the store keeps of jobs and chunks, and how it may change; no I/O."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple, NotRequired, TypedDict

from gentiantrestle.errors import CONFLICT, NOT_FOUND, Refusal

JOB_PREFIX = 'jobs/'
RUNNING = 'running'
COMPLETED = 'completed'
CANCELLED = 'cancelled'
HELD = 'held'
OPEN = 'open'
DONE = 'done'
INDEX_WIDTH = 5
ID_LENGTH = 32
HEX = 16


class JobRecord(TypedDict):
    """A batch job as accepted, and how it ended.

    ``parts_seen`` is set by a cancel: for each chunk the number of result
    parts that stay readable; later ones are never shown.
    """

    id: str
    client: str
    digest: str
    upload: str
    state: str
    endpoint: str
    url: str
    items: int
    chunks: int
    created: float
    deadline: float
    region: str
    repeatable: bool
    done: int
    failed: int
    finished: NotRequired[float]
    finisher: NotRequired[str]
    parts_seen: NotRequired[list[int]]


class ChunkRecord(TypedDict):
    """One chunk's holder, fencing number and results so far.

    ``settled`` and ``started`` are sets of item positions, as bits of a
    number in hex.
    """

    owner: str
    incarnation: int
    epoch: int
    state: str
    parts: list[str]
    settled: str
    started: str
    done: int
    failed: int


class ItemLine(TypedDict):
    """One item of a job as its caller sent it."""

    custom_id: str
    url: str
    body: dict


class ResultLine(TypedDict):
    """One item's result as its caller reads it."""

    custom_id: str
    response: dict | None
    error: dict | None


class Holder(NamedTuple):
    """An instance in one of its lives."""

    instance: str
    incarnation: int


def job_id(client: str, key: str) -> str:
    """Derive a job's id, so that a resend finds the same job."""
    digest = hashlib.sha256(f'{client}\0{key}'.encode())
    short = digest.hexdigest()[:ID_LENGTH]
    return f'job-{short}'


def job_name(job: str) -> str:
    """Name a job's object."""
    return JOB_PREFIX + job


def chunk_prefix(job: str) -> str:
    """Name what a job's chunks have in common."""
    return f'chunks/{job}/'


def chunk_name(job: str, index: int) -> str:
    """Name a chunk's object."""
    return chunk_prefix(job) + _pad(index)


def chunk_index(name: str) -> int:
    """Read a chunk's index from its object's name."""
    return int(name.rpartition('/')[2])


def input_name(upload: str, index: int) -> str:
    """Name the object that holds a chunk's items."""
    return f'inputs/{upload}/{_pad(index)}'


def part_name(job: str, index: int, part: str) -> str:
    """Name an object that holds results."""
    return f'parts/{job}/{_pad(index)}/{part}'


def _pad(index: int) -> str:
    return str(index).zfill(INDEX_WIDTH)


def bits_to_text(positions: Iterable[int]) -> str:
    """Write a set of positions as a number in hex."""
    return format(sum(1 << position for position in set(positions)), 'x')


def text_to_bits(text: str) -> Iterator[int]:
    """Read a set of positions."""
    number = int(text or '0', base=HEX)
    position = 0
    while number:
        if number & 1:
            yield position
        number >>= 1
        position += 1


def claim(
    found: ChunkRecord | None,
    me: Holder,
    *,
    holder_gone: bool,
) -> ChunkRecord | Refusal:
    """Take a chunk under the next epoch, if it may be taken."""
    if found is None:
        return ChunkRecord(
            owner=me.instance,
            incarnation=me.incarnation,
            epoch=1,
            state=HELD,
            parts=[],
            settled='0',
            started='0',
            done=0,
            failed=0,
        )
    if found['state'] == DONE:
        return Refusal(CONFLICT, 'The chunk is done')
    if found['state'] == HELD and not holder_gone:
        return Refusal(CONFLICT, 'The chunk is held')
    return ChunkRecord(
        **{
            **found,
            'owner': me.instance,
            'incarnation': me.incarnation,
            'epoch': found['epoch'] + 1,
            'state': HELD,
        },
    )


def release(found: ChunkRecord) -> ChunkRecord:
    """Open a chunk under the next epoch; its old holder is fenced off."""
    return ChunkRecord(
        **{**found, 'state': OPEN, 'epoch': found['epoch'] + 1},
    )


def holds(found: ChunkRecord, me: Holder, epoch: int) -> bool:
    """Tell whether a chunk is still held under an epoch."""
    same_life = (found['owner'], found['incarnation']) == me
    return same_life and found['epoch'] == epoch


def finish_job(
    job: JobRecord,
    chunks: Iterable[ChunkRecord],
    wall: float,
    finisher: str,
) -> JobRecord | None:
    """Complete a running job once all of its chunks are done."""
    done = [chunk for chunk in chunks if chunk['state'] == DONE]
    if job['state'] != RUNNING or len(done) < job['chunks']:
        return None
    return JobRecord(
        **{
            **job,
            'state': COMPLETED,
            'done': sum(chunk['done'] for chunk in done),
            'failed': sum(chunk['failed'] for chunk in done),
            'finished': wall,
            'finisher': finisher,
        },
    )


def cancel_job(
    job: JobRecord | None,
    chunks: dict[int, ChunkRecord],
    wall: float,
) -> JobRecord | Refusal:
    """Cancel a running job; what its chunks hold by now stays readable."""
    if job is None:
        return Refusal(NOT_FOUND, 'There is no such job')
    if job['state'] == CANCELLED:
        return job
    if job['state'] != RUNNING:
        return Refusal(CONFLICT, f'The job is {job["state"]} already')
    return JobRecord(
        **{
            **job,
            'state': CANCELLED,
            'done': sum(chunk['done'] for chunk in chunks.values()),
            'failed': sum(chunk['failed'] for chunk in chunks.values()),
            'finished': wall,
            'parts_seen': [
                len(chunks[index]['parts']) if index in chunks else 0
                for index in range(job['chunks'])
            ],
        },
    )


def readable_parts(job: JobRecord, index: int, chunk: ChunkRecord) -> list[str]:
    """Return the parts of a chunk that readers may see, in order."""
    seen = job.get('parts_seen')
    if seen is None:
        return chunk['parts']
    return chunk['parts'][: seen[index]]
