"""Answers of other instances that take long because the link is slow."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from gentiantrestle.daemon.membership import peers
from gentiantrestle.daemon.membership.codec import encode, read_frame
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import (
    Change,
    Changes,
    ChangesRequest,
    Envelope,
)
from tests.utils.ports import HOST, free_ports

SIZE = 400000  # bytes of the large answer
STEP = 0.1  # seconds between two parts of it
SLACK = 0.4  # seconds
BOUND = 1.6  # seconds


def _ask(after: int) -> Envelope:
    return Envelope(changes_request=ChangesRequest(after=after))


def _large(call: int) -> bytes:
    changes = Changes(1, True, [Change('conf/fleet', 1, b'x' * SIZE)])
    return encode(Envelope(call=call, changes=changes))


async def _trickle(
    writer: asyncio.StreamWriter, frame: bytes, parts: int, sent: int
) -> None:
    """Send the first ``sent`` of a frame's ``parts``."""
    size = -(-len(frame) // parts)
    for number in range(sent):
        writer.write(frame[number * size : (number + 1) * size])
        await asyncio.sleep(STEP)
        if writer.is_closing():
            return


@asynccontextmanager
async def _serving(parts: int, sent: int) -> AsyncIterator[Address]:
    """Answer calls one after the other, each 0 with ``sent`` of ``parts``."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(EOFError):
            while True:
                envelope = await read_frame(reader)
                if envelope.changes_request.after:
                    writer.write(encode(envelope))
                    continue
                await _trickle(writer, _large(envelope.call), parts, sent)

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(answer, *address)
    try:
        yield address
    finally:
        server.close()


async def _time_failure(address: Address) -> float:
    """Return after how many s a call for the large answer fails."""
    now = asyncio.get_running_loop().time
    began = now()
    client = peers.PeerClient()
    with pytest.raises(peers.PeerError):
        await client.call(address, _ask(0))
    client.close()
    return now() - began


async def test_answer_that_keeps_arriving_is_not_given_up() -> None:
    parts = round(2 * peers.CALL_TIMEOUT / STEP)
    client = peers.PeerClient()
    async with _serving(parts, parts) as address:
        answer = await client.call(address, _ask(0))
    assert len(answer.changes.changes[0].payload) == SIZE
    client.close()


async def test_small_answer_behind_a_large_one_is_not_given_up() -> None:
    parts = round(2 * peers.CALL_TIMEOUT / STEP)
    client = peers.PeerClient()
    async with _serving(parts, parts) as address:
        large, small = await asyncio.gather(
            client.call(address, _ask(0)), client.call(address, _ask(7))
        )
    assert small.changes_request.after == 7
    assert len(large.changes.changes[0].payload) == SIZE
    client.close()


async def test_answer_that_stops_arriving_is_given_up_soon() -> None:
    parts = 10
    async with _serving(parts, parts // 2) as address:
        took = await _time_failure(address)
    stopped = parts / 2 * STEP
    assert stopped + peers.CALL_TIMEOUT - 2 * STEP <= took
    assert took <= stopped + peers.CALL_TIMEOUT + SLACK


async def test_silent_instance_is_given_up_as_soon_as_ever() -> None:
    async with _serving(1, 0) as address:
        took = await _time_failure(address)
    assert peers.CALL_TIMEOUT <= took <= peers.CALL_TIMEOUT + SLACK


async def test_answer_that_trickles_for_ever_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peers, 'MAX_CALL_TIME', BOUND)
    async with _serving(1000, 1000) as address:
        took = await _time_failure(address)
    assert BOUND <= took <= BOUND + SLACK


async def test_whole_answers_of_others_do_not_prolong_a_silent_call() -> None:
    now = asyncio.get_running_loop().time
    client = peers.PeerClient()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(EOFError):
            while True:
                envelope = await read_frame(reader)
                if envelope.changes_request.after:
                    writer.write(encode(envelope))

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(answer, *address)
    began = now()
    silent = asyncio.create_task(client.call(address, _ask(0)))
    while not silent.done():
        await client.call(address, _ask(1))
        await asyncio.sleep(STEP)
    assert isinstance(silent.exception(), peers.PeerError)
    assert peers.CALL_TIMEOUT <= now() - began <= peers.CALL_TIMEOUT + SLACK
    client.close()
    server.close()


async def test_failure_tells_how_much_of_an_answer_had_arrived() -> None:
    client = peers.PeerClient()
    async with _serving(parts=10, sent=5) as address:
        with pytest.raises(peers.PeerError) as failure:
            await client.call(address, _ask(0))
    arrived = int(re.search(r'after (\d+) bytes', str(failure.value)).group(1))
    assert SIZE * 0.4 < arrived < SIZE * 0.6
    client.close()
