"""Bytes that an upstream wrote before it got a request."""

import asyncio
import time

import pytest

from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.upstream_connection import (
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.gateway.upstream_runs import UpstreamRuns
from gentiantrestle.http.link import RequestNotSentError
from gentiantrestle.models import Address
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard
from gentiantrestle.quarantine.watch import RequestWatch
from tests.gateway.samples import make_upstream
from tests.gateway.test_process_repeated_refusals import answer, refusal
from tests.utils.ports import HOST, free_ports

ARRIVAL_TIME = 0.1  # seconds
NAME = 'r1'


@pytest.mark.parametrize('early', [answer(NAME), refusal(NAME), b'H'])
async def test_no_request_is_sent_where_an_answer_is_there_already(
    early: bytes,
) -> None:
    received: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(early)
        received.append(await reader.read())
        writer.close()

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(serve, *address)
    clock = Clock(time.monotonic, time.time)
    watch = RequestWatch(RequestGuard(Evidence(), lambda _: True), (), clock)
    conn = UpstreamConnection(
        PlatformDialect(), watch, UpstreamRuns(PlatformDialect())
    )
    await conn.connect(make_upstream('u1', address=address))
    await asyncio.sleep(ARRIVAL_TIME)
    headers = [(b'host', b'x'), (b'x-attempt-id', NAME.encode())]
    with pytest.raises(RequestNotSentError):
        await conn.send(UpstreamRequest(NAME, 'GET', '/pay/1', headers, b''))
    conn.close()
    server.close()
    assert received in ([], [b''])
