"""What a peer is told, and when."""

from types import SimpleNamespace

import pytest

from gentiantrestle.gateway.answer_relay import AnswerRelay
from gentiantrestle.gateway.attempt import AttemptFailedError
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.passing.hop import PeerHop
from gentiantrestle.gateway.passing.messages import PassedRequest, unpack
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import RequestProgress
from gentiantrestle.gateway.silence import Silence
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamRequest,
)
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)

CONNECT_TIME = 0.25  # seconds
LEFT = 5.0  # seconds that a request has


class SlowConnection:
    """A connection that takes its time to open; its answer is lost."""

    def __init__(self) -> None:
        """Start the clock at 0."""
        self.now = float(0)
        self.left = float(0)

    async def connect(self, upstream: Upstream) -> None:
        """Let time pass."""
        self.now += CONNECT_TIME

    async def send(self, req: UpstreamRequest) -> Reply:
        """Keep the time that the peer is given."""
        self.left = unpack(req.body, 0).req.deadline
        raise ResponseLostError('reset')


async def test_peer_is_given_no_time_that_has_passed_while_connecting() -> None:
    conn = SlowConnection()
    req, route = make_request('r1'), make_route()
    passing = SimpleNamespace(
        log=lambda *_: None, avoid=lambda _: None, now=lambda: conn.now
    )
    context = SimpleNamespace(clock=SimpleNamespace(now=lambda: conn.now))
    relay = AnswerRelay(context, req, route, None)
    lease = SlotLease(0, make_upstream('peer'), '', 0, via='peer')
    relay.begin(lease.upstream, Silence(None), None)
    progress = RequestProgress(idempotent=True, max_attempts=2)
    passed = PassedRequest('one', req, route, ENGINES, '', 0, frozenset())
    with pytest.raises(AttemptFailedError):
        await PeerHop(passing, relay, progress, lease).run(conn, passed)
    assert conn.left == pytest.approx(LEFT - CONNECT_TIME, abs=0.01)
