"""Run a request that may not be repeated at most once in the fleet."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.claims import (
    Caller,
    Claim,
    Move,
    claim_name,
    decide,
)
from gentiantrestle.errors import (
    ALREADY_STARTED,
    INTERNAL,
    STORE_UNAVAILABLE,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.http.messages import Response, refusal_response
from gentiantrestle.models import Address
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gentiantrestle.wire.peer.ttypes import Answer, AnswerRequest, Envelope

RETRY_AFTER = 1  # seconds
KEEP_FOR = 600.0  # seconds
MAX_KEPT_BYTES = 33554432
ASK_PERIOD = 0.2  # seconds


class Recording:
    """An answer as it comes; any number of readers get all of it."""

    def __init__(self, started_at: float) -> None:
        """Start empty."""
        self.started_at = started_at
        self.head: Response | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.finished = False
        self._changed = asyncio.Event()

    async def record(self, run: Callable[[], Awaitable[Response]]) -> None:
        """Run the request and keep its answer; a refusal is one too."""
        try:
            self.head = await run()
        except RefusedError as exc:
            self.head = refusal_response(exc.refusal)
        except Exception as exc:  # noqa: BLE001 (kept, else readers hang)
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            self.head = refusal_response(
                Refusal(INTERNAL, 'The request failed inside'),
            )
        try:
            await self._record_body(self.head)
        finally:
            self.finished = True
            self._wake()

    async def replay(self) -> Response:
        """Answer another reader with the same answer, from its start."""
        while self.head is None:
            await self._changed.wait()
        body: bytes | AsyncIterator[bytes] = self._follow()
        if isinstance(self.head.body, bytes):
            body = self.head.body
        return self.head._replace(body=body)

    async def _follow(self) -> AsyncIterator[bytes]:
        position = 0
        while True:
            changed = self._changed
            while position < len(self.parts):
                yield self.parts[position]
                position += 1
            if self.finished:
                return
            await changed.wait()

    async def _record_body(self, response: Response) -> None:
        if isinstance(response.body, bytes):
            self._add(response.body)
            return
        async with aclosing(response.body) as parts:
            async for part in parts:
                self._add(part)

    def _add(self, part: bytes) -> None:
        self.parts.append(part)
        self.size += len(part)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Once:
    """Claims keys in the store and remembers the answers given here."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
    ) -> None:
        """Answer peers that ask for a remembered answer."""
        self._ctx = ctx
        self._store = store
        self._membership = membership
        self._recordings: dict[str, Recording] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._locks: dict[str, asyncio.Lock] = {}
        self._unsure: set[str] = set()
        membership.answer('answer_request', self._answer_peer)

    @property
    def running(self) -> int:
        """Count the requests that run without needing their caller."""
        return len(self._tasks)

    async def run(
        self,
        caller: Caller,
        digest: str,
        run: Callable[[], Awaitable[Response]],
    ) -> Response:
        """Run a request if its key was never claimed, else find its answer."""
        name = claim_name(caller)
        claim = Claim(
            instance=self._ctx.cfg.instance,
            home=str(Address(self._ctx.cfg.host, self._ctx.cfg.peer_port)),
            incarnation=self._ctx.incarnation,
            digest=digest,
            at=self._ctx.wall(),
        )
        async with self._locks.setdefault(name, asyncio.Lock()):
            fresh = name not in self._recordings
            if fresh and await self._claim(name, claim):
                self._start(name, run)
        self._locks.pop(name, None)
        if fresh and name in self._recordings:
            return await self._recordings[name].replay()
        return await self._find(name, digest)

    def expire(self, now: float) -> None:
        """Forget answers that are old, or too much to keep."""
        kept = sum(one.size for one in self._recordings.values())
        for name, recording in tuple(self._recordings.items()):
            if not recording.finished:
                continue
            old = now - recording.started_at > KEEP_FOR
            if old or kept > MAX_KEPT_BYTES:
                kept -= recording.size
                self._recordings.pop(name)

    async def finish(self) -> None:
        """Wait until the running requests are done."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def _claim(self, name: str, claim: Claim) -> bool:
        """Claim a key; one whose claim was left unsure here is still free."""
        try:
            written = await self._store.put(name, dict(claim), ABSENT)
        except StoreUnavailableError:
            raise _store_refusal() from None
        except StoreOutcomeUnknownError:
            self._unsure.add(name)
            raise _store_refusal() from None
        if written:
            return True
        return await self._was_left_unsure(name, claim)

    async def _was_left_unsure(self, name: str, claim: Claim) -> bool:
        if name not in self._unsure:
            return False
        found = await self._read_claim(name)
        self._unsure.discard(name)
        return all(
            found[field] == claim[field]
            for field in ('instance', 'incarnation', 'digest')
        )

    def _start(
        self,
        name: str,
        run: Callable[[], Awaitable[Response]],
    ) -> Recording:
        recording = Recording(self._ctx.now())
        self._recordings[name] = recording
        task = asyncio.create_task(recording.record(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return recording

    async def _find(self, name: str, digest: str) -> Response:
        found = await self._read_claim(name)
        me = (self._ctx.cfg.instance, self._ctx.incarnation)
        move = decide(found, digest, me)
        if isinstance(move, Move) and move is Move.ASK_HOME:
            return await self._ask_home(name, found)
        recording = self._recordings.get(name)
        if not move:
            raise RefusedError(move)
        if recording is None:
            raise refuse(ALREADY_STARTED, 'Its answer is no longer kept')
        return await recording.replay()

    async def _read_claim(self, name: str) -> Claim:
        try:
            found = await self._store.get(name)
        except StoreUnavailableError:
            found = None
        if found is None:
            raise _store_refusal()
        return found.document

    async def _ask_home(self, name: str, claim: Claim) -> Response:
        deadline = self._ctx.now() + self._ctx.cfg.answer_timeout
        while self._ctx.now() < deadline:
            answer = await self._ask(name, claim)
            if not answer.found:
                break
            if answer.finished:
                return Response(
                    answer.status,
                    answer.body,
                    answer.content_type,
                    tuple(answer.headers.items()),
                )
            await asyncio.sleep(ASK_PERIOD)
        raise refuse(ALREADY_STARTED, 'Its answer is no longer to be had')

    async def _ask(self, name: str, claim: Claim) -> Answer:
        envelope = Envelope(answer_request=AnswerRequest(claim=name))
        home = Address.parse(claim['home'])
        try:
            reply = await self._membership.peers.call(home, envelope)
        except PeerError:
            raise refuse(
                ALREADY_STARTED,
                'The instance that ran it does not answer',
            ) from None
        return reply.answer

    async def _answer_peer(self, envelope: Envelope) -> Envelope:
        name = envelope.answer_request.claim
        recording = self._recordings.get(name)
        if recording is not None and recording.finished:
            return Envelope(answer=_finished_answer(recording))
        answer = Answer(
            found=recording is not None or name in self._locks,
            finished=False,
            status=0,
            content_type='',
            headers={},
        )
        return Envelope(answer=answer)


def _finished_answer(recording: Recording) -> Answer:
    return Answer(
        found=True,
        finished=True,
        status=recording.head.status,
        content_type=recording.head.content_type,
        body=b''.join(recording.parts),
        headers=dict(recording.head.headers),
    )


def _store_refusal() -> RefusedError:
    return refuse(
        STORE_UNAVAILABLE,
        'The store does not answer, and this request needs it',
        RETRY_AFTER,
    )
