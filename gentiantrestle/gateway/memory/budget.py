"""How many bytes an instance holds for callers, upstreams and items; no I/O.

Made for callers and upstreams that read slowly beside sound ones: what is held
for them is bounded, and small requests and answers pass while the rest waits.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple, Self

from gentiantrestle import events
from gentiantrestle.errors import MEMORY_FULL, TOO_LARGE, refuse

# Of the memory of the process; the rest is for the program and its buffers.
BUDGET_SHARE = 0.4
# What is held is in the connection's buffers, too, before and after.
COPIES = 3
# What is no larger may also use this share beyond the budget.
SMALL = 65536  # bytes
SMALL_SHARE = 0.1
MAX_WAIT = 1.0  # seconds that reading is paused for room
RETRY_AFTER = 0.5  # seconds


class Use(NamedTuple):
    """What bytes are held for; it may take the budget up to ``share``."""

    name: str
    share: float


# What runs already goes before what could run. Items count for themselves.
ITEMS_SHARE = 0.3
BODIES_SHARE = 0.6
BODIES = Use('bodies', BODIES_SHARE)
ANSWERS = Use('answers', 1)


class MemoryBudget:
    """The bytes that may be held, and those that are."""

    def __init__(self, limit: int = 0) -> None:
        """Hold nothing yet; ``limit`` is in bytes, 0 for none."""
        self.limit = limit
        self.used = 0
        # Returns the bytes of the items that are held for jobs.
        self.read_items: Callable[[], int] = int
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._open: dict[Use, dict[Claim, None]] = {}

    @classmethod
    def from_memory(cls, memory: int) -> 'MemoryBudget':
        """Return the budget of a process of ``memory`` bytes; 0 sets none."""
        return cls(int(memory * BUDGET_SHARE))

    @property
    def held(self) -> int:
        """Count the bytes held for callers, upstreams and items."""
        return self.used + self.read_items()

    def has_room(self, use: Use, size: int) -> bool:
        """Return whether ``size`` more bytes fit for a use."""
        if not self.limit:
            return True
        bound = self.limit * use.share
        if size <= SMALL:
            bound = max(bound, self.limit) + self.limit * SMALL_SHARE
        return self.held + size * COPIES <= bound

    def has_room_for_items(self, size: int) -> bool:
        """Return whether ``size`` bytes of items may be read from the store.

        Those of one job always may, so that jobs get on.
        """
        if not self.limit:
            return True
        held = self.read_items()
        return not held or held + size <= self.limit * ITEMS_SHARE

    def can_ever_hold(self, use: Use, size: int) -> bool:
        """Return whether ``size`` bytes fit for a use if nothing is held."""
        return not self.limit or size * COPIES <= self.limit * use.share

    def claim(self, use: Use) -> 'Claim':
        """Open a claim; it holds nothing yet and must be closed."""
        return Claim(self, use)

    def is_first(self, claim: 'Claim', use: Use) -> bool:
        """Return whether no older claim of a use is open.

        That one may go beyond the budget: of many that grow side by side, and
        wait for each other, one after the other gets to its end.
        """
        opened = self._open.setdefault(use, {})
        opened.setdefault(claim)
        return next(iter(opened)) is claim

    def forget(self, claim: 'Claim', use: Use) -> None:
        """Note that a claim is closed."""
        self._open.get(use, {}).pop(claim, None)
        self.wake()

    def change(self, size: int) -> None:
        """Hold ``size`` more bytes, or fewer."""
        self.used += size * COPIES

    def wake(self) -> None:
        """Let all who wait for room look again, in the order of arrival."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until bytes were given back."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter


class Claim:
    """The bytes held for one request or answer."""

    def __init__(self, budget: MemoryBudget, use: Use) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._use = use
        self.size = 0

    def __enter__(self) -> Self:
        """Return the claim."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give back all that is held."""
        self.close()

    def expect(self, size: int) -> None:
        """Refuse at once what has no room for ``size`` bytes now.

        Raises ``RefusedError``, ``TOO_LARGE`` for what never fits.
        """
        self._check_possible(size)
        if not self._budget.has_room(self._use, size):
            self._refuse(size)

    async def grow(self, size: int) -> None:
        """Hold ``size`` more bytes, once there is room.

        Raises ``RefusedError`` if there is none for ``MAX_WAIT`` s.
        """
        self._check_possible(self.size + size)
        if not self._has_room(size):
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT):
                    await self._wait_for_room(size)
            if not self._has_room(size):
                self._refuse(self.size + size)
        self.size += size
        self._budget.change(size)

    def close(self) -> None:
        """Give back all that is held; may be called again."""
        self._budget.change(-self.size)
        self.size = 0
        self._budget.forget(self, self._use)

    async def _wait_for_room(self, size: int) -> None:
        while not self._has_room(size):
            await self._budget.wait()

    def _has_room(self, size: int) -> bool:
        """Return whether more fits; what is small as a whole stays so."""
        is_small = self.size + size <= SMALL
        counted = size if is_small else max(size, SMALL + 1)
        return self._budget.is_first(self, self._use) or self._budget.has_room(
            self._use, counted
        )

    def _check_possible(self, size: int) -> None:
        if not self._budget.can_ever_hold(self._use, size):
            raise refuse(
                TOO_LARGE, f'{size} bytes exceed the memory of this instance'
            )

    def _refuse(self, size: int) -> None:
        budget = self._budget
        events.emit(
            events.MEMORY_REFUSED,
            use=self._use.name,
            size=size,
            held=budget.held,
            limit=budget.limit,
        )
        raise refuse(
            MEMORY_FULL, 'The memory of this instance is in use', RETRY_AFTER
        )
