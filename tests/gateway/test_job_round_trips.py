"""Jobs of all shapes that are accepted: each instance must read them."""

import asyncio
import base64
import re
from typing import Any, NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.api import Submission
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.model import Job
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.models import MAX_INT32, MAX_INT64
from gentiantrestle.platform.items import ID_PATTERN
from gentiantrestle.platform.object_decoder import ObjectDecoder
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_batch_route, make_request, make_table
from tests.gateway.test_account_jobs import Instance

RECORD_SIZE = 100000  # bytes
IDS = st.from_regex(ID_PATTERN, fullmatch=True)
# Most are as callers may send them.
TEXTS = st.text(max_size=12)
PROPER = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=9)
VALUES = PROPER | PROPER | PROPER | st.text(max_size=3)
NAMES = st.from_regex(re.compile('[a-zA-Z-]{1,8}'), fullmatch=True)
BODIES = st.binary(max_size=400)
ITEMS = st.fixed_dictionaries(
    {
        'id': IDS,
        'path': VALUES.map('/{}'.format),
        'headers': st.dictionaries(NAMES, VALUES, max_size=3),
        'body': BODIES.map(lambda body: base64.b64encode(body).decode()),
        'token-count': st.integers(0, MAX_INT32)
        | st.sampled_from((0, MAX_INT32, '7', 7.5, True, -1, MAX_INT32 + 1)),
    }
)
LATIN = st.characters(max_codepoint=255)


class _Sent(NamedTuple):
    """A job as a caller sends it, and what the instance adds."""

    job_id: str
    host: str
    target: str
    account: str | None
    at: float
    version: int
    documents: list[dict[str, Any]]


JOBS = st.builds(
    _Sent,
    IDS,
    st.text(LATIN, max_size=12),
    st.text(LATIN, max_size=12).map('/lists/{}'.format),
    st.none() | TEXTS,
    st.floats(0, 1e12),
    st.integers(0, MAX_INT64),
    st.lists(ITEMS, min_size=1, max_size=4),
)


class _JsonStore(MemoryStore):
    """A store that keeps what it gets as the platform's client sends it."""

    def write(self, kind: str, stored: StoredObject) -> None:
        """Put an object, with the next revision."""
        document = {
            'metadata': {'name': stored.name, 'revision': self.revision + 1},
            'spec': stored.content,
            'status': stored.status,
        }
        text = msgspec.json.encode(document)
        super().write(kind, ObjectDecoder().decode_object(text))


def _known(job: Job) -> dict[str, Any]:
    """Return what every instance has of a job."""
    items = [(spec.id, spec.tokens) for spec in job.items]
    return {**job._asdict(), 'items': items}


async def _submit(store: MemoryStore, sent: _Sent) -> Instance:
    instance = Instance(store, make_table(make_batch_route()))
    req = make_request(
        sent.job_id,
        body=msgspec.json.encode({'items': sent.documents}),
        target=sent.target,
        host=sent.host,
        account=sent.account,
    )
    route = make_batch_route()
    await instance.api.submit(req, route, Submission(sent.at, sent.version))
    return instance


async def _check_others(
    store: MemoryStore, instance: Instance, job_id: str, *, ended: bool
) -> None:
    """Read a job as instances do that have never heard of it."""
    known = instance.index.entries[job_id]
    bodies = {spec.id: spec for spec in known.unfinished_items()}
    if ended:
        assert await instance.job_store.cancel(job_id)
    reader, lister = Instance(store), Instance(store)
    found = await reader.job_store.find(job_id)
    assert found is not None
    await lister.job_store.relist()
    for entry in (found, lister.index.entries[job_id]):
        assert _known(entry.job) == _known(known.job)
    for spec in known.job.items:
        body = await reader.job_store.read_body(found, spec.id)
        assert body == bodies[spec.id].body
    await lister.job_store.load_bodies(lister.index.entries[job_id])
    if not ended:
        specs = lister.index.entries[job_id].unfinished_items()
        assert {spec.id: spec for spec in specs} == bodies


async def _play(size: int, sent: _Sent, *, ended: bool) -> None:
    store = _JsonStore(size)
    store.real_size_limit = RECORD_SIZE
    try:
        instance = await _submit(store, sent)
    except RefusedError as exc:
        assert exc.refusal.kind.status in {400, 413}
        assert not store.kinds.get(JOB_KIND)
        return
    await _check_others(store, instance, sent.job_id, ended=ended)


@pytest.mark.parametrize('size', [RECORD_SIZE, 400])
@settings(max_examples=200, derandomize=True, deadline=None)
@given(sent=JOBS, ended=st.booleans())
def test_each_instance_reads_what_an_accepted_job_has(
    size: int, sent: _Sent, ended: bool
) -> None:
    asyncio.run(_play(size, sent, ended=ended))
