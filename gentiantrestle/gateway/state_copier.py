"""What one instance copies from another instead of asking the store; no I/O."""

from collections.abc import Callable, Iterable

import msgspec

from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.zone_watcher import Revisions
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000


class StateCopier:
    """Gives others what they lack, and takes in what they give."""

    def __init__(
        self,
        state: FleetState,
        job_store: JobStore,
        now: Callable[[], float],
    ) -> None:
        """Copy from and to ``state`` and the index of ``job_store``."""
        self._state = state
        self._job_store = job_store
        self._now = now

    @property
    def known(self) -> Revisions:
        """How new the knowledge here is."""
        return Revisions(
            self._state.config_version,
            self._state.revision,
            self._job_store.index.revision,
            self._state.upstreams_fingerprint,
        )

    def request(self) -> ttypes.CopyRequest:
        """Ask for all that is newer."""
        known = self.known
        return ttypes.CopyRequest(
            known.config_version, known.upstreams_revision, known.jobs_revision
        )

    def give(self, asked: ttypes.CopyRequest) -> ttypes.Copy:
        """Collect what is newer than ``asked``."""
        copy = ttypes.Copy(
            upstreams_revision=self._state.revision,
            jobs_revision=self._job_store.index.revision,
            jobs=list(map(_pack, self._newer_jobs(asked.jobs_revision))),
            lapse_left=int(self._state.lapse_left * MS_PER_S),
        )
        if (
            self._state.config
            and self._state.config_version > asked.config_version
        ):
            copy.config = _pack(self._state.config)
        if self._state.revision > asked.upstreams_revision:
            copy.upstreams = list(map(_pack, self._state.upstreams.values()))
        return copy

    def take(self, told: ttypes.Copy) -> None:
        """Take in what another instance gave; nothing older replaces newer."""
        if told.config is not None:
            self._state.apply_config(_unpack(told.config))
        newer = told.upstreams_revision > self._state.revision
        if told.upstreams is not None and newer:
            self._state.note_lapse(told.lapse_left / MS_PER_S)
            self._state.replace_upstreams(
                map(_unpack, told.upstreams), told.upstreams_revision
            )
        jobs = [_unpack(one) for one in told.jobs]
        self._job_store.apply_changes(jobs, told.jobs_revision)

    def _newer_jobs(self, revision: int) -> Iterable[StoredObject]:
        for entry in self._job_store.index.entries.values():
            if entry.stored.revision > revision:
                yield entry.stored


def _pack(stored: StoredObject) -> ttypes.KnownObject:
    content = msgspec.json.encode([stored.content, stored.status])
    return ttypes.KnownObject(stored.name, stored.revision, content)


def _unpack(told: ttypes.KnownObject) -> StoredObject:
    content, status = msgspec.json.decode(told.content)
    return StoredObject(told.name, told.revision, content, status)
