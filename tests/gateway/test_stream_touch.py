"""Streams taken up at an instance that has lost touch with the others."""

import asyncio
from types import SimpleNamespace

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.membership.peers import TOUCH_TIME, Peer, PeerList
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.streams.origins import RETENTION
from gentiantrestle.gateway.streams.service import StreamOrigins
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.virtual_time import run_virtual, virtual_now

ZONE = 'a1'


async def _take_up(last_heard: float) -> str:
    """Take a stream up without the store; return the version it is bound to.

    The instance has watched upstreams of one version for long, and another
    instance was heard ``last_heard`` s ago.
    """
    store = MemoryStore()
    store.down = True
    roster = Roster()
    roster.put(make_upstream('u1', version='v1'))
    peers = PeerList('me', '10.0.0.1', ZONE, ())
    fleet = SimpleNamespace(
        clock=SimpleNamespace(now=virtual_now),
        identity=SimpleNamespace(zone=ZONE),
        port=SimpleNamespace(on=lambda kind, handler: None),
        state=SimpleNamespace(roster=roster),
        peers=peers,
    )
    started = virtual_now()
    origins = StreamOrigins(fleet, None, store)
    while virtual_now() < started + RETENTION + 1:
        origins.note_upstreams()
        await asyncio.sleep(1)
    heard_at = virtual_now() - last_heard
    peers.update(Peer('x', 1, 1, '10.0.0.2', ZONE, False, 3, True, heard_at))
    req = make_request('r1', last_event=7)._replace(
        resumes='r0', deadline=virtual_now() + 5
    )
    found = await origins.find(req, make_route())
    assert found.service == ENGINES
    return found.version


def test_stream_goes_on_by_what_is_known_here_while_in_touch() -> None:
    assert run_virtual(_take_up(TOUCH_TIME - 0.5)) == 'v1'


def test_stream_is_refused_at_an_instance_that_stood_still() -> None:
    with pytest.raises(RefusedError):
        run_virtual(_take_up(TOUCH_TIME + 0.2))
