"""The settings file of a running process, which may change at any time."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.platform.settings import NodeSettings, SettingsError

# The platform may change the file with or without a signal.
CHECK_INTERVAL = 1.0  # seconds
# What a running process applies; other changes need a restart.
LIVE_FIELDS = frozenset(('seeds',))


class SettingsFile:
    """The settings file, and what it said when it was last usable."""

    def __init__(self, path: str, node: NodeSettings) -> None:
        """Start with ``node``, which was read from ``path``."""
        self._path = path
        self.node = node
        self._woken = asyncio.Event()
        self._last_error = ''
        # Called with the new settings when one of ``LIVE_FIELDS`` changes.
        self.on_change: Callable[[NodeSettings], None] = _ignore

    @classmethod
    def from_path(cls, path: str) -> 'SettingsFile':
        """Read and check a file; raise ``SettingsError``."""
        return cls(path, NodeSettings.from_file(path))

    def request_reload(self) -> None:
        """Read the file again now."""
        events.emit(events.RELOAD_REQUESTED)
        self._woken.set()

    async def run(self) -> None:
        """Apply changes of the file until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL):
                    await self._woken.wait()
            self._woken.clear()
            self.check()

    def check(self) -> None:
        """Read the file and apply what has changed; log an unusable file."""
        try:
            node = NodeSettings.from_file(self._path)
        except SettingsError as exc:
            if str(exc) != self._last_error:
                events.emit(events.SETTINGS_UNUSABLE, error=str(exc))
            self._last_error = str(exc)
            return
        self._last_error = ''
        changed = {
            field
            for field in NodeSettings._fields
            if getattr(node, field) != getattr(self.node, field)
        }
        self.node = node
        if not changed:
            return
        events.emit(
            events.SETTINGS_CHANGED,
            seeds=' '.join(node.seeds),
            pending=' '.join(sorted(changed - LIVE_FIELDS)) or 'nothing',
        )
        if changed & LIVE_FIELDS:
            self.on_change(node)


def _ignore(node: NodeSettings) -> None:
    """Do nothing until a handler is set."""
