"""Whether an answer that ends with its connection is whole."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gentiantrestle.gateway.answer_end import (
    IN_FLIGHT_TIME,
    NEVER,
    RESTART_TIME,
    Evidence,
)
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.gateway.upstream_runs import NO_SIGHTING, Sighting
from gentiantrestle.gateway.upstream_runs import UpstreamRuns as Runs
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.quarantine.evidence import Evidence as CrashEvidence
from gentiantrestle.quarantine.guard import RequestGuard
from gentiantrestle.quarantine.watch import RequestWatch
from tests.gateway.reborn_upstream import RebornUpstream, event
from tests.gateway.samples import make_upstream

STAND_STILL = RESTART_TIME + 0.2  # seconds
OLD_RUN, NEW_RUN = 1, 2
SENT_AT = 10.0
LATE = SENT_AT + 1.0


@pytest.fixture(params=[True, False], ids=['reports', 'no reports'])
async def upstream(
    request: pytest.FixtureRequest,
) -> AsyncIterator[RebornUpstream]:
    """Start an upstream; plain services tell nothing of their runs."""
    chosen = RebornUpstream(reports=request.param)
    await chosen.start()
    yield chosen
    await chosen.run.end()


@asynccontextmanager
async def begin(
    upstream: RebornUpstream, runs: Runs, listed: int = OLD_RUN
) -> AsyncIterator[UpstreamConnection]:
    """Send a request; the head of its answer has arrived."""
    clock = Clock(time.monotonic, time.time)
    watch = RequestWatch(
        RequestGuard(CrashEvidence(), lambda _: True), (), clock
    )
    conn = UpstreamConnection(PlatformDialect(), watch, runs)
    await conn.connect(
        make_upstream('u1', address=upstream.address, incarnation=listed)
    )
    headers = [(b'host', b'x'), (b'x-attempt-id', b'r1')]
    await conn.send(UpstreamRequest('r1', 'GET', '/chat/1', headers, b''))
    yield conn
    conn.close()


async def read(conn: UpstreamConnection) -> bytes:
    """Return the body of an answer; raise ``ResponseLostError``."""
    return b''.join([part async for part in conn.iter_body()])


def stand_still() -> None:
    """Let the event loop do nothing for a while."""
    time.sleep(STAND_STILL)


@pytest.fixture
def runs() -> Runs:
    """Know no run but the listed ones."""
    return Runs(PlatformDialect())


# MIXED: answers cut by a crash were whole, as a new run accepted connections.
async def test_answer_is_cut_by_a_crash_though_a_new_run_answers(
    upstream: RebornUpstream, runs: Runs
) -> None:
    async with begin(upstream, runs) as conn:
        await asyncio.sleep(0.05)
        await upstream.start_again()
        with pytest.raises(ResponseLostError):
            await read(conn)


# The same where nothing was read before the new run listened.
async def test_answer_is_cut_by_a_crash_while_the_reader_stands_still(
    upstream: RebornUpstream, runs: Runs
) -> None:
    async with begin(upstream, runs) as conn:
        stand_still()
        await upstream.start_again()
        with pytest.raises(ResponseLostError):
            await read(conn)


async def test_answer_of_the_run_that_is_still_there_is_whole(
    upstream: RebornUpstream, runs: Runs
) -> None:
    async with begin(upstream, runs) as conn:
        upstream.run.answers[0].write(event(2))
        upstream.run.answers[0].close()
        assert await read(conn) == event(1) + event(2)


# An entry that comes late must not make whole answers look lost.
async def test_answers_of_a_run_that_is_not_listed_yet_are_whole(
    upstream: RebornUpstream, runs: Runs
) -> None:
    await upstream.start_again()
    async with begin(upstream, runs) as conn:
        writer = upstream.run.answers[0]
        await asyncio.sleep(IN_FLIGHT_TIME + 0.2)
        writer.write(event(2))
        writer.close()
        assert await read(conn) == event(1) + event(2)


async def test_short_answer_of_a_run_that_is_not_listed_yet_is_whole(
    upstream: RebornUpstream, runs: Runs
) -> None:
    await upstream.start_again()
    async with begin(upstream, runs) as conn:
        upstream.run.answers[0].close()
        assert await read(conn) == event(1)


@pytest.mark.parametrize(
    ('evidence', 'is_whole'),
    [
        # The list is right, whatever the second connection shows.
        (
            Evidence(
                frozenset((OLD_RUN,)), OLD_RUN, NO_SIGHTING, SENT_AT, NEVER, 0
            ),
            True,
        ),
        # It is old, but the run has been seen before the request.
        (
            Evidence(
                frozenset((OLD_RUN, NEW_RUN)),
                NEW_RUN,
                NO_SIGHTING,
                SENT_AT,
                NEVER,
                0,
            ),
            True,
        ),
        # Bytes came well after a connection to the run that is there now.
        (
            Evidence(
                frozenset((OLD_RUN,)),
                NEW_RUN,
                Sighting(True, NEW_RUN),
                SENT_AT,
                LATE,
                LATE + IN_FLIGHT_TIME,
            ),
            True,
        ),
        # Bytes that had left before it arrive just after it.
        (
            Evidence(
                frozenset((OLD_RUN,)),
                NEW_RUN,
                Sighting(True, NEW_RUN),
                SENT_AT,
                LATE,
                LATE + IN_FLIGHT_TIME / 2,
            ),
            False,
        ),
        # The run behind the second connection has ended.
        (
            Evidence(
                frozenset((OLD_RUN,)),
                NEW_RUN,
                NO_SIGHTING,
                SENT_AT,
                SENT_AT,
                LATE,
            ),
            False,
        ),
        # Nothing is there any more.
        (
            Evidence(
                frozenset((OLD_RUN,)), None, NO_SIGHTING, SENT_AT, SENT_AT, LATE
            ),
            False,
        ),
    ],
)
def test_evidence(evidence: Evidence, *, is_whole: bool) -> None:
    assert evidence.is_whole == is_whole
