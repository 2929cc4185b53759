"""How one instance and the others know of each other."""

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.admission import Admission
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.gossip import Gossip
from gentiantrestle.gateway.gossip_messages import Heard, Identity, Own
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.peer_calls import Relay
from gentiantrestle.gateway.peers import PeerList
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.supervisor import Child

# Jobs ended here that the others are told of with each datagram.
ENDED_TOLD = 8


class PeeringParts(NamedTuple):
    """The parts that the others' news are for."""

    copies: StateCopier
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
        work: PeeringParts,
        connected: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        """Tell the others of ``work``; nothing is sent yet."""
        self._identity = identity
        self._work = work
        self._connected = connected
        self._now = now
        self._ended: deque[str] = deque(maxlen=ENDED_TOLD)
        self._leaving = False
        # Done each time before it is decided whom to copy from.
        self.before_sync: Callable[[], None] = _nothing
        self._gossip = Gossip(identity, peers, work.board, self._own, now)
        self._gossip.on_heard = self._hear
        rule = CopySourceSelector(
            identity.zone, random.Random(identity.incarnation).random
        )
        self._relay = Relay(work.copies, peers, work.index, rule, identity.port)
        self._relay.make_sure = work.reader.ensure_current
        work.reader.fetch_from_peer = self._relay.results

    def children(self) -> Iterator[Child]:
        """Pass on what the supervisor runs."""
        yield Child('gossip', self._gossip.run)
        yield Child('peers', lambda: self._relay.serve(self._identity.host))
        yield Child(
            'relay', lambda: self._relay.run(self._now, self.before_sync)
        )

    def leave(self) -> None:
        """Tell the others that this instance takes no work on any more."""
        self._leaving = True
        self._gossip.announce()

    def announce_ended_job(self, job: str) -> None:
        """Tell the others that a caller has ended a job."""
        self._ended.append(job)

    def _own(self) -> Own:
        known = self._work.copies.known
        return Own(
            self._leaving,
            known.config_version,
            self._connected(),
            self._work.admission.waiting,
            tuple(self._ended),
            tuple(self._work.runner.taken_over),
            self._work.runner.backlog,
            known.upstreams_revision,
            known.jobs_revision,
            known.upstreams_fingerprint,
        )

    def _hear(self, heard: Heard) -> None:
        for run in heard.taken:
            self._work.index.note_takeover(run)
        for job in heard.ended:
            self._work.index.cancel(job)
        self._work.runner.run_table.preempt_overbooked()
        self._work.admission.dispatch()


def _nothing() -> None:
    """Do nothing until something is set."""
