"""A simulated fleet that shares engines by slot coordinators, in virtual time.

The decisions are the product's; datagrams and engines are simulated. Datagrams
are delayed and lost, and instances can be killed, frozen or cut off.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.membership.peers import Peer, rank_zone
from gentiantrestle.gateway.model import (
    Request,
    Route,
    RouteKind,
    Share,
    Upstream,
)
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.slots.batch_asks import BatchAsks, WantedSlot
from gentiantrestle.gateway.slots.client import SlotClient, SlotLease
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.placing import CoordinatorScope
from gentiantrestle.gateway.slots.remote_zones import RemoteZones
from gentiantrestle.gateway.slots.service import (
    SlotParts,
    SlotSender,
    SlotService,
)
from gentiantrestle.gateway.slots.slot_request import SlotRequest
from gentiantrestle.gateway.topology import Topology
from gentiantrestle.models import Address

SERVICE = 'engines'
TARGET = 0.3  # seconds to the first event
FIRST_EVENT = 0.06  # seconds that an engine with a free slot takes for it
RUN_TIME = 0.65  # seconds that a request holds its slot
ITEM_TIME = 4.7  # seconds that a batch item holds its slot
ITEM_TOKENS = 1570
ITEM_DUE = 18.0  # seconds
RESUME_COST = 0.02  # seconds to read the output of a preempted item again
DETECTION_TIME = 2.0  # seconds until a silent instance counts as gone
PORT = 7000


class Shape(NamedTuple):
    """Sizes and faults of the network of a fleet."""

    zones: int = 6
    instances: int = 54
    upstreams: int = 30
    slots: int = 7
    delay: float = 0.001
    loss: float = 0.005


class Tally(NamedTuple):
    """What callers, engines and batch items saw."""

    waits: list[float]
    refused: list[float]
    overbooked: Counter[int]
    counts: Counter[str]

    @property
    def late_share(self) -> float:
        """Return the share of requests not begun within the target."""
        late = sum(wait + FIRST_EVENT > TARGET for wait in self.waits)
        return (late + len(self.refused)) / max(1, self.requests)

    @property
    def requests(self) -> int:
        """Count all requests."""
        return len(self.waits) + len(self.refused)

    @property
    def messages_per_request(self) -> float:
        """Return the datagrams sent for each request and batch run."""
        runs = self.requests + self.counts['runs']
        return self.counts['messages'] / max(1, runs)


class Engine:
    """An upstream that runs what it gets in order of arrival."""

    def __init__(self, slots: int, tally: Tally) -> None:
        """Start with all slots free."""
        self._slots = asyncio.Semaphore(slots)
        self._size = slots
        self._tally = tally
        self.load = 0

    async def run(self, seconds: float, asked_at: float = -1) -> None:
        """Hold a slot; record the wait since ``asked_at`` if it is given."""
        self.load += 1
        excess = self.load - self._size
        if excess > 0:
            self._tally.overbooked[excess] += 1
        try:
            async with self._slots:
                now = asyncio.get_running_loop().time()
                if asked_at >= 0:
                    self._tally.waits.append(now - asked_at)
                await asyncio.sleep(seconds)
        finally:
            self.load -= 1


class Network:
    """Delays and loses datagrams; knows which instances can't be reached."""

    def __init__(self, shape: Shape, rng: random.Random, tally: Tally) -> None:
        """Connect nobody yet."""
        self.shape = shape
        self.rng = rng
        self.tally = tally
        self.ports: dict[str, SimulatedPort] = {}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def send(self, source: str, host: str, kind: str, message: Any) -> None:
        """Deliver a message later, or never."""
        self.tally.counts['messages'] += 1
        self.tally.counts[kind] += 1
        if source in self.cut or self.rng.random() < self.shape.loss:
            return
        delay = self.shape.delay * (1 + self.rng.random())
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, host, kind, message)

    def _deliver(self, host: str, kind: str, message: Any) -> None:
        if host in self.cut:
            return
        if host in self.frozen:
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self._deliver, host, kind, message)
            return
        self.ports[host].handlers[kind](message)


