"""Write log records as JSON lines to a pipe, without blocking."""

import asyncio
import os
from collections import deque
from typing import Any

import msgspec

from gentiantrestle import events

# Holds a few seconds of the log of an entry instance under load; when the
# reader falls further behind, lines are dropped.
MAX_BUFFER_BYTES = 1048576
BATCH_BYTES = 65536  # lines are joined into writes of about this size


class JsonLineSink:
    """Log sink with a bounded buffer in front of a file descriptor.

    Lines that don't fit are dropped and counted in ``dropped``; once the
    buffer is written out, an event reports the count.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor`` and make it non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._unwritten = b''
        self._is_waiting = False
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Buffer a record and try to write; drop it if the buffer is full."""
        line = encode_record(message.record)
        if self._size + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if not self._is_waiting:
            self.flush()

    def flush(self) -> None:
        """Write what the pipe takes; go on when it is writable again."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._wait_until_writable()
                return
            self._unwritten = self._unwritten[written:]
        self._stop_waiting()
        if self.dropped:
            count = self.dropped
            self.dropped = 0
            events.emit(events.LINES_DROPPED, count=count)

    def _next_batch(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < BATCH_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        self._size -= size
        return b''.join(lines)

    def _wait_until_writable(self) -> None:
        if self._is_waiting:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.add_writer(self._descriptor, self.flush)
        self._is_waiting = True

    def _stop_waiting(self) -> None:
        if self._is_waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_waiting = False


def encode_record(record: dict[str, Any]) -> bytes:
    """Encode a record as a JSON line: time, level, message, fields."""
    line = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    return msgspec.json.Encoder(enc_hook=str).encode_lines([line])
