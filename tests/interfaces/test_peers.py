"""Framing and calls of the protocol between instances."""

import asyncio
from contextlib import nullcontext, suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    BadFrameError,
    decode,
    encode,
    member_from_wire,
    member_to_wire,
    read_frame,
)
from gentiantrestle.daemon.membership.peers import (
    MAX_CALLS,
    PeerClient,
    PeerError,
    PeerServer,
)
from gentiantrestle.daemon.membership.sources import PATIENCE
from gentiantrestle.daemon.membership.view import Load, Member, State
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import (
    ChangesRequest,
    Envelope,
    Heartbeat,
)
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports
from tests.utils.silence import drop_packets

WAIT = 0.8  # seconds
LONGER = 3.0  # seconds
# Nothing is required of an instance for so long after connections fell silent.
CONTACT_TIME = 4.0  # seconds
MEMBER = Member(
    'i0',
    7,
    3,
    'a1',
    'a',
    HOST,
    1,
    2,
    State.SERVING,
    4,
    5,
    (Load('e0', 1, 2),),
)


async def _echo(envelope: Envelope) -> Envelope:
    if envelope.changes_request.after < 0:
        await asyncio.Event().wait()
    return Envelope(changes_request=envelope.changes_request)


def _ask(after: int) -> Envelope:
    return Envelope(changes_request=ChangesRequest(after=after))


async def _serve() -> tuple[asyncio.Task[None], Address]:
    address = Address(HOST, free_ports(1)[0])
    task = asyncio.create_task(PeerServer(_echo).run(address))
    await until(lambda: _is_open(address))
    return task, address


async def _is_open(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


def test_member_is_unchanged_by_encoding_and_decoding() -> None:
    heartbeat = Heartbeat(members=[member_to_wire(MEMBER)])
    frame = encode(Envelope(call=9, heartbeat=heartbeat))
    envelope = decode(frame[LENGTH.size :])
    assert envelope.call == 9
    assert member_from_wire(envelope.heartbeat.members[0]) == MEMBER


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'\x00',
        b'no thrift at all',
        b'\xff' * 64,
        # A number of more bytes than its type has, and a negative length.
        b'\x16\x02\xcc\x16\x86(u\xe7\xb2\x99\x89\xf7\x8f*\x02\x16\x04\x00\x00',
        b'\x16\x02\xdc\x16\x02\x16\x029\x1c\x18\xe3\xc5\xba\xf3\x7fx\x00',
        b'\x1c' * 100000,
    ],
)
def test_invalid_payload_raises_bad_frame_error(payload: bytes) -> None:
    with pytest.raises(BadFrameError):
        decode(payload)


@given(st.binary(), st.integers(0, 40), st.binary(max_size=3))
def test_any_bytes_decode_or_raise_bad_frame_error(
    payload: bytes, position: int, changed: bytes
) -> None:
    whole = encode(
        Envelope(heartbeat=Heartbeat(members=[member_to_wire(MEMBER)]))
    )[LENGTH.size :]
    end = position + len(changed)
    for raw in (payload, whole[:position] + changed + whole[end:]):
        with suppress(BadFrameError):
            decode(raw)


async def test_call_that_fails_closes_its_connection_only() -> None:
    async def fail(envelope: Envelope) -> Envelope:
        raise ZeroDivisionError

    address = Address(HOST, free_ports(1)[0])
    task = asyncio.create_task(PeerServer(fail).run(address))
    await until(lambda: _is_open(address))
    client = PeerClient()
    for _ in range(2):
        with pytest.raises(PeerError):
            await client.call(address, Envelope())
    assert not task.done()
    client.close()
    task.cancel()


async def test_repeated_answer_is_not_taken_for_that_of_the_next_call() -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = encode(await read_frame(reader))
        writer.write(first + first)
        await read_frame(reader)
        writer.write(first)
        writer.close()

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(answer, *address)
    client = PeerClient()
    for after, expected in ((1, None), (2, PeerError)):
        envelope = Envelope(changes_request=ChangesRequest(after=after))
        with pytest.raises(expected) if expected else nullcontext():
            await client.call(address, envelope)
    client.close()
    server.close()


async def test_answers_are_matched_to_their_calls() -> None:
    task, address = await _serve()
    client = PeerClient()
    answers = await asyncio.gather(
        *(
            client.call(
                address,
                Envelope(changes_request=ChangesRequest(after=after)),
            )
            for after in range(50)
        )
    )
    assert [answer.changes_request.after for answer in answers] == list(
        range(50)
    )
    client.close()
    task.cancel()


