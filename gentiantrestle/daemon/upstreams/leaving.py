"""Marks of leaving upstreams, whatever source they come from; no I/O."""


class LeavingMarks:
    """A mark sticks until a newer incarnation of the upstream appears."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks: dict[str, int] = {}

    def __contains__(self, name: str) -> bool:
        """Tell whether an upstream is leaving."""
        return name in self._marks

    def mark(self, name: str, incarnation: int) -> bool:
        """Mark an incarnation as leaving; tell whether that is news."""
        known = self._marks.get(name)
        self._marks[name] = max(incarnation, known or 0)
        return known is None

    def clear(self, name: str, incarnation: int) -> None:
        """Take a live incarnation in; only a newer one clears a mark."""
        known = self._marks.get(name)
        if known is not None and incarnation > known:
            self._marks.pop(name)
