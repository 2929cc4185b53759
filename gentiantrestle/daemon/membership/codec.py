"""Turn members into thrift messages and back, and frame envelopes."""

import asyncio
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from gentiantrestle.daemon.membership.view import Load, Member, State
from gentiantrestle.wire.peer import ttypes

LENGTH = struct.Struct('>I')
MAX_FRAME = 67108864  # bytes
BROKEN = (
    TProtocolException,
    TTransportException,
    EOFError,
    ValueError,
    LookupError,
    TypeError,
    struct.error,
)


class BadFrameError(Exception):
    """What came is not an envelope."""


def encode(envelope: ttypes.Envelope) -> bytes:
    """Write an envelope as one frame."""
    transport = TMemoryBuffer()
    envelope.write(TCompactProtocolAccelerated(transport, fallback=True))
    payload = transport.getvalue()
    return LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> ttypes.Envelope:
    """Read an envelope; raise ``BadFrameError`` if it is none."""
    envelope = ttypes.Envelope()
    try:
        envelope.read(
            TCompactProtocolAccelerated(TMemoryBuffer(payload), fallback=True),
        )
        envelope.validate()
    except BROKEN as exc:
        raise BadFrameError(repr(exc)) from exc
    return envelope


async def read_frame(reader: asyncio.StreamReader) -> ttypes.Envelope:
    """Read one framed envelope from a stream."""
    head = await reader.readexactly(LENGTH.size)
    size = LENGTH.unpack(head)[0]
    if size > MAX_FRAME:
        raise BadFrameError(f'frame of {size} bytes')
    return decode(await reader.readexactly(size))


def member_to_wire(member: Member) -> ttypes.Member:
    """Copy a member into its message."""
    fields = member._asdict()
    fields['loads'] = [ttypes.Load(*load) for load in member.loads]
    return ttypes.Member(**fields)


def member_from_wire(told: ttypes.Member) -> Member:
    """Copy a member out of its message."""
    fields = {name: getattr(told, name) for name in Member._fields}
    fields['state'] = State(told.state)
    fields['loads'] = tuple(
        Load(load.upstream, load.online, load.batch) for load in told.loads
    )
    return Member(**fields)
