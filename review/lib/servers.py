"""Stand-in for a model server, after PROTOCOL.md.

It works on ``slots`` requests at once, queues a few more, and drops a request
when its channel closes. The body of a request says what is answered:
``events`` events of ``size`` bytes, ``gap`` seconds apart; with ``tag`` each
event names the software version of the server that made it.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from review.lib.http11 import (
    Request,
    encode_head,
    encode_json,
    read_request,
)
from review.lib.store import Store

HEARTBEAT = 1.2  # seconds


def event_text(request_id: str, number: int, size: int) -> str:
    """Return the data of one event of a request's answer."""
    text = f'{request_id}:{number};'
    return (text * (size // len(text) + 1))[: max(size, len(text))]


def whole_output(request_id: str, work: dict[str, Any]) -> str:
    """Return the output of a completed item."""
    return '\n'.join(
        event_text(request_id, number, work['size'])
        for number in range(1, work['events'] + 1)
    )


class ModelServer:
    """One server; its entry lies in the store while it runs."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        queue: int,
        note: Callable[..., None],
        version: str = 'v1',
    ) -> None:
        self.name = name
        self._service = service
        self._zone = zone
        self._slots = slots
        self._queue = queue
        self._note = note
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._address = ''
        self._version = version
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Ids of requests whose answer was complete.
        self.finished: list[str] = []
        self.started: list[str] = []
        # When it last had a request, by name; monotonic times in s.
        self.had_at: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Count the requests that it works on."""
        return self._running

    async def start(self, host: str, store: Store, port: int = 0) -> None:
        """Listen, and register in the store from now on."""
        self._listener = await asyncio.start_server(
            self._serve, host, port, limit=2**23
        )
        found, port = self._listener.sockets[0].getsockname()[:2]
        self._address = f'{found}:{port}'
        loop = asyncio.get_running_loop()
        self._beating = loop.create_task(self._beat(store))

    async def start_again(
        self, store: Store, down_for: float, version: str
    ) -> None:
        """Crash, and start again under the id and address, as another version.

        Its entry in the store says so before the first channel is accepted.
        """
        host, _, port = self._address.rpartition(':')
        self._beating.cancel()
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._note('crash', server=self.name, version=self._version)
        await asyncio.sleep(down_for)
        self._version = version
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._register(store)
        await self.start(host, store, int(port))
        self._note('started', server=self.name, version=version)

    async def _beat(self, store: Store) -> None:
        while True:
            self._register(store)
            await asyncio.sleep(HEARTBEAT)

    def _register(self, store: Store) -> None:
        self._sequence += 1
        store.write(
            'servers',
            self.name,
            {
                'service': self._service,
                'address': self._address,
                'zone': self._zone,
                'version': self._version,
                'slots': self._slots,
                'state': 'ready',
                'cold-left-ms': 0,
                'born': self._born,
                'sequence': self._sequence,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                if not await self._answer(req, reader, writer):
                    return
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        req: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the channel goes on."""
        request_id = req.headers.get('x-attempt-id', '')
        if req.path == '/healthz':
            writer.write(
                encode_head(
                    200, {'X-Instance-Id': self.name, 'Content-Length': '0'}
                )
            )
            return True
        if not request_id:
            return self._reject(writer, 400, request_id)
        if req.headers.get('x-expect-instance', self.name) != self.name:
            return self._reject(writer, 421, request_id)
        if self._free.locked() and self._waiting >= self._queue:
            return self._reject(writer, 503, request_id)
        work = asyncio.create_task(self._work(req, request_id, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self._note('dropped', server=self.name, id=request_id)
        closed.cancel()
        await asyncio.wait((work, closed))
        return False

    def _reject(
        self, writer: asyncio.StreamWriter, status: int, request_id: str
    ) -> bool:
        headers = {
            'X-Attempt-Id': request_id,
            'X-Instance-Id': self.name,
            'Content-Length': '0',
        }
        if status != 421:
            headers['X-Not-Executed'] = '1'
        writer.write(encode_head(status, headers))
        return True

    async def _work(
        self, req: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._stream(req, request_id, writer)
        finally:
            self.had_at[request_id] = time.monotonic()
            self._running -= 1
            self._free.release()

    async def _stream(
        self, req: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        work = json.loads(req.body)
        last = int(req.headers.get('last-event-id', '0'))
        self.started.append(request_id)
        self.had_at[request_id] = float('inf')
        self._note(
            'run',
            server=self.name,
            version=self._version,
            id=request_id,
            after=last,
        )
        headers = {
            'X-Attempt-Id': request_id,
            'X-Server-Stamp': f'{self.name}.{request_id}',
            'X-Weight-Versions': '1',
        }
        if 'events' not in work:
            writer.write(
                encode_json(200, work).replace(
                    b'\r\n',
                    b'\r\n'
                    + b''.join(
                        f'{name}: {text}\r\n'.encode()
                        for name, text in headers.items()
                    ),
                    1,
                )
            )
            return
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        writer.write(encode_head(200, headers))
        loop = asyncio.get_running_loop()
        due = loop.time()
        for number in range(last + 1, work['events'] + 1):
            due += work['gap']
            await asyncio.sleep(max(0, due - loop.time()))
            text = event_text(request_id, number, work['size'])
            if 'tag' in work:
                text = f'{self._version} {text}'
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.finished.append(request_id)
        self._note('finished', server=self.name, id=request_id)
