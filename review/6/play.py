"""A server is cut off, crashes behind the cut and starts again.

Four entries, five servers, a batch job and streams that may not be resumed. The
answers of the servers have no length and end with their channel. One server is
behind a proxy, which holds everything back for two seconds; meanwhile the
server's process is killed and started again.
"""

import asyncio
import base64
import json
import os
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.common2 import stage
from review.common2.server import event, text_of

HOST = 'lists.example'
SERVICE = 'models'
SERVERS = 5
ROUNDS = 3
STREAMS = 12
ITEMS = 20
EVENTS = 60
PAUSE = 0.05  # seconds between two events
CUT_TIME = 1.8  # seconds
CRASH_AFTER = 0.3  # seconds from the cut
ENTRY = 'edge-a-1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def route(name: str, kind: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'hostname': HOST,
        'path-prefix': f'/{name}/',
        'route-kind': kind,
        'timeout-ms': 5000,
        'latency-target-ms': 300,
        'priority': 0,
        'service': SERVICE,
        'max-attempts': 1,
        'gap-target-ms': 250,
        **fields,
    }


ROUTES = [
    route('tips', 'streaming'),
    route(
        'lists',
        'batch',
        **{
            'timeout-ms': 15000,
            'max-attempts': 3,
            'priority': 2,
            'completion-target-ms': 18000,
            'retention-s': 60,
            'max-count': 2900000,
        },
    ),
]


class Play:
    """The rounds of this case."""

    def __init__(self, folder: Path) -> None:
        """Prepare four entries and five servers."""
        self.stage = stage.Stage(folder, HERE / 'record.txt', {'a': 'north'})
        self.stage.add_entries('a', 4)
        self._ports = [self.stage.port() for _ in range(SERVERS)]
        self._hidden = self.stage.port()
        self._proxy = stage.Proxy(self._hidden)
        self.broken: list[str] = []

    async def start(self) -> None:
        """Start all processes."""
        await self.stage.start_store()
        await self._proxy.start(self._ports[0])
        for number in range(SERVERS):
            await self._start_server(number)
            await self._register(number)
        await self.stage.configure(3, ROUTES)
        await self.stage.start_entries()

    async def play_round(self, number: int) -> None:
        """Send streams and a job, and cut off a server meanwhile."""
        job = f'job{number}-{os.getpid():x}'
        await self._submit(job)
        asking = [
            asyncio.create_task(self._stream(f'tip{number}-{index}'))
            for index in range(STREAMS)
        ]
        await asyncio.sleep(1)
        if TROUBLE:
            await self._cut_and_crash()
        for index, answer in enumerate(await asyncio.gather(*asking)):
            self._judge_stream(f'tip{number}-{index}', answer)
        await self._judge_job(job)

    async def _cut_and_crash(self) -> None:
        note = self.stage.note
        note('server s-0 is cut off')
        self._proxy.cut()
        began = time.monotonic()
        await asyncio.sleep(CRASH_AFTER)
        await self.stage.kill('s-0')
        note('server s-0 has crashed')
        await self._start_server(0)
        note('server s-0 has started again')
        await asyncio.sleep(max(0, began + CUT_TIME - time.monotonic()))
        self._proxy.heal()
        note('server s-0 is reached again')
        await self._register(0)

    async def _start_server(self, number: int) -> None:
        port = self._ports[number] if number else self._hidden
        self._born = int(time.time() * 1000)
        await self.stage.run(
            f's-{number}',
            'review.common2.server',
            str(port),
            f's-{number}',
            str(self._born),
        )
        await stage.until(lambda: stage.listens(stage.LOCAL, port))

    async def _register(self, number: int) -> None:
        """Write a server's entry, as the server does."""
        spec = {
            'service': SERVICE,
            'address': f'{stage.LOCAL}:{self._ports[number]}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': 1,
            'born': self._born,
        }
        await self.stage.write('servers', f's-{number}', spec)

    def _fields(self, attempt: str) -> dict[str, str]:
        return {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': '5000',
        }

    async def _submit(self, job: str) -> None:
        body = base64.b64encode(_wanted()).decode()
        items = [
            {
                'id': f'{job}-{index}',
                'path': '/lists/x',
                'headers': {},
                'body': body,
                'token-count': 940,
            }
            for index in range(ITEMS)
        ]
        status, _ = await self.stage.ask(
            ENTRY,
            'POST',
            '/lists/j',
            self._fields(job),
            json.dumps({'items': items}).encode(),
        )
        self.stage.note(f'job {job} is answered {status}')
        if status != 202:
            raise stage.CannotRunError(f'a job is answered {status}')

    async def _stream(self, attempt: str) -> tuple[int, bytes] | None:
        try:
            return await self.stage.ask(
                ENTRY, 'POST', '/tips/x', self._fields(attempt), _wanted()
            )
        except (OSError, TimeoutError):
            return None

    def _judge_stream(
        self, attempt: str, answer: tuple[int, bytes] | None
    ) -> None:
        if answer is None:
            self.stage.note(f'{attempt}: cut')
            return
        status, body = answer
        count = body.count(b'\n\n')
        self.stage.note(f'{attempt}: {status}, {count} events, complete')
        whole = b''.join(event(attempt, n + 1) for n in range(EVENTS))
        if status == 200 and body != whole:
            self.broken.append(
                f'{attempt}: the answer ends as complete after {count} events'
            )

    async def _judge_job(self, job: str) -> None:
        """Read the results, up to the end of the job."""
        found: list[dict] = []
        for _ in range(40):
            path = f'/gentiantrestle/lots/{job}?after={len(found)}'
            status, body = await self.stage.ask(
                ENTRY, 'GET', path, {'Host': HOST, 'X-Wait-Ms': '1000'}
            )
            if status == 200:
                found += json.loads(body)['results']
            if len(found) == ITEMS:
                break
            await asyncio.sleep(0.5)
        for row in found:
            lines = row['output'].split('\n')
            self.stage.note(f'{row["id"]}: {row["state"]}, {len(lines)} events')
            whole = [text_of(row['id'], n + 1) for n in range(EVENTS)]
            if row['state'] == 'completed' and lines != whole:
                self.broken.append(
                    f'{row["id"]}: completed with {len(lines)} events'
                )


def _wanted() -> bytes:
    return json.dumps({'events': EVENTS, 'pause': PAUSE}).encode()


async def play() -> int:
    """Play all rounds; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        case = Play(Path(folder))
        try:
            await case.start()
            await asyncio.sleep(4)
            for number in range(ROUNDS):
                await case.play_round(number)
        finally:
            await case.stage.stop()
    return stage.conclude(case.broken)


if __name__ == '__main__':
    stage.main(play)
