"""Attempts of one batch item on upstreams of two software versions."""

import random
import time
from collections.abc import AsyncIterator, Mapping
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gentiantrestle.daemon.batch.allocator import Slot
from gentiantrestle.daemon.batch.item_run import (
    ClaimedChunk,
    ItemRun,
    Outcome,
    Services,
)
from gentiantrestle.daemon.configuration.document import validate
from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.http.client import ClientRequest, ConnectionLostError
from gentiantrestle.models import UpstreamDoc
from standins.engine_bodies import completion_document

TOKENS = 6
CUT_AFTER = 4
ITEM = {
    'custom_id': 'c0',
    'url': '/v1/completions',
    'body': {'model': 'm', 'prompt': 'p'},
}
UPSTREAM = UpstreamDoc(zone='a1', address='127.0.0.1:1', kind='engine', slots=8)


class CutAnswer:
    """Streams the tokens that are left, up to the cut."""

    status = 200

    def __init__(self, version: str, first: int) -> None:
        """Write the version into each token."""
        self._version = version
        self._first = first

    def header(self, name: str) -> str:
        """Return nothing."""
        return ''

    async def iter_body(self, timeout: float) -> AsyncIterator[bytes]:
        """Yield events, and lose the connection after some."""
        last = min(TOKENS, self._first + CUT_AFTER)
        for number in range(self._first, last):
            document = completion_document(
                f'{number}@{self._version} ', 1, chat=False
            )
            yield b'data: %b\n\n' % msgspec.json.encode(document)
        if last < TOKENS:
            raise ConnectionLostError('cut')
        yield b'data: [DONE]\n\n'


class FakeUpstream:
    """An upstream, its connections, and what it was asked for."""

    def __init__(self, name: str, version: str) -> None:
        """Answer at a software version."""
        self.name = name
        self.pool = self
        self.health = Health()
        self.asked: list[int] = []
        self._version = version

    async def send(
        self, call: ClientRequest, *, fresh: bool = False
    ) -> CutAnswer:
        """Note the first token that is asked for; answer."""
        first = msgspec.json.decode(call.body).get('resume_from', 0)
        self.asked.append(first)
        return CutAnswer(self._version, first)

    def release(self, answer: CutAnswer) -> None:
        """Do nothing."""


def make_services(versions: Mapping[str, str]) -> Services:
    """Return what chunks share, for upstreams of these versions."""
    cfg = SimpleNamespace(answer_timeout=1, stall_timeout=1)
    ctx = SimpleNamespace(cfg=cfg, now=time.monotonic, random=random.Random(1))
    settings = {
        name: UpstreamDoc(**UPSTREAM, version=version)
        for name, version in versions.items()
    }
    return Services(ctx, None, None, SimpleNamespace(settings=settings.get))


async def run_twice(first: str, second: str) -> tuple[dict[str, Any], int]:
    """Run an item at two versions; return its result and the second start."""
    upstreams = [FakeUpstream('u1', first), FakeUpstream('u2', second)]
    services = make_services({'u1': first, 'u2': second})
    item = ItemRun(services, ClaimedChunk({}, 0, 0, {}, [ITEM], {}), 0)
    for upstream in (*upstreams, upstreams[1]):
        outcome = (await item.attempt(Slot(upstream, preemptible=True))).outcome
        if outcome is Outcome.COMPLETED:
            break
    return item.result(), upstreams[1].asked[0]


@pytest.mark.parametrize(
    ('second', 'start'), [('v1.1', CUT_AFTER), ('v1.2', 0), ('', 0)]
)
async def test_item_holds_no_tokens_of_two_software_versions(
    second: str, start: int
) -> None:
    result, started_at = await run_twice('v1.1', second)
    text = result['response']['body']['choices'][0]['text']
    assert text.split() == [f'{number}@{second}' for number in range(TOKENS)]
    assert started_at == start


ODD_EVENTS = (
    b'{"error":{"message":"out of memory"}}',
    b'out of memory',
    b'{"choices":[]}',
    b'{"choices":[{"text":7}]}',
    b'[]',
)


@pytest.mark.parametrize('odd', ODD_EVENTS)
async def test_item_with_an_error_as_event_is_lost_and_resumed(
    odd: bytes,
) -> None:
    upstream = FakeUpstream('u1', 'v1')
    answer = CutAnswer('v1', 0)

    async def iter_body(timeout: float) -> AsyncIterator[bytes]:
        async for part in CutAnswer('v1', TOKENS - CUT_AFTER).iter_body(1):
            yield part.replace(b'[DONE]', odd)

    answer.iter_body = iter_body
    answers = [answer, CutAnswer('v1', CUT_AFTER)]

    async def send(call: ClientRequest, *, fresh: bool = False) -> CutAnswer:
        return answers.pop(0)

    upstream.send = send
    services = make_services({'u1': 'v1'})
    item = ItemRun(services, ClaimedChunk({}, 0, 0, {}, [ITEM], {}), 0)
    slot = Slot(upstream, preemptible=True)
    assert (await item.attempt(slot)).outcome is Outcome.LOST
    assert (await item.attempt(slot)).outcome is Outcome.COMPLETED
    text = item.result()['response']['body']['choices'][0]['text']
    assert text.split()[:CUT_AFTER] == [
        f'{number}@v1' for number in range(2, TOKENS)
    ]


def test_version_of_an_upstream_is_optional_text() -> None:
    document = {'deployments': {}, 'endpoints': {}, 'clients': {}}
    for version, count in (
        ({}, 0),
        ({'version': 'v1'}, 0),
        ({'version': 1}, 1),
    ):
        upstreams = {'u1': {**UPSTREAM, **version}}
        assert len(validate({**document, 'upstreams': upstreams})) == count
