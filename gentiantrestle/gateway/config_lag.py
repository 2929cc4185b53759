"""For how long others have had a newer configuration than this instance."""

from collections.abc import Iterable

from gentiantrestle import events
from gentiantrestle.gateway.membership.peers import Peer


class ConfigLag:
    """Measures the lag, and logs each newer version when it is heard of."""

    def __init__(self) -> None:
        """Start with nothing missing."""
        self._missing = 0
        self._since = float(0)

    def update(self, known: int, peers: Iterable[Peer], now: float) -> None:
        """Compare the version in force here with those of ``peers``."""
        ahead = max(peers, key=_config_version, default=None)
        newest = _config_version(ahead) if ahead else 0
        if newest <= known:
            self._missing = 0
            return
        if not self._missing:
            self._since = now
        if newest > self._missing:
            self._missing = newest
            events.emit(
                events.CONFIG_BEHIND,
                instance=ahead.instance,
                version=newest,
                known=known,
            )

    def is_behind(self, known: int) -> bool:
        """Return whether a version newer than ``known`` was heard of."""
        return self._missing > known

    def seconds(self, now: float) -> float:
        """Return for how long a newer version has been known, or 0."""
        return now - self._since if self._missing else 0


def _config_version(peer: Peer) -> int:
    return peer.config_version
