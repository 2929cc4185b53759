"""The set of upstreams that are leaving; no I/O."""


class LeavingUpstreams:
    """The set of leaving upstreams.

    A name stays in it until a newer incarnation of the upstream is live.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._incarnations: dict[str, int] = {}

    def __contains__(self, name: str) -> bool:
        """Tell whether an upstream is leaving."""
        return name in self._incarnations

    def add(self, name: str, incarnation: int) -> bool:
        """Add an incarnation; return False if the name was already there."""
        known = self._incarnations.get(name)
        self._incarnations[name] = max(incarnation, known or 0)
        return known is None

    def clear_if_newer(self, name: str, incarnation: int) -> None:
        """Remove an upstream if this live incarnation is a newer one."""
        known = self._incarnations.get(name)
        if known is not None and incarnation > known:
            self._incarnations.pop(name)
