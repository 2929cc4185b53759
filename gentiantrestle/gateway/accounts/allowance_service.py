"""Charges requests to their accounts, over all instances."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Any

from gentiantrestle import allowance_events, events
from gentiantrestle.errors import ALLOWANCE_USED, RefusedError, Run, refuse
from gentiantrestle.gateway.accounts.allowance_charge import PendingCharge
from gentiantrestle.gateway.accounts.allowance_client import AllowanceClient
from gentiantrestle.gateway.accounts.allowance_counter import (
    ANSWER,
    ASK,
    CONFIRMED,
    MS_PER_S,
    RETURN,
    SPENT,
    AllowanceCounter,
    Outgoing,
)
from gentiantrestle.gateway.accounts.allowance_ledger import Limits
from gentiantrestle.gateway.accounts.allowance_owners import AllowanceOwners
from gentiantrestle.gateway.accounts.allowance_terms import AllowanceBook
from gentiantrestle.gateway.accounts.model import AllowanceTerms
from gentiantrestle.gateway.fleet_context import FleetContext
from gentiantrestle.gateway.membership.messages import InstanceStatus
from gentiantrestle.gateway.model import Request
from gentiantrestle.wire.peer import ttypes

COUNTING_TICK = 0.05  # seconds between two looks at what is due
IDLE_TICK = 0.25  # seconds, while no account has a limit
TICKS_PER_UPDATE = 4  # the other instances are looked at less often


class AllowanceService:
    """Connects the counter and the client to the other instances."""

    def __init__(
        self,
        fleet: FleetContext,
        terms: AllowanceTerms,
        read_status: Callable[[], InstanceStatus],
    ) -> None:
        """Receive at the port of ``fleet``; nothing is sent yet.

        ``read_status`` returns what this instance says about itself.
        """
        identity = fleet.identity
        self._fleet = fleet
        self._read_status = read_status
        # Counts while the machine is suspended, too: others go on then.
        self._now = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
        self._owners = AllowanceOwners(
            identity.instance, identity.host, identity.zone
        )
        self._book = AllowanceBook(fleet.state.router, terms)
        self._counter = AllowanceCounter(self._owners, self._book)
        self._client = AllowanceClient(
            fleet.run_name, identity.host, self._counter, self._send
        )
        self._counter.on_standstill = self._note_standstill
        # Called with the outcome of each charge.
        self.record: Callable[[str], None] = _record_nothing
        fleet.port.on(ASK, self._answer)
        fleet.port.on(
            ANSWER, lambda answer: self._client.receive(answer, self._now())
        )
        fleet.port.on(RETURN, self._take_back)
        fleet.port.on(SPENT, self._note_spent)
        fleet.port.on(
            CONFIRMED,
            lambda told: self._counter.note_confirmed(told, self._now()),
        )

    async def run(self) -> None:
        """Send what is due until cancelled."""
        ticks = 0
        while True:
            if self._book.limits:
                self._tick(update=ticks % TICKS_PER_UPDATE == 0)
                ticks += 1
            await asyncio.sleep(
                COUNTING_TICK if self._book.limits else IDLE_TICK
            )

    @asynccontextmanager
    async def charge(self, req: Request) -> AsyncIterator[None]:
        """Charge a request to its account while it is served.

        Raises ``RefusedError`` beyond the allowance. A request that ends with
        a refusal, as it has not run, is not charged.
        """
        limits = self._book.find(req.account) if req.account else None
        if limits is None:
            yield
            return
        charge = await self._take(req, limits)
        try:
            yield
        except RefusedError as exc:
            if exc.refusal.kind.run is Run.NOT_RUN:
                self._client.give_back(charge, self._now())
                self.record('returned')
            raise

    async def _take(self, req: Request, limits: Limits) -> PendingCharge:
        charge = self._client.begin(req.account, limits, self._now())
        try:
            await self._settle(charge)
        except asyncio.CancelledError:
            self._client.withdraw(charge, self._now())
            raise
        self._note_verdict(req, charge)
        return charge

    async def _settle(self, charge: PendingCharge) -> None:
        settled = asyncio.Event()
        charge.on_settled = settled.set
        while charge.verdict is None:
            with suppress(TimeoutError):
                async with asyncio.timeout(charge.next_at - self._now()):
                    await settled.wait()
            if charge.verdict is None and self._now() >= charge.next_at:
                self._client.advance(charge, self._now())

    def _note_verdict(self, req: Request, charge: PendingCharge) -> None:
        verdict = charge.verdict
        outcome = 'granted' if verdict.granted else 'refused'
        self.record(f'{outcome} alone' if charge.is_alone else outcome)
        if charge.is_alone:
            events.emit(
                allowance_events.CHARGED_ALONE,
                account=req.account,
                request=req.id,
                granted=verdict.granted,
            )
        if verdict.granted:
            return
        events.emit(
            allowance_events.ALLOWANCE_USED_UP,
            request=req.id,
            account=req.account,
            wait_ms=round(verdict.wait * MS_PER_S),
            asked=[known.instance for known in charge.order],
        )
        raise refuse(
            ALLOWANCE_USED,
            'The account has used up its allowance',
            verdict.wait,
        )

    def _tick(self, *, update: bool) -> None:
        # First of all: what others counted meanwhile must not be forgotten.
        self._counter.notice_standstill(self._now())
        if update:
            status = self._read_status()
            now = self._fleet.clock.now()
            self._owners.update(
                self._fleet.peers.alive(now),
                now,
                leaving=status.leaving,
                starting=status.starting,
            )
        now = self._now()
        for outgoing in self._counter.tick(now):
            self._send(outgoing)
        self._client.tick(now)

    def _send(self, outgoing: Outgoing) -> None:
        self._fleet.port.send((outgoing.host,), outgoing.kind, outgoing.message)

    def _answer(self, ask: ttypes.AllowanceAsk) -> None:
        answer = self._counter.answer(ask, self._now())
        if answer is not None:
            self._send(Outgoing(ask.host, ANSWER, answer))

    def _note_spent(self, spent: ttypes.AllowanceSpent) -> None:
        confirmation = self._counter.note_spent(spent, self._now())
        if confirmation is not None:
            self._send(confirmation)

    def _take_back(self, message: ttypes.AllowanceReturn) -> None:
        key = (message.holder, message.number)
        self._counter.give_back(key, message.account, self._now())

    def _note_standstill(self, gap: float, now: float) -> None:
        events.emit(
            allowance_events.COUNTS_DISTRUSTED, gap_ms=round(gap * MS_PER_S)
        )
        self._client.note_standstill(gap, now)


def _record_nothing(outcome: Any) -> None:
    """Record nothing; the default until metrics are set up."""
