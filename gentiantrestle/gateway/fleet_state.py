"""The configuration and the upstreams as this instance knows them."""

from collections.abc import Callable, Iterable

import xxhash

from gentiantrestle import events
from gentiantrestle.gateway.follower import NO_REVISION, StoreHandlers
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import DocumentDecoder, StoredObject
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router


class FleetState:
    """Applies the store's objects, read from the store or from a peer."""

    def __init__(
        self,
        decoder: DocumentDecoder,
        config_name: str,
        now: Callable[[], float],
        drain_time: float = 0,
    ) -> None:
        """Decode with ``decoder``; nothing is known yet.

        Upstreams that are leaving serve for ``drain_time`` s.
        """
        self.router = Router()
        self.roster = Roster(drain_time)
        self._decoder = decoder
        self._config_name = config_name
        self._now = now
        self.config: StoredObject | None = None
        self.upstreams: dict[str, StoredObject] = {}
        # Equal on instances whose entries have the same names and revisions.
        self.upstreams_fingerprint = 0
        self.on_change: Callable[[], None] = _nothing
        # Called with the version in force and a time of ``boottime``: the store
        # had nothing newer then.
        self.on_confirmed: Callable[[int, float], None] = _ignore_version
        # How long a watch may wait so that the configuration is confirmed
        # often enough, in s; 0 for no bound.
        self.confirm_wait: Callable[[], float] = float
        # Revision of a newer configuration that can't be read, or is gone.
        self._unread_revision = NO_REVISION
        # Called with the id of an upstream that is new or has started again.
        self.on_start: Callable[[str], None] = _ignore

    @property
    def config_version(self) -> int:
        """Version of the configuration in force."""
        return self.router.table.version

    @property
    def upstreams_revision(self) -> int:
        """Revision of the store at which the upstreams' entries were read."""
        return self.roster.revision

    @property
    def lapse_left(self) -> float:
        """How long entries that vanish still count as lapsed, in s."""
        return max(0, self.roster.lapse_until - self._now())

    def expect_lapses(self, seconds: float) -> None:
        """Treat entries that vanish within ``seconds`` as lapsed."""
        self.roster.expect_lapses_until(self._now() + seconds)

    def config_handlers(self) -> StoreHandlers:
        """Return the handlers for a follower of the configuration."""
        return StoreHandlers(
            self._replace_configs,
            self._change_configs,
            _nothing,
            lambda: self.config.revision if self.config else NO_REVISION,
            self.confirm_config,
            lambda: self.confirm_wait(),
        )

    def upstream_handlers(self) -> StoreHandlers:
        """Return the handlers for a follower of the upstreams' entries."""
        return StoreHandlers(
            self.replace_upstreams,
            self.change_upstreams,
            self._note_outage,
            lambda: self.upstreams_revision,
        )

    def apply_config(self, stored: StoredObject) -> None:
        """Put a configuration in force if it is newer and can be read."""
        table = self._decoder.read_table(stored)
        if table is None:
            self._note_unread(stored.revision)
            return
        if stored.revision >= self._unread_revision:
            self._unread_revision = NO_REVISION
        if not self.router.apply(table):
            return
        self.config = stored
        events.emit(
            events.CONFIG_APPLIED,
            revision=table.version,
            store_revision=stored.revision,
            routes=len(table.routes),
        )
        self.on_change()

    def confirm_config(self, confirmed_at: float) -> None:
        """Note that the store had told all configurations up to a time.

        That confirms nothing if the newest one can't be read, or is gone.
        """
        if self._unread_revision == NO_REVISION:
            self.on_confirmed(self.config_version, confirmed_at)

    def replace_upstreams(
        self,
        found: Iterable[StoredObject],
        revision: int,
    ) -> None:
        """Apply the whole list of entries as of a revision.

        An older one than what is known is passed over.
        """
        if revision < self.upstreams_revision:
            return
        listed = {stored.name: stored for stored in found if not stored.deleted}
        now = self._now()
        for name in set(self.upstreams) - set(listed):
            self._remove(name, now)
        for entry in listed.values():
            self._put(entry, now)
        self._finish_change(revision)

    def change_upstreams(
        self,
        found: Iterable[StoredObject],
        revision: int,
    ) -> None:
        """Apply changed entries, in the order of their changes.

        They are known if they lead to an older revision than the known one.
        """
        if revision < self.upstreams_revision:
            return
        now = self._now()
        for stored in found:
            if not stored.deleted:
                self._put(stored, now)
            elif not _is_newer(self.upstreams.get(stored.name), stored):
                self._remove(stored.name, now)
        self._finish_change(revision)

    def _replace_configs(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        listed = [stored for stored in found if self._is_config(stored)]
        if not listed:
            self._note_unread(revision)
        self._change_configs(listed, revision)

    def _change_configs(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        for stored in filter(self._is_config, found):
            if stored.deleted:
                self._note_unread(stored.revision)
            else:
                self.apply_config(stored)

    def _is_config(self, stored: StoredObject) -> bool:
        return stored.name == self._config_name

    def _note_unread(self, revision: int) -> None:
        if self.config is not None and revision <= self.config.revision:
            return
        self._unread_revision = max(self._unread_revision, revision)

    def _put(self, stored: StoredObject, now: float) -> None:
        known = self.upstreams.get(stored.name)
        if known is not None and known.revision >= stored.revision:
            return
        self.upstreams[stored.name] = stored
        upstream = self._decoder.read_upstream(stored)
        if upstream is None:
            self.roster.remove(stored.name, now)
        else:
            self._note_start(upstream)
            if upstream.draining:
                self.roster.note_draining(upstream, now)
            self.roster.put(upstream)

    def _note_start(self, upstream: Upstream) -> None:
        known = self.roster.find(upstream.id)
        if known is None or known.incarnation != upstream.incarnation:
            self.on_start(upstream.id)

    def _remove(self, name: str, now: float) -> None:
        self.upstreams.pop(name, None)
        self.roster.remove(name, now)

    def _note_outage(self) -> None:
        self.roster.note_outage(self._now())

    def _finish_change(self, revision: int) -> None:
        self.roster.revision = revision
        self.upstreams_fingerprint = _fingerprint(self.upstreams.values())
        entries = self.roster.entries()
        draining = sum(upstream.draining for upstream in entries)
        events.emit(
            events.UPSTREAMS_CHANGED,
            revision=revision,
            ready=len(entries) - draining,
            draining=draining,
            gone=0,
        )
        self.on_change()


def _is_newer(known: StoredObject | None, stored: StoredObject) -> bool:
    return known is not None and known.revision > stored.revision


def _fingerprint(entries: Iterable[StoredObject]) -> int:
    listed = sorted((entry.name, entry.revision) for entry in entries)
    return xxhash.xxh32_intdigest(repr(listed).encode())


def _ignore_version(version: int, confirmed_at: float) -> None:
    """Do nothing."""


def _ignore(upstream: str) -> None:
    """Do nothing."""


def _nothing() -> None:
    """Do nothing."""
