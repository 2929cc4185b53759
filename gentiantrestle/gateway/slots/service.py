"""Connects the slot coordinator and the slot client to the other instances."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from gentiantrestle.gateway.datagrams import DatagramPort
from gentiantrestle.gateway.slots.batch_asks import BatchAsks
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.codec import PACKERS, UNPACKERS
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.directory import SlotDirectory
from gentiantrestle.gateway.slots.messages import (
    ANSWER,
    ASK,
    LEAVING,
    RATE_LIMIT,
    RELEASE,
    REPORT,
    SUMS,
    YIELD,
    LeaseKey,
    Outgoing,
    ZoneSums,
)
from gentiantrestle.gateway.slots.remote_zones import RemoteZones

# Seconds between two looks at what is due: while slots are counted here, while
# some are held or asked for, and otherwise.
COUNTING_TICK = 0.05
USING_TICK = 0.2
IDLE_TICK = 0.5
SUMS_INTERVAL = 0.5  # seconds until unchanged sums are sent again
CHANGED_SUMS_INTERVAL = 0.1  # seconds between sums that change


class SlotParts(NamedTuple):
    """The parts that decide."""

    coordinator: SlotCoordinator
    client: SlotClient
    batch_asks: BatchAsks
    remote: RemoteZones
    directory: SlotDirectory


class SlotSender:
    """Encodes messages and sends them by a datagram port."""

    def __init__(self, port: DatagramPort) -> None:
        """Send by ``port``."""
        self.port = port

    def send(self, outgoing: Outgoing) -> None:
        """Send one message."""
        self.send_to((outgoing.host,), outgoing.kind, outgoing.message)

    def send_to(self, hosts: Iterable[str], kind: str, message: Any) -> None:
        """Send a message to some hosts."""
        self.port.send(hosts, kind, PACKERS[kind](message))


class SlotService:
    """Passes messages to the parts, and theirs to the other instances."""

    def __init__(
        self,
        instance: str,
        parts: SlotParts,
        sender: SlotSender,
        now: Callable[[], float],
    ) -> None:
        """Receive at the port of ``sender``; nothing is sent yet."""
        self.parts = parts
        self._instance = instance
        self._sender = sender
        self._now = now
        self._sums = ZoneSums('', ())
        self._sums_sent_at = float('-inf')
        # Stops the batch item that holds a slot.
        self.preempt: Callable[[int], None] = _preempt_nothing
        coordinator, client = parts.coordinator, parts.client
        self._on(ASK, lambda ask: self._decide(coordinator.ask, ask))
        self._on(
            RELEASE, lambda release: self._decide(coordinator.release, release)
        )
        self._on(
            RATE_LIMIT,
            lambda notice: self._decide(coordinator.note_rate_limit, notice),
        )
        self._on(
            LEAVING, lambda notice: client.mark_leaving(*notice, self._now())
        )
        self._on(REPORT, lambda report: self._decide(coordinator.apply, report))
        self._on(SUMS, self._receive_sums)
        self._on(ANSWER, client.receive)
        self._on(YIELD, self._receive_yield)

    async def run(self) -> None:
        """Send what is due until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(self._pause)

    def forget_health(self, upstream: str) -> None:
        """Take an upstream that has started again for healthy."""
        self.parts.coordinator.health.forget(upstream)
        self.parts.client.health.forget(upstream)

    def tick(self) -> None:
        """Send what is due now."""
        now = self._now()
        leading = self._is_leading(now)
        if not self.parts.coordinator.is_idle:
            self._send_all(self.parts.coordinator.tick(now, leading=leading))
        self.parts.batch_asks.send_due(now)
        self.parts.client.send_reports(now)
        if leading:
            self._send_sums(now)

    def _on(self, kind: str, handler: Callable[[Any], None]) -> None:
        unpack = UNPACKERS[kind]
        self._sender.port.on(kind, lambda message: handler(unpack(message)))

    def _decide(
        self,
        decide: Callable[[Any, float], Iterable[Outgoing]],
        message: Any,
    ) -> None:
        self._send_all(decide(message, self._now()))

    def _send_all(self, messages: Iterable[Outgoing]) -> None:
        for outgoing in messages:
            self._sender.send(outgoing)

    def _send_sums(self, now: float) -> None:
        """Tell the other zones of this zone's free slots."""
        elapsed = now - self._sums_sent_at
        if elapsed < CHANGED_SUMS_INTERVAL:
            return
        sums = self.parts.coordinator.sums(now)
        if sums == self._sums and elapsed < SUMS_INTERVAL:
            return
        self._sums = sums
        self._sums_sent_at = now
        hosts = self.parts.directory.remote_hosts(now)
        self._sender.send_to(hosts, SUMS, sums)

    @property
    def _pause(self) -> float:
        """Seconds until something can be due."""
        if self._is_leading(self._now()):
            return COUNTING_TICK
        in_use = self.parts.client.is_busy or self.parts.batch_asks.is_busy
        return USING_TICK if in_use else IDLE_TICK

    def _is_leading(self, now: float) -> bool:
        """Return whether this instance is the first to coordinate its zone."""
        zone = self.parts.coordinator.zone
        first = self.parts.directory.coordinators(zone, now)[:1]
        return bool(first) and first[0].instance == self._instance

    def _receive_sums(self, sums: ZoneSums) -> None:
        now = self._now()
        self.parts.remote.put(sums, now)
        self._send_all(self.parts.coordinator.dispatch(now))

    def _receive_yield(self, key: LeaseKey) -> None:
        lease = self.parts.client.held_lease(key)
        if lease is not None and lease.batch:
            self.preempt(lease.number)


def _preempt_nothing(number: int) -> None:
    """Do nothing until batch work is set up."""
