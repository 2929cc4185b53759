"""Job and chunk records as stored, and their state changes; no I/O."""

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
INDEX_WIDTH = 5  # digits
ID_LENGTH = 32  # hex digits
HEX_BASE = 16


class JobRecord(TypedDict):
    """A batch job as stored; times are Unix times in seconds.

    A cancel sets ``parts_seen``: for each chunk the number of result parts that
    stay readable. Parts written later are never shown.
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
    """A chunk's holder, fencing token (``epoch``) and results so far.

    ``settled`` holds the positions of the items that have a result, ``started``
    of those that may have been sent; each is a bit set written in hex.
    ``parts`` names the result objects; ``done`` and ``failed`` count items.
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
    """One item of a job, as the client sent it."""

    custom_id: str
    url: str
    body: dict


class ResultLine(TypedDict):
    """One item's result, as the client reads it."""

    custom_id: str
    response: dict | None
    error: dict | None


class Holder(NamedTuple):
    """An instance and its incarnation."""

    instance: str
    incarnation: int


def derive_job_id(client: str, key: str) -> str:
    """Derive the job id, so that a repeated submission finds its job."""
    digest = hashlib.sha256(f'{client}\0{key}'.encode())
    short = digest.hexdigest()[:ID_LENGTH]
    return f'job-{short}'


def job_name(job_id: str) -> str:
    """Return the name of a job's object."""
    return JOB_PREFIX + job_id


def chunk_prefix(job_id: str) -> str:
    """Return the common name prefix of a job's chunks."""
    return f'chunks/{job_id}/'


def chunk_name(job_id: str, index: int) -> str:
    """Return the name of a chunk's object."""
    return chunk_prefix(job_id) + _pad(index)


def chunk_index(name: str) -> int:
    """Return a chunk's index from the name of its object."""
    return int(name.rpartition('/')[2])


def input_name(upload: str, index: int) -> str:
    """Return the name of the object with a chunk's items."""
    return f'inputs/{upload}/{_pad(index)}'


def part_name(job_id: str, index: int, part: str) -> str:
    """Return the name of an object with result lines."""
    return f'parts/{job_id}/{_pad(index)}/{part}'


def _pad(index: int) -> str:
    return str(index).zfill(INDEX_WIDTH)


def encode_positions(positions: Iterable[int]) -> str:
    """Encode a set of item positions as a bit set in hex."""
    return format(sum(1 << position for position in set(positions)), 'x')


def decode_positions(text: str) -> Iterator[int]:
    """Yield the item positions of a bit set in hex, in order."""
    number = int(text or '0', base=HEX_BASE)
    position = 0
    while number:
        if number & 1:
            yield position
        number >>= 1
        position += 1


def claim_chunk(
    current: ChunkRecord | None,
    claimant: Holder,
    *,
    holder_gone: bool,
) -> ChunkRecord | Refusal:
    """Return the record of a chunk as claimed under the next epoch.

    Refuses a chunk that is done, or held by a holder that is not gone.
    ``current`` is ``None`` if the chunk was never claimed.
    """
    if current is None:
        return ChunkRecord(
            owner=claimant.instance,
            incarnation=claimant.incarnation,
            epoch=1,
            state=HELD,
            parts=[],
            settled='0',
            started='0',
            done=0,
            failed=0,
        )
    if current['state'] == DONE:
        return Refusal(CONFLICT, 'The chunk is done')
    if current['state'] == HELD and not holder_gone:
        return Refusal(CONFLICT, 'The chunk is held')
    return ChunkRecord(
        **{
            **current,
            'owner': claimant.instance,
            'incarnation': claimant.incarnation,
            'epoch': current['epoch'] + 1,
            'state': HELD,
        },
    )


def reopen_chunk(record: ChunkRecord) -> ChunkRecord:
    """Return a chunk opened under the next epoch: its holder is fenced off."""
    return ChunkRecord(
        **{**record, 'state': OPEN, 'epoch': record['epoch'] + 1},
    )


def is_held_by(record: ChunkRecord, holder: Holder, epoch: int) -> bool:
    """Tell whether a record names this holder and this epoch."""
    same_incarnation = (record['owner'], record['incarnation']) == holder
    return same_incarnation and record['epoch'] == epoch


def finish_job(
    job: JobRecord,
    chunks: Iterable[ChunkRecord],
    wall_time: float,
    finisher: str,
) -> JobRecord | None:
    """Return a running job as completed, or ``None`` if it can't be yet.

    All of its chunks must be done. ``wall_time`` is a Unix time in seconds.
    """
    done_chunks = [chunk for chunk in chunks if chunk['state'] == DONE]
    if job['state'] != RUNNING or len(done_chunks) < job['chunks']:
        return None
    return JobRecord(
        **{
            **job,
            'state': COMPLETED,
            'done': sum(chunk['done'] for chunk in done_chunks),
            'failed': sum(chunk['failed'] for chunk in done_chunks),
            'finished': wall_time,
            'finisher': finisher,
        },
    )


def cancel_job(
    job: JobRecord | None,
    chunks: dict[int, ChunkRecord],
    wall_time: float,
) -> JobRecord | Refusal:
    """Return a running job as cancelled, or why it can't be.

    The results saved in ``chunks`` stay readable. A job that is already
    cancelled is returned as it is. ``wall_time`` is a Unix time in seconds.
    """
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
            'finished': wall_time,
            'parts_seen': [
                len(chunks[index]['parts']) if index in chunks else 0
                for index in range(job['chunks'])
            ],
        },
    )


def readable_parts(job: JobRecord, index: int, chunk: ChunkRecord) -> list[str]:
    """Return the readable result parts of a chunk, in order."""
    seen = job.get('parts_seen')
    if seen is None:
        return chunk['parts']
    return chunk['parts'][: seen[index]]
