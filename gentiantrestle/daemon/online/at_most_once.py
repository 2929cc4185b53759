"""Run a non-repeatable request at most once among all instances."""

import asyncio
from collections.abc import Awaitable, Callable

from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.online.claims import (
    Claim,
    ClaimAction,
    IdempotencyKey,
    claim_name,
    resolve_claim,
)
from gentiantrestle.daemon.online.recording import Recording
from gentiantrestle.errors import (
    ALREADY_STARTED,
    STORE_UNAVAILABLE,
    RefusedError,
    refuse,
)
from gentiantrestle.http.messages import Response
from gentiantrestle.models import Address
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gentiantrestle.wire.peer.ttypes import Answer, AnswerRequest, Envelope

RETRY_AFTER = 1  # seconds
KEEP_TIME = 600.0  # seconds after the start of a request
MAX_KEPT_BYTES = 33554432
POLL_PERIOD = 0.2  # seconds


class AtMostOnceRunner:
    """Claims idempotency keys in the store and keeps the answers given here."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
    ) -> None:
        """Start without answers; serve kept answers to peers."""
        self._ctx = ctx
        self._store = store
        self._membership = membership
        self._recordings: dict[str, Recording] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._locks: dict[str, asyncio.Lock] = {}
        self._uncertain_claims: set[str] = set()
        membership.register_handler('answer_request', self._answer_peer)

    @property
    def running(self) -> int:
        """Number of claimed requests that still run.

        They continue even if their callers disconnect.
        """
        return len(self._tasks)

    async def run(
        self,
        idempotency_key: IdempotencyKey,
        digest: str,
        run: Callable[[], Awaitable[Response]],
    ) -> Response:
        """Run a request if its key is unclaimed, else return the first answer.

        ``digest`` identifies the request. Raises ``RefusedError`` if the
        store does not answer, the key was used for another request, or the
        first answer can't be had.
        """
        name = claim_name(idempotency_key)
        claim = Claim(
            instance=self._ctx.cfg.instance,
            home=str(Address(self._ctx.cfg.host, self._ctx.cfg.peer_port)),
            incarnation=self._ctx.incarnation,
            digest=digest,
            at=self._ctx.wall(),
        )
        async with self._locks.setdefault(name, asyncio.Lock()):
            is_new = name not in self._recordings
            if is_new and await self._try_claim(name, claim):
                self._start(name, run)
        self._locks.pop(name, None)
        if is_new and name in self._recordings:
            return await self._recordings[name].replay()
        return await self._find_answer(name, digest)

    def expire(self, now: float) -> None:
        """Drop finished answers that are too old or exceed the size limit."""
        kept = sum(entry.size for entry in self._recordings.values())
        for name, recording in tuple(self._recordings.items()):
            if not recording.finished:
                continue
            expired = now - recording.started_at > KEEP_TIME
            if expired or kept > MAX_KEPT_BYTES:
                kept -= recording.size
                self._recordings.pop(name)

    async def finish(self) -> None:
        """Wait until the running requests are done."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def _try_claim(self, name: str, claim: Claim) -> bool:
        """Claim a key; return False if another request has claimed it.

        An earlier write of this claim whose outcome was unknown may have
        taken effect; its request was not run, so the key counts as claimed
        now.
        """
        try:
            written = await self._store.put(name, dict(claim), ABSENT)
        except StoreUnavailableError:
            raise _store_refusal() from None
        except StoreOutcomeUnknownError:
            self._uncertain_claims.add(name)
            raise _store_refusal() from None
        if written:
            return True
        return await self._is_own_uncertain_claim(name, claim)

    async def _is_own_uncertain_claim(self, name: str, claim: Claim) -> bool:
        if name not in self._uncertain_claims:
            return False
        found = await self._read_claim(name)
        self._uncertain_claims.discard(name)
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

    async def _find_answer(self, name: str, digest: str) -> Response:
        found = await self._read_claim(name)
        this_run = (self._ctx.cfg.instance, self._ctx.incarnation)
        action = resolve_claim(found, digest, this_run)
        if isinstance(action, ClaimAction) and action is ClaimAction.ASK_HOME:
            return await self._fetch_from_home(name, found)
        recording = self._recordings.get(name)
        if not action:
            raise RefusedError(action)
        if recording is None:
            raise refuse(ALREADY_STARTED, 'The answer is no longer kept')
        return await recording.replay()

    async def _read_claim(self, name: str) -> Claim:
        try:
            found = await self._store.get(name)
        except StoreUnavailableError:
            found = None
        if found is None:
            raise _store_refusal()
        return found.document

    async def _fetch_from_home(self, name: str, claim: Claim) -> Response:
        deadline = self._ctx.now() + self._ctx.cfg.answer_timeout
        while self._ctx.now() < deadline:
            answer = await self._request_answer(name, claim)
            if not answer.found:
                break
            if answer.finished:
                return Response(
                    answer.status,
                    answer.body,
                    answer.content_type,
                    tuple(answer.headers.items()),
                )
            await asyncio.sleep(POLL_PERIOD)
        raise refuse(
            ALREADY_STARTED,
            'The instance that ran the request did not supply the answer',
        )

    async def _request_answer(self, name: str, claim: Claim) -> Answer:
        envelope = Envelope(answer_request=AnswerRequest(claim=name))
        home = Address.parse(claim['home'])
        try:
            reply = await self._membership.peers.call(home, envelope)
        except PeerError:
            raise refuse(
                ALREADY_STARTED,
                'The instance that ran the request does not answer',
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
