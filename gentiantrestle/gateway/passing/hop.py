"""One attempt of a request through another instance."""

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.answer_relay import AnswerRelay
from gentiantrestle.gateway.attempt import AttemptFailedError
from gentiantrestle.gateway.model import Route
from gentiantrestle.gateway.passing.answers import (
    PeerAnswer,
    PeerRefusal,
    ServedBy,
    read_answer,
)
from gentiantrestle.gateway.passing.messages import PassedRequest, pack
from gentiantrestle.gateway.passing.origin import PeerPassing
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import AttemptOutcome, RequestProgress
from gentiantrestle.gateway.silence import silence_limit
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.upstream_connection import (
    BY_CLOSE,
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.http.link import RequestNotSentError

TARGET = '/gentiantrestle/passed'
MAX_SILENCES = 2  # of upstreams, one after the other, behind one peer
NOT_RUN_OUTCOMES = frozenset(
    (AttemptOutcome.NOT_RUN, AttemptOutcome.UNREACHED, AttemptOutcome.REFUSED)
)


def allowed_runs(max_attempts: int, runs: int) -> int:
    """Return how often a peer may have a request executed.

    One execution is kept back for another peer, if there are several left.
    """
    left = max_attempts - runs
    return max(1, left - 1)


def peer_route(route: Route, runs: int) -> Route:
    """Return the route as a peer gets it, after so many executions."""
    allowed = allowed_runs(route.max_attempts, runs)
    return route._replace(max_attempts=runs + allowed)


def hop_silence_limit(
    route: Route, progress: RequestProgress, left: float
) -> float | None:
    """Return after how long a silence another peer is sought, in s.

    A peer with several attempts is given the time to make another one.
    """
    allowed = allowed_runs(route.max_attempts, progress.runs)
    after = progress._replace(runs=progress.runs + allowed - 1)
    limit = silence_limit(route, after, left)
    return limit and limit * min(allowed, MAX_SILENCES)


class PeerHop:
    """One attempt through a peer; ``progress`` is that of the request."""

    def __init__(
        self,
        passing: PeerPassing,
        relay: AnswerRelay,
        progress: RequestProgress,
        lease: SlotLease,
    ) -> None:
        """Relay the answer of the peer of ``lease``."""
        self._passing = passing
        self._relay = relay
        self._before = progress
        self._lease = lease
        self.progress = progress
        # What the caller is to be told, if the peer has refused for all.
        self.refusal: Refusal | None = None
        # The upstream that has answered the peer.
        self.tried: frozenset[str] = frozenset()

    async def run(
        self, conn: UpstreamConnection, passed: PassedRequest
    ) -> None:
        """Have the peer answer; raises as an attempt on an upstream does."""
        self._passing.log(passed, self._lease)
        unreached = self._before.unreached + 1
        self.progress = self._refused()._replace(unreached=unreached)
        await self._connect(conn)
        # From here on it counts as executed, as often as the peer may.
        self.progress = self._before._replace(runs=passed.route.max_attempts)
        reply = await self._send(conn, passed)
        if conn.framing == BY_CLOSE:
            # Of a body that an instance sends the end is always marked.
            raise AttemptFailedError(AttemptOutcome.LOST, 'no framing')
        answer = self._read(reply)
        if answer.refusal is not None:
            self._raise_refusal(answer.refusal)
        self._note_upstream(answer, passed.version)
        await self._pass_on(conn, answer.reply)

    async def _pass_on(self, conn: UpstreamConnection, reply: Reply) -> None:
        try:
            await self._relay.pass_on(conn, reply)
        except AttemptFailedError as exc:
            if exc.outcome is AttemptOutcome.LOST:
                self._passing.doubt(self._lease)
            raise

    def _refused(self) -> RequestProgress:
        return self._before._replace(refusals=self._before.refusals + 1)

    async def _connect(self, conn: UpstreamConnection) -> None:
        try:
            await conn.connect(self._lease.upstream)
        except RequestNotSentError:
            self._passing.avoid(self._lease)
            raise

    async def _send(
        self, conn: UpstreamConnection, passed: PassedRequest
    ) -> Reply:
        host = str(self._lease.upstream.address).encode()
        body = pack(passed, self._passing.now())
        message = UpstreamRequest(
            passed.req.id, 'POST', TARGET, [(b'host', host)], body
        )
        self._relay.await_upstream()
        try:
            return await conn.send(message)
        except RequestNotSentError:
            self.progress = self._refused()
            self._passing.avoid(self._lease)
            raise
        except ResponseLostError as exc:
            self._passing.avoid(self._lease)
            raise AttemptFailedError(AttemptOutcome.LOST, repr(exc)) from exc
        finally:
            self._relay.silence.end()

    def _read(self, reply: Reply) -> PeerAnswer:
        try:
            answer = read_answer(reply)
        except ValueError as exc:
            raise AttemptFailedError(AttemptOutcome.LOST, repr(exc)) from exc
        if answer.served_by is None and answer.refusal is None:
            reason = f'status {reply.status}, not from an instance'
            raise AttemptFailedError(AttemptOutcome.LOST, reason)
        return answer

    def _raise_refusal(self, refusal: PeerRefusal) -> None:
        """Raise what a peer's refusal means; it has executed nothing, or may.

        A peer that can't serve is left alone for a while.
        """
        outcome = refusal.outcome
        if outcome in NOT_RUN_OUTCOMES:
            self.progress = self._refused()
        if outcome is AttemptOutcome.REFUSED:
            self.refusal = refusal.as_refusal()
        elif outcome is AttemptOutcome.UNREACHED:
            unreached = self._before.unreached + 1
            self.progress = self.progress._replace(unreached=unreached)
        if outcome in {AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN}:
            self._passing.avoid(self._lease)
        raise AttemptFailedError(outcome, f'{refusal.kind}: {refusal.reason}')

    def _note_upstream(self, answer: PeerAnswer, version: str) -> None:
        served: ServedBy = answer.served_by
        if version not in {'', served.version}:
            raise AttemptFailedError(
                AttemptOutcome.LOST, f'of version {served.version}'
            )
        upstream = self._lease.upstream._replace(
            id=served.id,
            incarnation=served.incarnation,
            version=served.version,
        )
        self.tried = frozenset((upstream.id,))
        self._relay.upstream = upstream
        if answer.reply.leaving:
            self._passing.note_leaving(upstream)
