"""Plays of the heaviest load on virtual time: what do callers get?"""

import asyncio
import random
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.admission import Admission, SlotLease, SlotRequest
from gentiantrestle.gateway.batch.scheduling import start_budget
from gentiantrestle.gateway.loads import BatchBacklog, LoadBoard, LoadReport
from gentiantrestle.gateway.placement import Placement, Topology
from gentiantrestle.gateway.roster import Roster
from tests.gateway.samples import (
    ENGINES,
    ZONES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.virtual import play, virtual_now

INSTANCES = 9
ENGINE_COUNT = 6
SLOTS = 8
RUN_TIME = 0.7  # seconds a request holds its slot
TARGET = 0.3  # seconds to the first event
IN_TIME_SHARE = 0.95  # the users' target for first tokens
PLAY_TIME = 20.0  # seconds
AT_ONCE = TARGET / 4  # seconds: what callers take as an early refusal
CAPACITY = ENGINE_COUNT * SLOTS / RUN_TIME  # requests a second


class Outcome(NamedTuple):
    """What one caller got, and how long it waited for that, in s."""

    served: bool
    waited: float


class Engine:
    """Admits requests in order of arrival onto its slots."""

    def __init__(self) -> None:
        """Start empty."""
        self._slots = asyncio.Semaphore(SLOTS)

    async def run(self) -> float:
        """Run one request; return when it began."""
        async with self._slots:
            began = virtual_now()
            await asyncio.sleep(RUN_TIME)
            return began


class Fleet:
    """Instances that hear of each other's loads late."""

    def __init__(self, chance: Callable[[], float], lag: float) -> None:
        """Tell loads every ``lag`` s."""
        self.engines = {f'e{one}': Engine() for one in range(ENGINE_COUNT)}
        self._lag = lag
        self._boards = [LoadBoard() for _ in range(INSTANCES)]
        self.admissions = [
            self._admission(board, chance) for board in self._boards
        ]

    async def gossip(self) -> None:
        """Tell every board what the others run, again and again."""
        while True:
            for teller in range(INSTANCES):
                self._tell(teller)
            for admission in self.admissions:
                admission.dispatch()
            await asyncio.sleep(self._lag)

    async def ask(self, instance: int, name: str) -> Outcome:
        """Send one request by way of an instance."""
        came = virtual_now()
        admission = self.admissions[instance]
        wanted = SlotRequest(make_request(name, came), make_route(), ENGINES)
        try:
            lease = await admission.acquire(wanted)
        except RefusedError as exc:
            assert exc.refusal.retry_after
            return Outcome(False, virtual_now() - came)
        return await self._run(admission, lease, came)

    async def _run(
        self, admission: Admission, lease: SlotLease, came: float
    ) -> Outcome:
        began = await self.engines[lease.upstream.id].run()
        admission.release(lease)
        return Outcome(True, began - came)

    def _tell(self, teller: int) -> None:
        own = self._boards[teller]
        waiting = self.admissions[teller].waiting
        told = LoadReport(virtual_now(), dict(own.own_loads), waiting)
        for hearer in self._boards:
            if hearer is not own:
                hearer.set_peer_report(f'i{teller}', told)

    def _admission(
        self, board: LoadBoard, chance: Callable[[], float]
    ) -> Admission:
        roster = Roster()
        for name in self.engines:
            roster.put(make_upstream(name, slots=SLOTS))
        placement = Placement(Topology('a1', ZONES), board, chance)
        return Admission(roster, board, placement, virtual_now)


def play_load(
    share: float, *, spread: bool = True, lag: float = 0.05
) -> list[Outcome]:
    """Send ``share`` of what all slots can take, at random instances."""

    async def run() -> list[Outcome]:
        rng = random.Random(7)
        fleet = Fleet(rng.random if spread else lambda: 0, lag)
        telling = asyncio.create_task(fleet.gossip())
        asked = []
        while virtual_now() < PLAY_TIME:
            await asyncio.sleep(rng.expovariate(CAPACITY * share))
            name = f'r{len(asked)}'
            instance = rng.randrange(INSTANCES)
            asked.append(asyncio.create_task(fleet.ask(instance, name)))
        found = await asyncio.gather(*asked)
        telling.cancel()
        return found

    return play(run())


def in_time(outcomes: list[Outcome]) -> float:
    """Return the share of callers that were served within the target."""
    good = [one for one in outcomes if one.served and one.waited <= TARGET]
    return len(good) / len(outcomes)


def test_callers_are_served_in_time_while_there_are_slots() -> None:
    assert in_time(play_load(0.7)) >= IN_TIME_SHARE


def test_chance_keeps_late_news_from_sending_all_to_one_engine() -> None:
    spread = in_time(play_load(0.7, lag=0.3))
    together = in_time(play_load(0.7, lag=0.3, spread=False))
    assert spread > together


@pytest.mark.parametrize('share', [1.3, 2.0])
def test_what_can_t_be_served_is_refused_at_once(share: float) -> None:
    outcomes = play_load(share)
    refused = [one.waited for one in outcomes if not one.served]
    assert refused
    assert max(refused) <= TARGET
    # Most are told on arrival; the rest had a fair chance of a slot.
    assert median(refused) <= AT_ONCE
    served = sum(one.served for one in outcomes)
    assert served >= 0.9 * CAPACITY * PLAY_TIME


def play_starts(*, ranked: bool) -> int:
    """Have instances start items on free slots; return how many are too many.

    Each instance sees the same free slots, and what the others told before.
    """
    free = 4
    told = {
        f'i{one}': LoadReport(0, {}, 0, BatchBacklog(5, 1.0 + one))
        for one in range(INSTANCES)
    }
    started = 0
    for name, own in told.items():
        board = LoadBoard()
        for other, said in told.items():
            if other != name:
                board.set_peer_report(other, said)
        ahead = board.batch_ahead(own.batch_backlog, 0) if ranked else 0
        started += min(own.batch_backlog.count, start_budget(free, free, ahead))
    return started - free


def test_instances_together_start_no_more_items_than_slots_are_free() -> None:
    assert play_starts(ranked=True) == 0
    assert play_starts(ranked=False) > 0
