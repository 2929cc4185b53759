"""Copies configuration, upstreams and jobs between instances; no I/O.

Instances that don't watch the store themselves get their state this way.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.zone_watcher import Revisions
from gentiantrestle.wire.peer import ttypes

MS_PER_S = 1000
ENCODE_ERRORS = (TypeError, ValueError, OverflowError, RecursionError)
DECODE_ERRORS = (TypeError, ValueError, RecursionError)


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
        )

    def build_copy(self, request: ttypes.CopyRequest) -> ttypes.Copy:
        """Return what is newer here than the revisions in a request."""
        copy = ttypes.Copy(
            upstreams_revision=self._state.upstreams_revision,
            jobs_revision=self._job_store.index.revision,
            jobs=list(map(_pack, self._newer_jobs(request.jobs_revision))),
            lapse_left=int(self._state.lapse_left * MS_PER_S),
        )
        if (
            self._state.config
            and self._state.config_version > request.config_version
        ):
            copy.config = _pack(self._state.config)
        if self._state.upstreams_revision > request.upstreams_revision:
            copy.upstreams = list(map(_pack, self._state.upstreams.values()))
        return copy

    def apply_copy(self, copy: ttypes.Copy) -> None:
        """Apply what another instance sent, where it is newer."""
        if copy.config is not None:
            self._state.apply_config(_unpack(copy.config))
        newer = copy.upstreams_revision > self._state.upstreams_revision
        if copy.upstreams is not None and newer:
            self._state.expect_lapses(copy.lapse_left / MS_PER_S)
            self._state.replace_upstreams(
                map(_unpack, copy.upstreams), copy.upstreams_revision
            )
        jobs = [_unpack(job) for job in copy.jobs]
        self._job_store.apply_changes(jobs, copy.jobs_revision)

    def _newer_jobs(self, revision: int) -> Iterable[StoredObject]:
        for entry in self._job_store.index.entries.values():
            if entry.stored.revision > revision:
                yield entry.stored


def _pack(stored: StoredObject) -> ttypes.KnownObject:
    """Encode an object; without its content if that can't be encoded."""
    try:
        content = msgspec.json.encode([stored.content, stored.status])
    except ENCODE_ERRORS as exc:
        events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc))
        content = msgspec.json.encode([None, None])
    return ttypes.KnownObject(stored.name, stored.revision, content)


def _unpack(known_object: ttypes.KnownObject) -> StoredObject:
    """Decode an object; one that can't be decoded says so."""
    stored = StoredObject(known_object.name, known_object.revision, None)
    try:
        content, status = msgspec.json.decode(
            known_object.content, type=list[Any]
        )
    except DECODE_ERRORS as exc:
        return stored._replace(error=repr(exc))
    return stored._replace(content=content, status=status)
