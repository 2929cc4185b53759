"""Shows whether an answer that ends with its connection is whole.

It is if the run of the upstream that began it is still there after its end. A
new connection doesn't show that: another run of the upstream may have started
meanwhile, behind a partition or while this instance stood still.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.upstream_runs import (
    NO_SIGHTING,
    Sighting,
    UpstreamRuns,
    open_report_link,
)
from gentiantrestle.http.link import Link, RequestNotSentError
from gentiantrestle.http.witness import abort_opened

# Bytes on their way as a connection opens arrive within this time; it covers
# two round trips between regions and a lost packet.
IN_FLIGHT_TIME = 0.3  # seconds
# No upstream ends and starts again within this time.
RESTART_TIME = 0.3  # seconds
NEVER = float('inf')


class Evidence(NamedTuple):
    """What is known once an answer has ended; times are of the loop, in s.

    ``known`` are the runs that had begun before the request was sent at
    ``sent_at``, ``found`` is the one that is there now. ``witness`` answered on
    a connection that was opened at ``opened_at``; the last bytes of the answer
    came at ``part_at``.
    """

    known: frozenset[int]
    found: int | None
    witness: Sighting
    sent_at: float
    opened_at: float
    part_at: float

    @property
    def is_whole(self) -> bool:
        """Return whether one run was there from the request to the end.

        A run that had begun before the request, and is there now, was there
        all the while. Else the list is old, or the upstream doesn't tell its
        run. Then the run that answers on the second connection must be that of
        the answer: a connection leads to one run for its whole life.
        """
        if self.found in self.known:
            return True
        return self.witness.answered and self._is_of_witness

    @property
    def _is_of_witness(self) -> bool:
        """Return whether the answer was still sent as the witness was there."""
        has_outlasted = self.part_at >= self.opened_at + IN_FLIGHT_TIME
        return has_outlasted or self.opened_at < self.sent_at + RESTART_TIME


class AnswerEnd:
    """Collects the evidence for one answer, from its head on."""

    def __init__(
        self,
        runs: UpstreamRuns,
        upstream: Upstream,
        known: frozenset[int],
        sent_at: float,
        now: Callable[[], float],
    ) -> None:
        """Open a second connection; ``known`` is from before the request."""
        self._runs = runs
        self._sent_at = sent_at
        self._upstream = upstream
        self._known = known
        self._now = now
        self._opened_at = NEVER
        self._part_at = -NEVER
        self._opening = asyncio.create_task(self._open())

    def note_part(self) -> None:
        """Note that bytes of the answer have arrived."""
        self._part_at = self._now()

    async def is_whole(self) -> bool:
        """Return whether the answer, which has ended, is shown to be whole."""
        witness = await self._ask_witness()
        found = witness.incarnation
        if not witness.answered:
            found = await self._runs.ask(self._upstream)
        evidence = Evidence(
            self._known,
            found,
            witness,
            self._sent_at,
            self._opened_at,
            self._part_at,
        )
        if not evidence.is_whole:
            events.emit(
                events.ANSWER_END_UNPROVEN,
                upstream=self._upstream.id,
                known=sorted(self._known),
                found=found,
                witness=witness.answered,
            )
        return evidence.is_whole

    def close(self) -> None:
        """Close the second connection."""
        self._opening.cancel()
        self._opening.add_done_callback(abort_opened)

    async def _open(self) -> Link | None:
        try:
            link = await open_report_link(self._upstream)
        except RequestNotSentError as exc:
            events.emit(
                events.RUN_UNKNOWN,
                upstream=self._upstream.id,
                error=repr(exc),
            )
            return None
        self._opened_at = self._now()
        return link

    async def _ask_witness(self) -> Sighting:
        link = await self._opening
        if link is None or link.disconnected:
            return NO_SIGHTING
        return await self._runs.ask_on(link, self._upstream)
