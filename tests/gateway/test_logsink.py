"""Tests of the log sink when nothing reads its pipe."""

import asyncio
import os
from datetime import UTC, datetime
from typing import Any

import msgspec

from gentiantrestle.logsink import MAX_BUFFER_BYTES, JsonLineSink

LINE = 'x' * 1000
LINES = 3 * MAX_BUFFER_BYTES // len(LINE)


class _Level:
    name = 'INFO'


class _Message:
    def __init__(self, text: str) -> None:
        self.record: dict[str, Any] = {
            'time': datetime.now(UTC),
            'level': _Level,
            'message': text,
            'extra': {'request': 'r1'},
        }


async def test_sink_drops_lines_instead_of_blocking_on_full_pipe() -> None:
    reader, writer = os.pipe()
    sink = JsonLineSink(writer)
    for _ in range(LINES):
        sink(_Message(LINE))
    assert sink.dropped > 0
    os.set_blocking(reader, False)
    raw = bytearray()
    while sink.dropped:
        raw += _read(reader)
        await asyncio.sleep(0)
    raw += _read(reader)
    first = msgspec.json.decode(raw.splitlines()[0])
    assert (first['message'], first['request']) == (LINE, 'r1')
    asyncio.get_running_loop().remove_writer(writer)
    os.close(reader)
    os.close(writer)


def _read(reader: int) -> bytes:
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b''
