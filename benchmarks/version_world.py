"""Parts of a simulated fleet before upstreams of two versions."""

import heapq
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

OLD, NEW = 'v1', 'v2'
Weights = Mapping[str, int]
Reply = Callable[[str | None], None]


class Load(NamedTuple):
    """Sizes of a fleet; ``rate`` is in streams a second."""

    rate: float
    instances: int
    zones: int
    upstreams: int
    slots: int = 8


class Plan(NamedTuple):
    """What is played: how versions change, and how many instances end when."""

    load: Load
    release: str
    killed: int
    kill_at: float
    seconds: float
    seed: int


class Engine:
    """An upstream; what runs when it is replaced is finished."""

    def __init__(self, version: str, slots: int) -> None:
        """Start empty."""
        self.version = version
        self.slots = slots
        self.running = 0


class Instance:
    """What an instance knows, and when it ended.

    ``records`` are versions by attempt, ``began`` those that it began, with
    their time, ``unwritten`` those that it is to write as a coordinator, and
    ``overdue`` those that the first coordinator has not confirmed in time.
    """

    def __init__(self, zone: int, engines: list[Engine]) -> None:
        """Know the upstreams and no records."""
        self.zone = zone
        self.engines = engines
        self.gone_at: float | None = None
        self.epoch = 0
        self.records: dict[str, str] = {}
        self.began: dict[str, float] = {}
        self.unwritten: dict[str, str] = {}
        self.overdue: set[str] = set()

    @property
    def up(self) -> bool:
        """Return whether it runs."""
        return self.gone_at is None


class Stream:
    """A caller's stream; ``version`` began it, ``kind`` is why it broke."""

    def __init__(self, name: str) -> None:
        """Use ``name`` as the id of the first attempt."""
        self.name = name
        self.version = ''
        self.begun_at = float(0)
        self.runs = 0
        self.running = False
        self.kind = ''
        self.engine: Engine
        self.instance: Instance


class Arm(Protocol):
    """Decides at which versions streams run."""

    def choose(self, instance: Instance, name: str) -> tuple[str, ...]:
        """Return versions for a new stream, the best first; '' is any."""

    def note_begun(self, instance: Instance, stream: Stream) -> None:
        """Note that an instance has passed on the first event of a run."""

    def note_change(self, instance: Instance) -> None:
        """Note that an instance has learned of other versions."""

    def resolve(self, instance: Instance, name: str, reply: Reply) -> None:
        """Reply with a stream's version, '' for any, or None to refuse."""


class _Call(NamedTuple):
    due_at: float
    number: int
    call: Callable[[], None]


class Clock:
    """Calls functions in virtual time; ``now`` is in s."""

    def __init__(self) -> None:
        """Start at time zero."""
        self.now = float(0)
        self._due: list[_Call] = []
        self._count = 0

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call something ``delay`` s later."""
        self._count += 1
        due = _Call(self.now + delay, self._count, call)
        heapq.heappush(self._due, due)

    def run(self, seconds: float) -> None:
        """Run until the time is over."""
        while self._due and self._due[0].due_at <= seconds:
            due = heapq.heappop(self._due)
            self.now = due.due_at
            due.call()
