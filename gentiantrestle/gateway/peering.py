"""Exchange of state between this instance and the others."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.config_lag import ConfigLag
from gentiantrestle.gateway.membership.learning import Learning
from gentiantrestle.gateway.membership.membership import Membership
from gentiantrestle.gateway.membership.messages import (
    Identity,
    InstanceStatus,
    JobNotices,
)
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.peer_calls import PeerCalls
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.streams.service import StreamOrigins
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.models import Address
from gentiantrestle.quarantine.evidence import Evidence, Findings
from gentiantrestle.supervisor import Child

# Each row lists this many of the jobs cancelled last at its instance.
MAX_CANCELLED_JOBS = 8
# An instance that has just started knows of few slots in use, so that it
# coordinates none for this long if another one can.
START_TIME = 1.0  # seconds
ROLE_INTERVAL = 0.25  # seconds between two looks at who watches the store
LAG_INTERVAL = 0.1  # seconds between two looks at the others' versions


class PeeringParts(NamedTuple):
    """The parts that peering reads from and updates."""

    copier: StateCopier
    membership: Membership
    index: JobIndex
    runner: Runner
    reader: ResultReader
    evidence: Evidence


class Peering:
    """Rows and calls between this instance and the others."""

    def __init__(
        self,
        identity: Identity,
        peers: PeerList,
        parts: PeeringParts,
        is_connected: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Connect ``parts`` to the other instances; nothing is sent yet.

        ``is_connected`` returns whether this instance watches the store and
        reaches it.
        """
        self._identity = identity
        self._learning = Learning(
            tuple(Address(host, identity.port) for host in peers.seeds),
            lambda: parts.membership.has_heard,
            clock.now,
        )
        self._parts = parts
        self._is_connected = is_connected
        self._clock = clock
        self._lag = ConfigLag()
        self._peers = peers
        self._cancelled_jobs: deque[str] = deque(maxlen=MAX_CANCELLED_JOBS)
        self._leaving = False
        self._started = clock.now()
        # Called at short intervals; takes or gives up the watcher's role.
        self.update_role: Callable[[], None] = _nothing
        # Returns the services that this instance doesn't reach, or the store.
        self.cut_off: Callable[[], frozenset[str]] = frozenset
        parts.membership.on_notices = self._apply_notices
        parts.membership.on_findings = self._apply_findings
        parts.membership.on_change = parts.runner.wake
        selector = CopySourceSelector(
            identity.zone, random.Random(identity.incarnation).random
        )
        self._peer_calls = PeerCalls(
            parts.copier, peers, selector, identity.port
        )
        self._peer_calls.find_current = parts.reader.find_current
        parts.reader.fetch_from_peer = self._peer_calls.fetch_results

    @property
    def is_informed(self) -> bool:
        """Return whether this instance knows what the others know."""
        return self._learning.is_over(self._clock.now())

    @property
    def config_lag(self) -> float:
        """Return for how long a known configuration has been missing, in s."""
        return self._lag.seconds(self._clock.now())

    @property
    def is_behind(self) -> bool:
        """Return whether another instance has a newer configuration."""
        known = self._parts.copier.revisions.config_version
        return self._lag.is_behind(known)

    def children(self) -> Iterator[Child]:
        """Yield the tasks that the supervisor runs."""
        yield Child('membership', self._parts.membership.run)
        yield Child('learning', self._learning.run)
        yield Child(
            'peers', lambda: self._peer_calls.serve(self._identity.host)
        )
        yield Child(
            'relay',
            lambda: self._peer_calls.run(self._clock.now),
        )
        yield Child('watcher role', self._update_role_on)
        yield Child('config lag', self._watch_lag)

    def leave(self) -> None:
        """Announce that this instance accepts no new work any more."""
        self._leaving = True
        self._parts.membership.announce()

    def connect_reach(
        self,
        reach: UpstreamReach,
        read_unreached: Callable[[], frozenset[str]],
    ) -> None:
        """Let rows and calls tell what is reached from here."""
        self.cut_off = read_unreached
        self._peer_calls.confirm_reach = reach.confirm
        reach.ask = self._peer_calls.ask_reach

    def connect_streams(self, streams: StreamOrigins) -> None:
        """Let calls tell where streams began."""
        self._peer_calls.tell_origins = streams.answer
        streams.peers.ask = self._peer_calls.ask_origins

    def announce_cancelled_job(self, job: str) -> None:
        """List a job as cancelled by its client in the next datagrams."""
        self._cancelled_jobs.append(job)

    def read_status(self) -> InstanceStatus:
        """Return what this instance says about itself."""
        revisions = self._parts.copier.revisions
        return InstanceStatus(
            self._leaving,
            self._clock.now() - self._started < START_TIME,
            revisions.config_version,
            self._is_connected(),
            revisions.upstreams_revision,
            revisions.jobs_revision,
            revisions.upstreams_fingerprint,
            JobNotices(tuple(self._cancelled_jobs)),
            self._parts.evidence.findings(self._clock.wall()),
            self.cut_off(),
        )

    async def _update_role_on(self) -> None:
        while True:
            self.update_role()
            await asyncio.sleep(ROLE_INTERVAL)

    async def _watch_lag(self) -> None:
        while True:
            now = self._clock.now()
            known = self._parts.copier.revisions.config_version
            self._lag.update(known, self._peers.alive(now), now)
            await asyncio.sleep(LAG_INTERVAL)

    def _apply_notices(self, notices: JobNotices) -> None:
        for job in notices.cancelled_jobs:
            self._parts.index.cancel(job)

    def _apply_findings(self, findings: Findings) -> None:
        self._parts.evidence.merge(findings, self._clock.wall())


def _nothing() -> None:
    """Do nothing until a handler is set."""
