"""An event loop on virtual time: timers fire without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock of the loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock to the next timer and poll without waiting."""
        self.now += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, for simulations without sockets."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def virtual_now() -> float:
    """Return the virtual time of the running loop in seconds."""
    return asyncio.get_running_loop().time()
