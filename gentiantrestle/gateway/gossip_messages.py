"""Encodes and decodes the datagrams between instances; no I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from gentiantrestle.daemon.membership.codec import LENGTH, encode
from gentiantrestle.gateway.loads import BatchBacklog, Load, LoadReport
from gentiantrestle.gateway.peers import Peer
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000


class InstanceStatus(NamedTuple):
    """What this instance sends about itself, besides its loads.

    ``waiting`` counts callers waiting for a slot; ``cancelled_jobs`` are the
    jobs that were cancelled last at this instance, and ``taken_over_runs`` the
    runs of instances whose jobs this one took over last.
    """

    leaving: bool
    config_version: int
    store_reached: bool
    waiting: int
    cancelled_jobs: tuple[str, ...]
    taken_over_runs: tuple[str, ...]
    batch_backlog: BatchBacklog
    upstreams_revision: int
    jobs_revision: int
    upstreams_fingerprint: int

    def without_slack(self) -> 'InstanceStatus':
        """Return a copy with the slack of the batch backlog set to 0."""
        return self._replace(batch_backlog=self.batch_backlog._replace(slack=0))

    def without_queues(self) -> 'InstanceStatus':
        """Return a copy without what the zone's load summary contains."""
        return self._replace(waiting=0, batch_backlog=BatchBacklog())


class JobNotices(NamedTuple):
    """Ids of cancelled jobs, and runs taken over, as listed in a pulse."""

    cancelled_jobs: tuple[str, ...]
    taken_over_runs: tuple[str, ...]


class Identity(NamedTuple):
    """Identity of this instance; ``incarnation`` grows with each start.

    ``port`` is that of the traffic between instances, the same on all hosts.
    """

    instance: str
    incarnation: int
    host: str
    zone: str
    port: int


class PulseDetails(NamedTuple):
    """What a pulse carries besides the sender's status.

    ``zone_summary`` sums up the sender's zone, ``remote_summary`` all other
    zones; ``hosts`` are those the sender knows.
    """

    loads: Mapping[str, Load]
    hosts: list[str] | None = None
    zone_summary: LoadReport | None = None
    remote_summary: LoadReport | None = None


def encode_pulse(
    identity: Identity,
    status: InstanceStatus,
    sequence: int,
    details: PulseDetails,
) -> bytes:
    """Encode a pulse as the payload of one datagram."""
    state = ttypes.MemberState.SERVING
    if status.leaving:
        state = ttypes.MemberState.LEAVING
    pulse = ttypes.Pulse(
        instance=identity.instance,
        incarnation=identity.incarnation,
        number=sequence,
        host=identity.host,
        zone=identity.zone,
        state=state,
        config_version=status.config_version,
        store_reached=status.store_reached,
        waiting=status.waiting,
        loads=_pack_loads(details.loads),
        hosts=details.hosts,
        ended=list(status.cancelled_jobs),
        taken=list(status.taken_over_runs),
        batch_waiting=status.batch_backlog.count,
        batch_spare=int(status.batch_backlog.slack * MS_PER_S),
        upstreams_revision=status.upstreams_revision,
        jobs_revision=status.jobs_revision,
        upstreams_mark=status.upstreams_fingerprint,
        zone_summary=details.zone_summary
        and _pack_summary(details.zone_summary),
        far_summary=details.remote_summary
        and _pack_summary(details.remote_summary),
    )
    return encode(ttypes.Envelope(call=0, pulse=pulse))[LENGTH.size :]


def decode_peer(pulse: ttypes.Pulse, now: float) -> Peer:
    """Return the sender of a pulse that arrived at ``now``."""
    return Peer(
        pulse.instance,
        pulse.incarnation,
        pulse.number,
        pulse.host,
        pulse.zone,
        pulse.state == ttypes.MemberState.LEAVING,
        pulse.config_version,
        pulse.store_reached,
        now,
        pulse.upstreams_revision,
        pulse.jobs_revision,
        pulse.upstreams_mark,
    )


def decode_loads(
    message: ttypes.Pulse | ttypes.Summary,
    now: float,
) -> LoadReport:
    """Return the loads in a pulse or summary that arrived at ``now``."""
    loads = {
        load.upstream: Load(load.online, load.batch) for load in message.loads
    }
    backlog = BatchBacklog(
        message.batch_waiting, message.batch_spare / MS_PER_S
    )
    return LoadReport(
        now,
        loads,
        message.waiting,
        backlog,
        isinstance(message, ttypes.Summary),
    )


def _pack_loads(loads: Mapping[str, Load]) -> list[ttypes.Load]:
    return [
        ttypes.Load(name, load.online, load.batch)
        for name, load in loads.items()
    ]


def _pack_summary(report: LoadReport) -> ttypes.Summary:
    return ttypes.Summary(
        loads=_pack_loads(report.loads),
        waiting=report.waiting,
        batch_waiting=report.batch_backlog.count,
        batch_spare=int(report.batch_backlog.slack * MS_PER_S),
    )
