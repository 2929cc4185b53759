"""Copies configuration, upstreams and jobs between instances; no I/O.

Instances that don't watch the store themselves get their state this way.
"""

from collections.abc import Callable, Iterable

from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.copy_packing import (
    ConfigPacker,
    pack_copy,
    pack_object,
    unpack_copy,
    unpack_object,
)
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.zone_watcher import Revisions
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000


class StateCopier:
    """Builds copies for other instances, and applies theirs."""

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
        self._config_packer = ConfigPacker()

    @property
    def revisions(self) -> Revisions:
        """Revisions of the state that this instance has."""
        return Revisions(
            self._state.config_version,
            self._state.upstreams_revision,
            self._job_store.index.revision,
            self._state.upstreams_fingerprint,
        )

    def build_request(self) -> ttypes.CopyRequest:
        """Return a request for all that is newer than what is known here."""
        revisions = self.revisions
        return ttypes.CopyRequest(
            revisions.config_version,
            revisions.upstreams_revision,
            revisions.jobs_revision,
            compressed=True,
        )

    def build_copy(self, request: ttypes.CopyRequest) -> ttypes.Copy:
        """Return what is newer here than the revisions in a request."""
        copy = self._build_rows(request)
        if request.compressed:
            copy = pack_copy(copy)
        config = self._state.config
        if config and self._state.config_version > request.config_version:
            copy.config = self._config_packer.pack(
                config, compressed=bool(request.compressed)
            )
        return copy

    def apply_copy(self, copy: ttypes.Copy) -> None:
        """Apply what another instance sent, where it is newer.

        Raises ``BadFrameError`` if it can't be decompressed.
        """
        copy = unpack_copy(copy)
        if copy.config is not None:
            self._state.apply_config(unpack_object(copy.config))
        newer = copy.upstreams_revision > self._state.upstreams_revision
        if copy.upstreams is not None and newer:
            self._state.expect_lapses(copy.lapse_left / MS_PER_S)
            self._state.replace_upstreams(
                map(unpack_object, copy.upstreams), copy.upstreams_revision
            )
        jobs = [unpack_object(job) for job in copy.jobs]
        self._job_store.apply_changes(jobs, copy.jobs_revision)

    def _build_rows(self, request: ttypes.CopyRequest) -> ttypes.Copy:
        """Return the upstream entries and the jobs of a copy."""
        newer_jobs = self._newer_jobs(request.jobs_revision)
        copy = ttypes.Copy(
            upstreams_revision=self._state.upstreams_revision,
            jobs_revision=self._job_store.index.revision,
            jobs=list(map(pack_object, newer_jobs)),
            lapse_left=int(self._state.lapse_left * MS_PER_S),
        )
        if self._state.upstreams_revision > request.upstreams_revision:
            copy.upstreams = list(
                map(pack_object, self._state.upstreams.values())
            )
        return copy

    def _newer_jobs(self, revision: int) -> Iterable[StoredObject]:
        for entry in self._job_store.index.entries.values():
            if entry.stored.revision > revision:
                yield entry.stored
