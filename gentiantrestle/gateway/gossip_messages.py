"""What instances tell each other, as thrift messages and back; no I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from gentiantrestle.daemon.membership.codec import LENGTH, encode
from gentiantrestle.gateway.loads import BatchBacklog, Load, LoadReport
from gentiantrestle.gateway.peers import Peer
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000


class Own(NamedTuple):
    """What this instance tells of itself."""

    leaving: bool
    config_version: int
    store_reached: bool
    waiting: int
    ended: tuple[str, ...]
    taken: tuple[str, ...]
    batch: BatchBacklog
    upstreams_revision: int
    jobs_revision: int
    upstreams_fingerprint: int

    def without_spare(self) -> 'Own':
        """Leave out the time that batch has to spare."""
        return self._replace(batch=self.batch._replace(slack=0))

    def without_loads(self) -> 'Own':
        """Leave out what is added up for other zones."""
        return self._replace(waiting=0, batch=BatchBacklog())


class Heard(NamedTuple):
    """What another instance says of jobs: ended ones, and runs taken over."""

    ended: tuple[str, ...]
    taken: tuple[str, ...]


class Identity(NamedTuple):
    """Who this instance is; the incarnation grows with each start."""

    instance: str
    incarnation: int
    host: str
    zone: str
    port: int


class News(NamedTuple):
    """What a datagram carries beside the sender's own state."""

    loads: Mapping[str, Load]
    hosts: list[str] | None = None
    zone: LoadReport | None = None
    far: LoadReport | None = None


def write_pulse(me: Identity, own: Own, number: int, news: News) -> bytes:
    """Encode what an instance tells, for one datagram."""
    state = ttypes.MemberState.SERVING
    if own.leaving:
        state = ttypes.MemberState.LEAVING
    pulse = ttypes.Pulse(
        instance=me.instance,
        incarnation=me.incarnation,
        number=number,
        host=me.host,
        zone=me.zone,
        state=state,
        config_version=own.config_version,
        store_reached=own.store_reached,
        waiting=own.waiting,
        loads=_pack_loads(news.loads),
        hosts=news.hosts,
        ended=list(own.ended),
        taken=list(own.taken),
        batch_waiting=own.batch.count,
        batch_spare=int(own.batch.slack * MS_PER_S),
        upstreams_revision=own.upstreams_revision,
        jobs_revision=own.jobs_revision,
        upstreams_mark=own.upstreams_fingerprint,
        zone_summary=news.zone and _pack_summary(news.zone),
        far_summary=news.far and _pack_summary(news.far),
    )
    return encode(ttypes.Envelope(call=0, pulse=pulse))[LENGTH.size :]


def read_peer(pulse: ttypes.Pulse, now: float) -> Peer:
    """Return who told, as heard ``now``."""
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


def read_told(told: ttypes.Pulse | ttypes.Summary, now: float) -> LoadReport:
    """Return the loads that a pulse or a summary tells of."""
    loads = {one.upstream: Load(one.online, one.batch) for one in told.loads}
    batch = BatchBacklog(told.batch_waiting, told.batch_spare / MS_PER_S)
    return LoadReport(
        now, loads, told.waiting, batch, isinstance(told, ttypes.Summary)
    )


def _pack_loads(loads: Mapping[str, Load]) -> list[ttypes.Load]:
    return [
        ttypes.Load(name, load.online, load.batch)
        for name, load in loads.items()
    ]


def _pack_summary(told: LoadReport) -> ttypes.Summary:
    return ttypes.Summary(
        loads=_pack_loads(told.loads),
        waiting=told.waiting,
        batch_waiting=told.batch_backlog.count,
        batch_spare=int(told.batch_backlog.slack * MS_PER_S),
    )
