"""A model server as the users' pages describe it, of this review.

``python3 -m review.common2.server PORT ID BORN [VERSION]`` serves streams of
events, which name its software version if it is given. Its answers have no
length and end with their channel, which the pages allow.
"""

import asyncio
import json
import sys
import time

SLOTS = 8
OK = '200 OK'
FULL = '503 Service Unavailable'
MISDIRECTED = '421 Misdirected Request'


class Server:
    """Serves requests and prints each run."""

    def __init__(self, name: str, born: int, version: str = '') -> None:
        """Be the server ``name`` since ``born``."""
        self._name = name
        self._version = version
        self._born = born
        self._running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the channel."""
        try:
            await self._answer(reader, writer)
        except (OSError, EOFError, ValueError):
            writer.transport.abort()
            return
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        fields = {}
        for line in lines:
            name, _, text = line.partition(':')
            fields[name.lower()] = text.strip()
        path = first.split()[1]
        body = await reader.readexactly(int(fields.get('content-length', '0')))
        if path == '/gentiantrestle/report':
            self._send(writer, OK, json.dumps(self._report()).encode())
        elif path == '/healthz':
            self._send(writer, OK, b'', **{'X-Instance-Id': self._name})
        else:
            await self._run(writer, fields, json.loads(body))

    async def _run(
        self, writer: asyncio.StreamWriter, fields: dict[str, str], wanted: dict
    ) -> None:
        echo = {'X-Attempt-Id': fields['x-attempt-id']}
        if fields.get('x-expect-instance', self._name) != self._name:
            self._send(writer, MISDIRECTED, b'', **echo)
        elif self._running >= SLOTS:
            self._send(writer, FULL, b'', **echo, **{'X-Not-Executed': '1'})
        else:
            self._running += 1
            try:
                await self._stream(writer, fields, wanted)
            finally:
                self._running -= 1

    async def _stream(
        self, writer: asyncio.StreamWriter, fields: dict[str, str], wanted: dict
    ) -> None:
        attempt = fields['x-attempt-id']
        last = int(fields.get('last-event-id', '0'))
        run = {'at': time.time(), 'id': attempt, 'after': last}
        print(json.dumps(run), flush=True)
        head = {
            'Content-Type': 'text/event-stream',
            'X-Attempt-Id': attempt,
            'X-Server-Stamp': f'{self._name}.{self._born}',
            'Connection': 'close',
        }
        writer.write(_head(OK, head))
        for number in range(last + 1, wanted['events'] + 1):
            await asyncio.sleep(wanted['pause'])
            writer.write(event(attempt, number, self._version))
            await writer.drain()

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        body: bytes,
        **fields: str,
    ) -> None:
        length = {'Content-Length': str(len(body)), 'Connection': 'close'}
        writer.write(_head(status, {**fields, **length}) + body)

    def _report(self) -> dict:
        return {
            'born': self._born,
            'phase': 'dual',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 1,
            'waiting': 0,
            'running': self._running,
            'kv-used': 0,
            'kv-total': 90000,
            'handles': 0,
        }


def text_of(attempt: str, number: int, version: str = '') -> str:
    """Return the data of an event."""
    return f'{attempt} {number} {version}'.rstrip()


def event(attempt: str, number: int, version: str = '') -> bytes:
    """Return the bytes of an event."""
    text = text_of(attempt, number, version)
    return f'id: {number}\ndata: {text}\n\n'.encode()


def _head(status: str, fields: dict[str, str]) -> bytes:
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    return f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode()


async def main() -> None:
    """Serve until the process is ended."""
    port, name, born, *version = sys.argv[1:]
    server = Server(name, int(born), *version)
    listening = await asyncio.start_server(server.serve, '127.0.0.1', int(port))
    await listening.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