class SimulatedPort:
    """Stands in for a ``DatagramPort``."""

    def __init__(self, host: str, network: Network) -> None:
        """Join the network as ``host``."""
        self.address = Address(host, PORT)
        self.handlers: dict[str, Callable[[Any], None]] = {}
        self._network = network
        network.ports[host] = self

    def on(self, kind: str, handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each message of a kind."""
        self.handlers[kind] = handler

    def send(self, hosts: Iterable[str], kind: str, message: Any) -> None:
        """Send a message to some hosts."""
        own = self.address.host
        for host in hosts:
            if host == own:
                asyncio.get_running_loop().call_soon(
                    self.handlers[kind], message
                )
            else:
                self._network.send(own, host, kind, message)


class FleetDirectory:
    """Who coordinates which zone, as all instances see it after a while."""

    def __init__(self, peers: list[Peer], now: Callable[[], float]) -> None:
        """Start with all of ``peers`` alive."""
        self.peers = peers
        self.gone_at: dict[str, float] = {}
        self._now = now

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Order the instances of a zone that are not known to be gone."""
        return tuple(
            rank_zone(
                zone,
                (
                    peer
                    for peer in self.peers
                    if peer.zone == zone
                    and self.gone_at.get(peer.instance, now) >= now
                ),
            )
        )

    def find_host(self, zone: str, now: float) -> str | None:
        """Return the host of a zone's first coordinator."""
        ranked = self.coordinators(zone, now)
        return ranked[0].host if ranked else None

    def remote_hosts(self, now: float) -> tuple[str, ...]:
        """List the hosts of all first coordinators."""
        zones = sorted({peer.zone for peer in self.peers})
        return tuple(
            filter(None, (self.find_host(zone, now) for zone in zones))
        )


class Item(NamedTuple):
    """A batch item; ``done`` is the time in s that it has run."""

    name: str
    due: float
    done: float


class ItemRun(NamedTuple):
    """A batch item that runs in a slot since ``started_at``, in s."""

    item: Item
    lease: SlotLease
    started_at: float
    task: asyncio.Task[None]


class Instance:
    """One instance: admission of requests, and batch items of its own."""

    def __init__(self, peer: Peer, fleet: 'SlotFleet') -> None:
        """Build the product's parts on a simulated port."""
        self._fleet = fleet
        self.items: dict[str, Item] = {}
        self._runs: dict[int, ItemRun] = {}
        regions = {
            f'z{number}': f'region{number % 2}'
            for number in range(fleet.shape.zones)
        }
        topology = Topology(peer.zone, regions)
        remote = RemoteZones(topology, fleet.rng.random)
        directory = fleet.directory
        scope = CoordinatorScope(
            peer.instance,
            peer.host,
            peer.zone,
            lambda now: frozenset((peer.zone,)),
            directory.find_host,
            lambda run: False,
        )
        sender = SlotSender(SimulatedPort(peer.host, fleet.network))
        client = SlotClient(
            peer.run,
            peer.host,
            directory,
            sender.send,
            fleet.now,
        )
        self.asks = BatchAsks(peer.zone, client, fleet.roster.find, fleet.now)
        self.asks.start = self._start_item
        parts = SlotParts(
            SlotCoordinator(scope, fleet.roster, remote, fleet.rng.random),
            client,
            self.asks,
            remote,
            directory,
        )
        self.service = SlotService(peer.instance, parts, sender, fleet.now)
        self.service.preempt = self._preempt
        self.client = client
        self.admission = Admission(
            topology, fleet.roster, client, fleet.rng.random, fleet.now
        )

    async def request(self, number: int) -> None:
        """Serve one caller."""
        fleet = self._fleet
        asked_at = fleet.now()
        slot_request = SlotRequest(
            _make_request(f'r{number}', asked_at), ROUTE, SERVICE
        )
        try:
            lease = await self.admission.acquire(slot_request)
        except RefusedError as exc:
            if not exc.refusal.retry_after:
                fleet.tally.counts['without Retry-After'] += 1
            fleet.tally.refused.append(fleet.now() - asked_at)
            return
        engine = fleet.engines[lease.upstream.id]
        await asyncio.sleep(fleet.shape.delay)
        await engine.run(RUN_TIME, asked_at)
        self.admission.release(lease, SlotOutcome.SERVED)

    def want_items(self) -> None:
        """Ask for slots for the items that wait."""
        now = self._fleet.now()
        self.asks.want(
            WantedSlot(
                item.name,
                SERVICE,
                item.due - now - (ITEM_TIME - item.done),
                int(ITEM_TOKENS * (1 - item.done / ITEM_TIME)),
            )
            for item in sorted(self.items.values(), key=lambda item: -item.done)
        )

    def _start_item(self, name: str, lease: SlotLease) -> bool:
        item = self.items.pop(name, None)
        if item is None:
            return False
        self._fleet.tally.counts['runs'] += 1
        task = asyncio.create_task(self._run(item, lease))
        self._runs[lease.number] = ItemRun(item, lease, self._fleet.now(), task)
        return True

    async def _run(self, item: Item, lease: SlotLease) -> None:
        engine = self._fleet.engines[lease.upstream.id]
        counts = self._fleet.tally.counts
        await engine.run(ITEM_TIME - item.done + RESUME_COST)
        self._runs.pop(lease.number)
        self.client.release(lease, SlotOutcome.SERVED)
        counts['in time' if self._fleet.now() <= item.due else 'late'] += 1

    def _preempt(self, number: int) -> None:
        run = self._runs.pop(number, None)
        if run is None:
            return
        run.task.cancel()
        self.client.release(run.lease, SlotOutcome.UNKNOWN)
        ran = max(0, self._fleet.now() - run.started_at - RESUME_COST)
        done = run.item.done + ran
        self.items[run.item.name] = run.item._replace(done=done)
        self._fleet.tally.counts['cut'] += 1


class SlotFleet:
    """All instances and engines."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Spread instances and engines evenly over the zones."""
        self.shape = shape
        self.rng = random.Random(seed)
        self.now = asyncio.get_running_loop().time
        self.tally = Tally([], [], Counter(), Counter())
        self.network = Network(shape, self.rng, self.tally)
        self.roster = Roster()
        self.engines: dict[str, Engine] = {}
        for upstream in _make_upstreams(shape):
            self.engines[upstream.id] = Engine(shape.slots, self.tally)
            self.roster.put(upstream)
        self.peers = [
            _make_peer(number, f'z{number % shape.zones}')
            for number in range(shape.instances)
        ]
        self.directory = FleetDirectory(self.peers, self.now)
        self.instances = [Instance(peer, self) for peer in self.peers]

    def coordinator(self, zone: str) -> Peer:
        """Return the first coordinator of a zone."""
        return self.directory.coordinators(zone, self.now())[0]

    def silence(self, peer: Peer) -> None:
        """Cut an instance off; the others know of it after a while."""
        self.network.cut.add(peer.host)
        self.directory.gone_at[peer.instance] = self.now() + DETECTION_TIME


ROUTE = Route(
    name='chat',
    host='shop.example',
    prefix='/chat/',
    kind=RouteKind.STREAM,
    timeout=5,
    latency_target=TARGET,
    priority=0,
    shares=(Share(SERVICE, 1),),
    max_attempts=2,
    resumable=True,
)


def _make_upstreams(shape: Shape) -> Iterable[Upstream]:
    for number in range(shape.upstreams):
        yield Upstream(
            f'u{number}',
            SERVICE,
            Address(f'u{number}', 1),
            f'z{number % shape.zones}',
            shape.slots,
            False,
            1,
        )


def _make_peer(number: int, zone: str) -> Peer:
    return Peer(
        f'edge-{number}', 1, 1, f'10.0.0.{number}', zone, False, 1, True, 0
    )


def _make_request(name: str, now: float) -> Request:
    return Request(
        name, 'POST', '/chat/1', 'shop.example', (), b'', now, now + 5
    )
