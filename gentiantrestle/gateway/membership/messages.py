"""Encodes and decodes rows of instances; no I/O."""

from typing import NamedTuple

from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.quarantine.evidence import Findings
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000


class Identity(NamedTuple):
    """Identity of this instance; ``incarnation`` grows with each start.

    ``port`` is that of the traffic between instances, the same on all hosts.
    """

    instance: str
    incarnation: int
    host: str
    zone: str
    port: int


class JobNotices(NamedTuple):
    """Ids of jobs cancelled last."""

    cancelled_jobs: tuple[str, ...] = ()


class InstanceStatus(NamedTuple):
    """What an instance says about itself besides its identity."""

    leaving: bool
    starting: bool
    config_version: int
    store_reached: bool
    upstreams_revision: int
    jobs_revision: int
    upstreams_fingerprint: int
    notices: JobNotices
    findings: Findings = Findings()
    cut_off: frozenset[str] = frozenset()


class RelayedRow(NamedTuple):
    """An instance's row and its job notices.

    Only this instance's own row has findings; they include the others'.
    """

    peer: Peer
    notices: JobNotices = JobNotices()
    findings: Findings = Findings()


def own_row(
    identity: Identity, status: InstanceStatus, sequence: int, now: float
) -> RelayedRow:
    """Return the row of this instance."""
    peer = Peer(
        identity.instance,
        identity.incarnation,
        sequence,
        identity.host,
        identity.zone,
        status.leaving,
        status.config_version,
        status.store_reached,
        now,
        status.upstreams_revision,
        status.jobs_revision,
        status.upstreams_fingerprint,
        status.starting,
        status.cut_off,
    )
    return RelayedRow(peer, status.notices, status.findings)


def pack_row(row: RelayedRow, now: float) -> ttypes.InstanceRow:
    """Encode a row; its age is the time since it arrived here."""
    peer = row.peer
    return ttypes.InstanceRow(
        instance=peer.instance,
        incarnation=peer.incarnation,
        number=peer.sequence,
        host=peer.host,
        zone=peer.zone,
        state=_member_state(peer),
        config_version=peer.config_version,
        store_reached=peer.store_reached,
        upstreams_revision=peer.upstreams_revision,
        jobs_revision=peer.jobs_revision,
        upstreams_mark=peer.upstreams_fingerprint,
        ended=list(row.notices.cancelled_jobs),
        taken=[],
        age=int((now - peer.received_at) * MS_PER_S),
        cut_off=sorted(peer.cut_off) or None,
    )


def unpack_row(row: ttypes.InstanceRow, now: float) -> RelayedRow:
    """Decode a row that arrived at ``now``."""
    peer = Peer(
        row.instance,
        row.incarnation,
        row.number,
        row.host,
        row.zone,
        row.state == ttypes.MemberState.LEAVING,
        row.config_version,
        row.store_reached,
        now - max(0, row.age) / MS_PER_S,
        row.upstreams_revision,
        row.jobs_revision,
        row.upstreams_mark,
        row.state == ttypes.MemberState.STARTING,
        frozenset(row.cut_off or ()),
    )
    return RelayedRow(peer, JobNotices(tuple(row.ended)))


def _member_state(peer: Peer) -> int:
    if peer.leaving:
        return ttypes.MemberState.LEAVING
    if peer.starting:
        return ttypes.MemberState.STARTING
    return ttypes.MemberState.SERVING
