"""Writes log records as JSON lines to a pipe that may not be read."""

import asyncio
import os
from collections import deque
from typing import Any

import msgspec

from gentiantrestle import events

# What a reader may lag behind before lines are dropped: some seconds of a
# loaded entry's log.
MAX_BUFFER_BYTES = 1048576  # bytes
BATCH = 65536  # bytes in one write


class JsonLineSink:
    """A bounded buffer before a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._rest = b''
        self._waiting = False
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Take one record; drop it when the buffer is full."""
        line = encode_record(message.record)
        if self._size + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if not self._waiting:
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                self._wait()
                return
            self._rest = self._rest[written:]
        self._stop_waiting()
        if self.dropped:
            count = self.dropped
            self.dropped = 0
            events.emit(events.LINES_DROPPED, count=count)

    def _next_batch(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < BATCH:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        self._size -= size
        return b''.join(lines)

    def _wait(self) -> None:
        if self._waiting:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.add_writer(self._descriptor, self.flush)
        self._waiting = True

    def _stop_waiting(self) -> None:
        if self._waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._waiting = False


def encode_record(record: dict[str, Any]) -> bytes:
    """Write one record as a JSON line: time, level, message, fields."""
    line = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    return msgspec.json.Encoder(enc_hook=str).encode_lines([line])
