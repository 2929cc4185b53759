"""Callers of all kinds; they note what they see, and come back as told."""

import asyncio
import base64
import random
import time
from typing import Any

import msgspec

from gentiantrestle.http.client import (
    ClientConnection,
    ClientRequest,
    ConnectionLostError,
    NotSentError,
)
from tests.gateway.wire_samples import ROUTE_HOST, job_doc
from tests.soak.history import ACCEPTED, Asked, Ended, Page, Probe
from tests.soak.world import World

CONNECT_TIME = 1.0  # seconds
DEADLINE = 5.0  # seconds that callers allow
JOB_DEADLINE = 4.0  # seconds a hand-in may take
READ_TIME = 0.5  # seconds between reads of a job
KEEP_SHARE = 0.7  # of requests on a connection that was used before
POISON_SHARE = 0.1  # of items
END_SHARE = 0.15  # of jobs
MAX_EVENTS = 60
OK = 200
NOT_FOUND = 404
LOTS = '/gentiantrestle/lots/'
PATHS = {'chat': '/chat/1', 'once': '/once/1', 'get': '/get/1', 'pay': '/pay/1'}
STREAMS = frozenset(('chat', 'once'))


class Callers:
    """All callers of one play; ``rng`` decides what they do."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Send nothing yet."""
        self._world = world
        self._rng = rng
        self._seen = world.history
        self._kept: dict[int, list[ClientConnection]] = {}
        self._count = 0
        self.stopping = False

    async def online(self) -> None:
        """Send one request after the other, of all kinds."""
        while not self.stopping:
            kind = self._rng.choice(tuple(PATHS))
            count = 0
            body: Any = {}
            if kind in STREAMS:
                count = self._rng.randint(1, MAX_EVENTS)
                body = {'events': count}
            entry = self._entry()
            await self._ask(
                kind, self._name(kind), entry, PATHS[kind], body, count
            )
            await asyncio.sleep(self._rng.random() * 0.1)

    async def jobs(self) -> None:
        """Hand in a job, read it to its end or end it, and go on."""
        while not self.stopping:
            name = self._name('job')
            await self._hand_in(name)
            if name in self._seen.accepted():
                await self._follow(name)

    async def probes(self) -> None:
        """Ask every entry for the newest routes all the time."""
        while not self.stopping:
            for entry, _ in enumerate(self._world.hosts):
                version = max(1, self._world.version - self._rng.randint(0, 1))
                await self._probe(entry, version)
            await asyncio.sleep(0.1)

    async def read_all(self, job_name: str) -> bool:
        """Read a job from the start at some entry; tell whether it is whole."""
        total = len(self._seen.items[job_name])
        position = 0
        while position < total:
            page = await self._read(job_name, position)
            if page is None or not page.rows:
                return False
            position += len(page.rows)
        return True

    def _name(self, kind: str) -> str:
        self._count += 1
        return f'{kind}{self._count}'

    def _entry(self) -> int:
        return self._rng.randrange(len(self._world.hosts))

    async def _hand_in(self, name: str) -> None:
        """Send a job until it is accepted, at other entries, a few times."""
        document = job_doc(name, self._rng.randint(1, 6), 0)
        for item in document['items']:
            self._fill(item)
        self._seen.items[name] = tuple(one['id'] for one in document['items'])
        for _ in range(4):
            if self.stopping:
                return
            asked = await self._ask(
                'job', name, self._entry(), '/lists/j', document
            )
            if asked.status == ACCEPTED:
                return
            await asyncio.sleep(self._rng.random())

    def _fill(self, item: dict[str, Any]) -> None:
        count = self._rng.randint(1, MAX_EVENTS)
        self._seen.lengths[item['id']] = count
        told: dict[str, Any] = {'events': count}
        if self._rng.random() < POISON_SHARE:
            told = {'poison': 1}
            self._seen.poison.add(item['id'])
        item['body'] = base64.b64encode(msgspec.json.encode(told)).decode()

    async def _follow(self, name: str) -> None:
        ends = self._rng.random() < END_SHARE
        while not self.stopping:
            await asyncio.sleep(READ_TIME * self._rng.random() * 2)
            if ends:
                await self._end(name)
                return
            if await self.read_all(name):
                return

    async def _end(self, name: str) -> None:
        asked = await self._ask(
            'end', name, self._entry(), f'{LOTS}{name}', None, method='DELETE'
        )
        # An end without answer may yet hold.
        self._seen.unsure_ends.add(name)
        if asked.status == OK:
            self._seen.ended.append(Ended(name, asked.ended))

    async def _read(self, name: str, after: int) -> Page | None:
        asked = await self._ask(
            'read',
            name,
            self._entry(),
            f'{LOTS}{name}?after={after}',
            None,
            method='GET',
        )
        if asked.status != OK or not asked.complete:
            return None
        told = msgspec.json.decode(asked.body)
        rows = tuple(
            (row['id'], row['state'], row['output']) for row in told['results']
        )
        page = Page(name, after, told['total'], rows, asked.ended)
        self._seen.pages.append(page)
        return page

    async def _probe(self, entry: int, version: int) -> None:
        run = self._world.runs_of[entry]
        name = self._name('probe')
        asked = await self._ask('probe', name, entry, f'/v{version}/1', {})
        # Other answers don't tell whether the route is known.
        told = asked.status in {OK, NOT_FOUND}
        if told and run == self._world.runs_of[entry]:
            self._seen.probes.append(
                Probe(
                    entry,
                    run,
                    version,
                    asked.sent,
                    asked.ended,
                    asked.status != NOT_FOUND,
                )
            )

    async def _ask(
        self,
        kind: str,
        name: str,
        entry: int,
        path: str,
        body: Any,
        count: int = 0,
        method: str = 'POST',
    ) -> Asked:
        """Send one attempt and note what came of it."""
        deadline = JOB_DEADLINE if kind == 'job' else DEADLINE
        fields = (
            ('X-Attempt-Id', name),
            ('X-Deadline-Ms', str(int(deadline * 1000))),
        )
        payload = b'' if body is None else msgspec.json.encode(body)
        call = ClientRequest(method, path, fields, payload)
        sent = time.time()
        got = _Got()
        try:
            async with asyncio.timeout(deadline + 1):
                await self._exchange(entry, call, got)
        except (ConnectionLostError, NotSentError, TimeoutError):
            got.complete = False
        asked = Asked(
            name,
            kind,
            entry,
            sent,
            time.time(),
            got.status,
            got.complete,
            b''.join(got.parts),
            count,
        )
        self._seen.asked.append(asked)
        return asked

    async def _exchange(
        self, entry: int, call: ClientRequest, got: '_Got'
    ) -> None:
        conn = await self._connect(entry)
        try:
            answer = await conn.send(call, ROUTE_HOST)
            got.status = answer.status
            async for part in conn.iter_body():
                got.parts.append(part)
            got.complete = True
        finally:
            if got.complete and conn.usable:
                self._kept.setdefault(entry, []).append(conn)
            else:
                conn.close()

    async def _connect(self, entry: int) -> ClientConnection:
        kept = self._kept.get(entry)
        if kept and self._rng.random() < KEEP_SHARE:
            conn = kept.pop()
            if conn.usable:
                return conn
            conn.close()
        return await ClientConnection.open(
            self._world.address(entry), CONNECT_TIME
        )


class _Got:
    """What has come of an answer so far."""

    def __init__(self) -> None:
        self.status = 0
        self.complete = False
        self.parts: list[bytes] = []
