"""Convert members to and from thrift, and frame thrift envelopes."""

import asyncio
import struct
from collections.abc import AsyncIterator, Callable

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from gentiantrestle.daemon.membership.view import Load, Member, State
from gentiantrestle.wire.peer import ttypes

LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = 67108864
DECODE_ERRORS = (
    TProtocolException,
    TTransportException,
    EOFError,
    ValueError,
    LookupError,
    TypeError,
    OverflowError,
    struct.error,
)


class BadFrameError(Exception):
    """A received frame is too large or not a valid envelope."""


def encode(envelope: ttypes.Envelope) -> bytes:
    """Encode an envelope as one frame with a length prefix."""
    transport = TMemoryBuffer()
    envelope.write(TCompactProtocolAccelerated(transport, fallback=True))
    payload = transport.getvalue()
    return LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> ttypes.Envelope:
    """Decode a frame's payload; raise ``BadFrameError`` if it is invalid."""
    envelope = ttypes.Envelope()
    try:
        envelope.read(
            TCompactProtocolAccelerated(TMemoryBuffer(payload), fallback=True),
        )
        envelope.validate()
    except DECODE_ERRORS as exc:
        raise BadFrameError(repr(exc)) from exc
    return envelope


async def read_frame(
    reader: asyncio.StreamReader,
    on_part: Callable[[int], None] | None = None,
) -> ttypes.Envelope:
    """Read one framed envelope from a stream.

    ``on_part`` is called with the size of each part of a frame that arrives
    in several.

    Raises ``BadFrameError`` for a frame that is too large or invalid, and
    ``asyncio.IncompleteReadError`` at the end of the stream.
    """
    header = await reader.readexactly(LENGTH.size)
    size = LENGTH.unpack(header)[0]
    if size > MAX_FRAME_BYTES:
        raise BadFrameError(f'oversized frame of {size} bytes')
    parts = []
    async for part in _read_parts(reader, size):
        parts.append(part)
        if on_part is not None and len(part) < size:
            on_part(len(part))
    return decode(b''.join(parts))


async def _read_parts(
    reader: asyncio.StreamReader, size: int
) -> AsyncIterator[bytes]:
    """Yield the next ``size`` bytes of a stream as they arrive."""
    left = size
    while left:
        part = await reader.read(left)
        if not part:
            raise asyncio.IncompleteReadError(b'', left)
        left -= len(part)
        yield part


def member_to_wire(member: Member) -> ttypes.Member:
    """Convert a member to its thrift structure."""
    fields = member._asdict()
    fields['loads'] = [ttypes.Load(*load) for load in member.loads]
    return ttypes.Member(**fields)


def member_from_wire(wire: ttypes.Member) -> Member:
    """Convert a thrift structure to a member."""
    fields = {name: getattr(wire, name) for name in Member._fields}
    fields['state'] = State(wire.state)
    fields['loads'] = tuple(
        Load(load.upstream, load.online, load.batch) for load in wire.loads
    )
    return Member(**fields)
