"""Exchange of state between this instance and the others."""

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.admission import Admission
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.gossip import Gossip
from gentiantrestle.gateway.gossip_messages import (
    Identity,
    InstanceStatus,
    JobNotices,
)
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.peer_calls import PeerCalls
from gentiantrestle.gateway.peers import PeerList
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.supervisor import Child

# Each datagram lists this many of the jobs cancelled last at this instance.
MAX_CANCELLED_JOBS = 8


class PeeringParts(NamedTuple):
    """The parts that peering reads from and updates."""

    copier: StateCopier
    board: LoadBoard
    admission: Admission
    index: JobIndex
    runner: Runner
    reader: ResultReader


class Peering:
    """Gossip and calls between this instance and the others."""

    def __init__(
        self,
        identity: Identity,
        peers: PeerList,
        parts: PeeringParts,
        is_connected: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        """Connect ``parts`` to the other instances; nothing is sent yet.

        ``is_connected`` returns whether this instance watches the store and
        reaches it.
        """
        self._identity = identity
        self._parts = parts
        self._is_connected = is_connected
        self._now = now
        self._cancelled_jobs: deque[str] = deque(maxlen=MAX_CANCELLED_JOBS)
        self._leaving = False
        # Called each time before the peer to copy from is chosen.
        self.before_sync: Callable[[], None] = _nothing
        self._gossip = Gossip(
            identity, peers, parts.board, self._read_status, now
        )
        self._gossip.on_pulse = self._handle_pulse
        selector = CopySourceSelector(
            identity.zone, random.Random(identity.incarnation).random
        )
        self._peer_calls = PeerCalls(
            parts.copier, peers, parts.index, selector, identity.port
        )
        self._peer_calls.confirm_results = parts.reader.ensure_current
        parts.reader.fetch_from_peer = self._peer_calls.fetch_results

    def children(self) -> Iterator[Child]:
        """Yield the tasks that the supervisor runs."""
        yield Child('gossip', self._gossip.run)
        yield Child(
            'peers', lambda: self._peer_calls.serve(self._identity.host)
        )
        yield Child(
            'relay', lambda: self._peer_calls.run(self._now, self.before_sync)
        )

    def leave(self) -> None:
        """Announce that this instance accepts no new work any more."""
        self._leaving = True
        self._gossip.announce()

    def announce_cancelled_job(self, job: str) -> None:
        """List a job as cancelled by its client in the next datagrams."""
        self._cancelled_jobs.append(job)

    def _read_status(self) -> InstanceStatus:
        revisions = self._parts.copier.revisions
        return InstanceStatus(
            self._leaving,
            revisions.config_version,
            self._is_connected(),
            self._parts.admission.waiting,
            tuple(self._cancelled_jobs),
            tuple(self._parts.runner.taken_over),
            self._parts.runner.backlog,
            revisions.upstreams_revision,
            revisions.jobs_revision,
            revisions.upstreams_fingerprint,
        )

    def _handle_pulse(self, notices: JobNotices) -> None:
        for run in notices.taken_over_runs:
            self._parts.index.note_takeover(run)
        for job in notices.cancelled_jobs:
            self._parts.index.cancel(job)
        self._parts.runner.run_table.preempt_overbooked()
        self._parts.admission.dispatch()


def _nothing() -> None:
    """Do nothing until a handler is set."""
