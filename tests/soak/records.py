"""What callers and the play note down; times are Unix times in seconds."""

import re
from typing import NamedTuple

from standins.upstream import encode_event

# Item id, state and output.
Row = tuple[str, str, str]
EVENT = re.compile(rb'id: (\d+)\ndata: [^\n]*\n\n')
# The software version in events and in the output of items.
VERSION_MARK = re.compile(r'@(\w*)')


class CallerRequest(NamedTuple):
    """One request of a caller; ``status`` is 0 if no response came.

    A stream that is taken up goes on ``after`` an event; ``first`` is the
    request that brought its first event. ``left`` means that the caller closed
    its connection, ``leaving`` that the upstream said it was leaving, and
    ``reached`` that the entry accepted the connection.
    """

    id: str
    kind: str
    entry: int
    sent: float
    ended: float
    status: int
    complete: bool
    body: bytes
    events: int = 0
    after: int = 0
    first: str = ''
    left: bool = False
    leaving: bool = False
    reached: bool = True

    def is_body_correct(self) -> bool:
        """Tell whether the body, as far as received, is the expected one."""
        expected = b'plain'
        if self.events:
            numbers = range(self.after + 1, self.events + 1)
            expected = b''.join(
                encode_event(self.id, number) for number in numbers
            )
        body = VERSION_MARK.sub('', self.body.decode()).encode()
        if self.complete:
            return body == expected
        return expected.startswith(body)

    @property
    def last_event(self) -> int:
        """Return the id of the last whole event, or 0."""
        found = EVENT.findall(self.body)
        return int(found[-1]) if found else 0

    @property
    def versions(self) -> set[str]:
        """Return the software versions that have made the events."""
        return set(VERSION_MARK.findall(self.body.decode()))


class Page(NamedTuple):
    """Results of a job that a caller read, from position ``after`` on."""

    job: str
    after: int
    total: int
    rows: tuple[Row, ...]
    at: float


class Cancellation(NamedTuple):
    """An acknowledged cancellation of a job."""

    job: str
    at: float


class Probe(NamedTuple):
    """Whether a run of an entry served the route that a version added."""

    entry: int
    run: int
    version: int
    sent: float
    ended: float
    found: bool


class Drain(NamedTuple):
    """The time during which an upstream is registered as draining.

    It begins when the store has acknowledged the state.
    """

    upstream: str
    at: float
    until: float = float('inf')


class Serving(NamedTuple):
    """The time during which an upstream is registered and not leaving."""

    upstream: str
    version: str
    at: float
    until: float = float('inf')


class Silence(NamedTuple):
    """The time during which a sound upstream says nothing."""

    at: float
    until: float
