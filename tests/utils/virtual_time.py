"""An event loop whose clock jumps: waits take no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Instead of waiting, moves the loop's clock on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(self, timeout: float | None = None) -> list[Any]:
        """Skip the time until the next timer."""
        self.now += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time, for plays without sockets."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._jumping.now


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def virtual_now() -> float:
    """Return the virtual time of the running loop in s."""
    return asyncio.get_running_loop().time()