@pytest.mark.parametrize('waiting', [1, 3])
async def test_call_is_answered_while_others_on_its_connection_wait(
    waiting: int,
) -> None:
    task, address = await _serve()
    client = PeerClient()
    unanswered = [
        asyncio.create_task(client.call(address, _ask(-1), timeout=WAIT))
        for _ in range(waiting)
    ]
    await asyncio.sleep(WAIT / 4)
    answer = await client.call(address, _ask(1), timeout=WAIT / 4)
    assert answer.changes_request.after == 1
    for call in unanswered:
        with pytest.raises(PeerError):
            await call
    client.close()
    task.cancel()


async def test_late_answer_ends_no_other_call_on_its_connection() -> None:
    release = asyncio.Event()

    async def answer(envelope: Envelope) -> Envelope:
        if envelope.changes_request.after < 0:
            await asyncio.Event().wait()
        if envelope.changes_request.after > 1:
            await release.wait()
        return Envelope(changes_request=envelope.changes_request)

    address = Address(HOST, free_ports(1)[0])
    task = asyncio.create_task(PeerServer(answer).run(address))
    await until(lambda: _is_open(address))
    client = PeerClient()
    late = asyncio.create_task(client.call(address, _ask(-1), timeout=WAIT / 4))
    other = asyncio.create_task(client.call(address, _ask(2), timeout=LONGER))
    await asyncio.sleep(WAIT / 8)
    await client.call(address, _ask(1))
    with pytest.raises(PeerError):
        await late
    release.set()
    assert (await other).changes_request.after == 2
    client.close()
    task.cancel()


async def test_no_more_calls_of_a_connection_are_read_than_are_answered() -> (
    None
):
    started: list[Envelope] = []

    async def never(envelope: Envelope) -> Envelope:
        started.append(envelope)
        return await asyncio.Event().wait()

    address = Address(HOST, free_ports(1)[0])
    task = asyncio.create_task(PeerServer(never).run(address))
    await until(lambda: _is_open(address))
    _, writer = await asyncio.open_connection(*address)
    call = Envelope(call=1, changes_request=ChangesRequest(after=1))
    writer.write(encode(call) * MAX_CALLS * 2)
    await asyncio.sleep(WAIT)
    assert len(started) == MAX_CALLS
    writer.close()
    task.cancel()


async def test_call_is_answered_at_once_after_its_connection_fell_silent() -> (
    None
):
    accepted: list[asyncio.StreamWriter] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(writer)
        with suppress(EOFError, ConnectionError):
            while True:
                writer.write(encode(await read_frame(reader)))

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(answer, *address)
    client = PeerClient()
    await client.call(address, _ask(1))
    drop_packets(accepted[0].get_extra_info('socket'))
    await asyncio.sleep(CONTACT_TIME)
    await client.call(address, _ask(2), timeout=PATIENCE)
    assert len(accepted) == 2
    client.close()
    server.close()


async def test_silent_caller_takes_no_connection_for_good() -> None:
    task, address = await _serve()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(encode(Envelope(call=1, changes_request=ChangesRequest(1))))
    await read_frame(reader)
    drop_packets(writer.get_extra_info('socket'))
    await asyncio.sleep(CONTACT_TIME)
    left = [
        waiting
        for waiting in asyncio.all_tasks()
        if 'PeerServer._accept' in repr(waiting)
    ]
    assert not left
    writer.transport.abort()
    task.cancel()


async def test_timeout_and_refused_connection_raise_peer_error() -> None:
    task, address = await _serve()
    client = PeerClient()
    unanswered_request = Envelope(changes_request=ChangesRequest(after=-1))
    with pytest.raises(PeerError):
        await client.call(address, unanswered_request, timeout=0.1)
    answered_request = Envelope(changes_request=ChangesRequest(after=1))
    assert (
        await client.call(address, answered_request)
    ).changes_request.after == 1
    task.cancel()
    closed_address = Address(HOST, free_ports(1)[0])
    with pytest.raises(PeerError):
        await client.call(closed_address, answered_request)
    client.close()


@pytest.mark.parametrize(
    'sent',
    [LENGTH.pack(2**31), LENGTH.pack(4) + b'\xff' * 4, b'GET / HTTP/1.1\r\n'],
)
async def test_invalid_frame_closes_the_connection(sent: bytes) -> None:
    task, address = await _serve()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(sent)
    assert await reader.read() == b''
    writer.close()
    task.cancel()


async def test_calls_to_an_instance_that_accepts_none_fail_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def hang(*address: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(asyncio, 'open_connection', hang)
    client = PeerClient()
    calls = [client.call(Address(HOST, 9), _ask(1), WAIT / 4) for _ in range(6)]
    async with asyncio.timeout(WAIT):
        failures = await asyncio.gather(*calls, return_exceptions=True)
    assert {type(failure) for failure in failures} == {PeerError}
