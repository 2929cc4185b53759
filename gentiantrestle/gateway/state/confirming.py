"""Keeps the configuration confirmed while the settings bound revocations."""

import asyncio
import math
import random
from collections.abc import Iterator

from gentiantrestle import events
from gentiantrestle.gateway.fleet_context import FleetContext
from gentiantrestle.gateway.ports import ObjectKinds, ObjectStore
from gentiantrestle.gateway.state.confirmation import (
    NEVER,
    Claim,
    ConfigConfirmation,
)
from gentiantrestle.gateway.state.confirmation_asks import (
    ConfirmationAsks,
    Situation,
)
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.supervisor import Child
from gentiantrestle.wire.peer import ttypes

ASK = 'confirmation_ask'
ANSWER = 'confirmation_answer'
STORE = 'store'
# Also how soon an instance asks after it has stood still.
TICK = 0.1  # seconds
MS_PER_S = 1000


class ConfigConfirming:
    """Asks and answers other instances how new the configuration is.

    Nothing is sent where the configuration has no accounts, or the settings
    have no ``revocation_time``.
    """

    def __init__(
        self,
        fleet: FleetContext,
        revocation_time: float,
        store: ObjectStore,
        kinds: ObjectKinds,
    ) -> None:
        """Prepare; ``revocation_time`` is in s, 0 sets no bound."""
        self._fleet = fleet
        self._state = fleet.state
        self._store = store
        self._kinds = kinds
        self.confirmation = ConfigConfirmation(
            revocation_time, lambda: self._state.config_version
        )
        self._asks = ConfirmationAsks(
            fleet.identity.zone,
            revocation_time,
            random.Random(fleet.identity.incarnation),
        )
        self._was_fresh = False
        # Returns whether this instance watches the store and reaches it.
        self.is_watching = bool
        self._state.on_confirmed = self._note_store
        self._state.confirm_wait = self._confirm_wait
        if revocation_time:
            fleet.port.on(ASK, self._answer)
            fleet.port.on(ANSWER, self._apply)

    @property
    def is_needed(self) -> bool:
        """Return whether requests depend on the confirmation."""
        has_accounts = self._state.router.table.accounts is not None
        return has_accounts and self.confirmation.revocation_time > 0

    @property
    def age(self) -> float:
        """Return the age of the confirmation in s; 0 if none is needed."""
        return self.confirmation.age(self._now()) if self.is_needed else 0

    def is_fresh(self) -> bool:
        """Return whether the keys of the configuration may still be served."""
        if not self.is_needed:
            return True
        is_fresh = self.confirmation.is_fresh(self._now())
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self._log()
        return is_fresh

    def children(self) -> Iterator[Child]:
        """Yield the tasks that the supervisor runs."""
        if self.confirmation.revocation_time:
            yield Child('confirmations', self._ask_on)
            yield Child('confirming reads', self._read_on)

    async def _ask_on(self) -> None:
        while True:
            if self.is_needed:
                self._send_due()
                self.is_fresh()
            await asyncio.sleep(TICK)

    def _send_due(self) -> None:
        now = self._now()
        for question in self._asks.plan(now, self._situation(now)):
            ask = ttypes.ConfirmationAsk(
                question.number, self._fleet.identity.host
            )
            self._fleet.port.send((question.target.host,), ASK, ask)

    def _answer(self, ask: ttypes.ConfirmationAsk) -> None:
        answer = ttypes.ConfirmationAnswer(
            ask.number, self._state.config_version
        )
        age = self.confirmation.age(self._now())
        if age < self.confirmation.revocation_time:
            answer.age = math.ceil(age * MS_PER_S)
        self._fleet.port.send((ask.host,), ANSWER, answer)

    def _apply(self, answer: ttypes.ConfirmationAnswer) -> None:
        question = self._asks.close(answer.number, self._now())
        if question is None or answer.age is None:
            return
        # The answer may have been on its way for long; the question was sent
        # before the age was taken.
        at = question.asked_at - max(0, answer.age) / MS_PER_S
        source = question.target.instance or question.target.host
        self.confirmation.confirm(Claim(answer.config_version, at, source))

    async def _read_on(self) -> None:
        while True:
            now = self._now()
            if self.is_needed and self._asks.must_read(
                now, self._situation(now)
            ):
                await self._read(now)
            await asyncio.sleep(TICK)

    async def _read(self, asked_at: float) -> None:
        """Read the configuration that the store has now."""
        name = self._kinds.config_name
        try:
            stored = await self._store.get(self._kinds.config, name)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=name, error=repr(exc))
            return
        if stored is None:
            return
        self._state.apply_config(stored)
        self._state.confirm_config(asked_at)

    def _situation(self, now: float) -> Situation:
        clock_now = self._fleet.clock.now()
        peers = self._fleet.peers
        zone = self._fleet.identity.zone
        return Situation(
            self.confirmation.age(now),
            self.is_watching(),
            peers.alive(clock_now),
            sorted({*peers.seeds, *peers.known_hosts(zone, clock_now)}),
        )

    def _note_store(self, version: int, confirmed_at: float) -> None:
        self.confirmation.confirm(Claim(version, confirmed_at, STORE))

    def _confirm_wait(self) -> float:
        return self.confirmation.watch_wait if self.is_needed else 0

    def _log(self) -> None:
        last = self.confirmation.last
        if self._was_fresh:
            events.emit(
                events.CONFIG_CONFIRMED,
                version=self._state.config_version,
                source=last.source,
            )
            return
        age = self._now() - last.at if last.at > NEVER else 0
        events.emit(
            events.CONFIG_UNCONFIRMED,
            version=self._state.config_version,
            age_ms=round(age * MS_PER_S),
            source=last.source,
        )

    def _now(self) -> float:
        return self._fleet.clock.boot()
