"""Streams are taken up at an entry that is cut off from the store.

Nine entries in three zones. The servers of a service have one software version,
and a server of a new one joins them. Clients of a zone begin streams at one of
its entries; those whose first event comes from the new version lose their
channel, and are taken up at another entry of the zone. Two entries of the zone,
that one among them, can't reach the store; they reach all others.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.common2 import stage

HOST = 'labels.example'
SERVICE = 'models'
PLACES = {'a': 'north', 'b': 'north', 'c': 'south'}
IN_ZONE = 3  # entries
CUT_OFF = ('edge-b-2', 'edge-b-3')
FIRST = 'edge-b-1'  # where streams begin
SECOND = 'edge-b-3'  # where they are taken up
OLD = 2  # servers of the old version
ROUNDS = 4
STREAMS = 18
EVENTS = 60
PAUSE = 0.05  # seconds between two events
KNOWN_TIME = 14.0  # seconds in which a service has one version
CUT_BEFORE = 0.5  # seconds from the cut to the new server
CUT_AFTER = 1.0  # seconds from the new server to the end of the cut
BEGIN_AFTER = 0.1  # seconds from the new server's entry
READ = 1  # events until the channel is lost
MAX_JOINED = 2  # streams
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROUTE = {
    'name': 'labels',
    'hostname': HOST,
    'path-prefix': '/labels/',
    'route-kind': 'streaming',
    'timeout-ms': 5000,
    'latency-target-ms': 300,
    'gap-target-ms': 250,
    'priority': 0,
    'service': SERVICE,
    'max-attempts': 2,
    'resumable': True,
}


class Play:
    """The rounds of this case."""

    def __init__(self, folder: Path) -> None:
        """Prepare nine entries."""
        self.stage = stage.Stage(folder, HERE / 'record.txt', PLACES)
        for zone in PLACES:
            self.stage.add_entries(zone, IN_ZONE)
        self._proxies = {}
        for name in CUT_OFF:
            self.stage.store_ports[name] = self.stage.port()
            self._proxies[name] = stage.Proxy(self.stage.store)
        self.broken: list[str] = []

    async def start(self) -> None:
        """Start all processes."""
        port = self.stage.store
        await self.stage.run('store', 'review.common2.store', str(port))
        await stage.until(lambda: stage.listens(stage.LOCAL, port))
        for name, proxy in self._proxies.items():
            await proxy.start(self.stage.store_ports[name])
        for number in range(OLD):
            await self._add_server(f'old-{number}', 'v1')
        await self.stage.configure(3, [ROUTE])
        await self.stage.start_entries()

    async def play_round(self, number: int) -> None:
        """Add a server of a new version while a zone is cut off."""
        await asyncio.sleep(KNOWN_TIME)
        if TROUBLE:
            self.stage.note(f'cut off from the store: {", ".join(CUT_OFF)}')
            for proxy in self._proxies.values():
                proxy.reset()
        await asyncio.sleep(CUT_BEFORE)
        name = f'new-{number}'
        await self._add_server(name, f'v{number + 2}')
        await asyncio.sleep(BEGIN_AFTER)
        found = await asyncio.gather(
            *(self._stream(f's{number}-{index}') for index in range(STREAMS))
        )
        joined = [text for text in found if text]
        if len(joined) > MAX_JOINED:
            self.broken += joined
        await asyncio.sleep(CUT_AFTER)
        for proxy in self._proxies.values():
            proxy.heal()
        self.stage.note('all reach the store')
        path = f'/gentiantrestle/objects/servers/{name}'
        await stage.call(stage.LOCAL, self.stage.store, 'DELETE', path, {})
        await self.stage.kill(name)

    async def _add_server(self, name: str, version: str) -> None:
        """Start a server, which writes its entry."""
        port = self.stage.port()
        born = int(time.time() * 1000)
        await self.stage.run(
            name, 'review.common2.server', str(port), name, str(born), version
        )
        await stage.until(lambda: stage.listens(stage.LOCAL, port))
        spec = {
            'service': SERVICE,
            'address': f'{stage.LOCAL}:{port}',
            'zone': 'a',
            'version': version,
            'slots': 8,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': 1,
            'born': born,
        }
        await self.stage.write('servers', name, spec)
        self.stage.note(f'server {name} of version {version} has started')

    async def _stream(self, attempt: str) -> str:
        """Begin a stream, and take it up; describe it if it is joined."""
        began = time.time()
        events = await self._read(FIRST, attempt, {}, READ)
        if not events or events[0].endswith(' v1'):
            self.stage.note(f'{attempt}: {events[:1]}, not taken up')
            return ''
        again = {'Resumes': attempt, 'Last-Event-Id': str(len(events))}
        rest = await self._read(SECOND, f'{attempt}-again', again, EVENTS)
        versions = sorted({text.split()[-1] for text in [*events, *rest]})
        self.stage.note(
            f'{attempt}: {len(events)} and {len(rest)} events, of {versions},'
            f' {time.time() - began:.2f} s'
        )
        if len(versions) < 2:
            return ''
        return f'{attempt} holds events of {", ".join(versions)}'

    async def _read(
        self, entry: str, attempt: str, added: dict[str, str], count: int
    ) -> list[str]:
        """Return the data of the first events; the channel is then lost."""
        reader, writer = await asyncio.open_connection(
            self.stage.ips[entry], self.stage.front
        )
        body = json.dumps({'events': EVENTS, 'pause': PAUSE}).encode()
        fields = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': '5000',
            'Content-Length': str(len(body)),
            **added,
        }
        lines = ''.join(f'{key}: {text}\r\n' for key, text in fields.items())
        writer.write(f'POST /labels/x HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        found: list[str] = []
        try:
            async with asyncio.timeout(5):
                while len(found) < count:
                    line = await reader.readline()
                    if line.startswith(b'data: '):
                        found.append(line.decode().strip()[6:])
                    elif not line or line == b'0\r\n':
                        break
                    elif line.startswith(b'HTTP/1.1') and b' 200 ' not in line:
                        self.stage.note(f'{attempt}: {line.decode().strip()}')
                        break
        except (OSError, TimeoutError):
            self.stage.note(f'{attempt}: cut')
        writer.transport.abort()
        return found


async def play() -> int:
    """Play all rounds; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        case = Play(Path(folder))
        try:
            await case.start()
            for number in range(ROUNDS):
                await case.play_round(number)
        finally:
            await case.stage.stop()
    return stage.conclude(case.broken)


if __name__ == '__main__':
    stage.main(play)
