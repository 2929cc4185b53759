"""Framing and calls of the protocol between instances."""

import asyncio

import pytest

from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    BadFrameError,
    decode,
    encode,
    member_from_wire,
    member_to_wire,
)
from gentiantrestle.daemon.membership.peers import (
    PeerClient,
    PeerError,
    PeerServer,
)
from gentiantrestle.daemon.membership.view import Load, Member, State
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import (
    ChangesRequest,
    Envelope,
    Heartbeat,
)
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports

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
    [b'', b'\x00', b'no thrift at all', b'\xff' * 64],
)
def test_invalid_payload_raises_bad_frame_error(payload: bytes) -> None:
    with pytest.raises(BadFrameError):
        decode(payload)


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
