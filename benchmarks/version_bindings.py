"""Ways to bind streams to the version that began them."""

import math
from collections.abc import Callable, Iterator

import xxhash

from benchmarks.version_fleet import VersionFleet
from benchmarks.version_world import Instance, Reply, Stream, Weights

STORE_TIME = 0.03  # seconds of a call
DATAGRAM_TIME = 0.001  # seconds
LOSS = 0.005  # share of datagrams
RETRY_TIME = 0.3  # seconds until the store is asked again
WINDOW = 5.5  # seconds in which a stream that is taken up can have begun
HISTORY_TIME = 10.0  # seconds for which a version that is gone is known
RECORDS_PER_DATAGRAM = 25
COORDINATORS = 2  # of each zone
HASH_RANGE = 2**64

ArmFactory = Callable[[VersionFleet], 'Unbound']
ARMS: dict[str, ArmFactory] = {}


def _register(name: str, *words: object) -> Callable[..., type['Unbound']]:
    def register(arm: type['Unbound']) -> type['Unbound']:
        ARMS[name] = lambda fleet: arm(fleet, *words)
        return arm

    return register


def hashed_version(name: str, weights: Weights) -> str:
    """Return the version of an attempt by weighted rendezvous hashing."""

    def score(version: str) -> float:
        point = xxhash.xxh64_intdigest(f'{version}/{name}'.encode())
        return -weights[version] / math.log((point + 1) / (HASH_RANGE + 1))

    return max(weights, key=score)


@_register('none')
class Unbound:
    """Streams run and go on at any version."""

    def __init__(self, fleet: VersionFleet) -> None:
        """Play in ``fleet``."""
        self.fleet = fleet
        self.clock = fleet.clock
        self.counts = fleet.counts
        self._reads: dict[Instance, list[Callable[[], None]]] = {}

    def choose(self, instance: Instance, name: str) -> tuple[str, ...]:
        """Return any version."""
        return ('',)

    def note_begun(self, instance: Instance, stream: Stream) -> None:
        """Do nothing."""

    def note_change(self, instance: Instance) -> None:
        """Do nothing."""

    def resolve(self, instance: Instance, name: str, reply: Reply) -> None:
        """Reply with any version."""
        reply('')

    def recent(self, last: int, duration: float) -> Iterator[Weights]:
        """Yield the slots of versions in force lately, up to an epoch."""
        start = self.clock.now - duration
        epochs = self.fleet.epochs[: last + 1]
        for number, (_, weights) in enumerate(epochs):
            if number == last or epochs[number + 1][0] > start:
                yield weights

    def only_version(self, last: int) -> str | None:
        """Return the only version that has served lately, or None."""
        versions = set().union(*self.recent(last, HISTORY_TIME))
        return versions.pop() if len(versions) == 1 else None

    def read_store(self, instance: Instance, then: Callable[[], None]) -> None:
        """Call the store; calls of an instance at one time are shared."""
        waiting = self._reads.setdefault(instance, [])
        waiting.append(then)
        if len(waiting) == 1:
            self.counts['store calls'] += 1
            self.clock.after(STORE_TIME, lambda: self._finish_read(instance))

    def _finish_read(self, instance: Instance) -> None:
        for then in self._reads.pop(instance):
            then()


@_register('datagrams')
class SharedRecords(Unbound):
    """The first two instances of a zone get records while versions differ."""

    def note_begun(self, instance: Instance, stream: Stream) -> None:
        """Keep the record, and send it if versions differ."""
        instance.records[stream.name] = stream.version
        if stream.runs == 1:
            instance.began[stream.name] = self.clock.now
            if self.only_version(instance.epoch) is None:
                self.send(instance, {stream.name: stream.version})

    def note_change(self, instance: Instance) -> None:
        """Send the records of streams that may still be taken up."""
        if self.only_version(instance.epoch) is None:
            self.send(instance, dict(self.began_lately(instance)))

    def resolve(self, instance: Instance, name: str, reply: Reply) -> None:
        """Ask the coordinator of each zone, if the record isn't here."""
        known = instance.records.get(name)
        if known is not None:
            reply(known)
            return
        found = self.only_version(len(self.fleet.epochs) - 1)
        for zone in range(self.fleet.plan.load.zones):
            self.counts['datagrams'] += 2
            first = self.fleet.members(zone)[0]
            if first.up and self.fleet.rng.random() > 2 * LOSS:
                found = first.records.get(name, found)
        self.clock.after(2 * DATAGRAM_TIME, lambda: reply(found))

    def began_lately(self, instance: Instance) -> Iterator[tuple[str, str]]:
        """Yield the records of streams that may still be taken up."""
        start = self.clock.now - WINDOW
        for name, began_at in instance.began.items():
            if began_at > start:
                yield name, instance.records[name]

    def send(self, instance: Instance, records: dict[str, str]) -> None:
        """Send records to the coordinators of the zone."""
        sent = math.ceil(len(records) / RECORDS_PER_DATAGRAM)
        for peer in self.fleet.members(instance.zone)[:COORDINATORS]:
            if peer is instance:
                self._receive(peer, records)
                continue
            self.counts['datagrams'] += sent
            if self.fleet.rng.random() > LOSS:
                self.clock.after(
                    DATAGRAM_TIME,
                    lambda one=peer: self._receive(one, records),
                )

    def _receive(self, peer: Instance, records: dict[str, str]) -> None:
        if peer.up:
            peer.records.update(records)
            peer.unwritten.update(records)


@_register('store, each 0.5 s', 0.5)
@_register('store, each 0.25 s, with backup', 0.25, COORDINATORS)
@_register('store, each 0.25 s', 0.25)
@_register('store, each 0.1 s, with backup', 0.1, COORDINATORS)
@_register('store, each 0.1 s', 0.1)
class StoredRecords(SharedRecords):
    """Coordinators write records to the store in batches.

    As a backup the second of a zone writes what the first has not confirmed.
    """

    def __init__(
        self, fleet: VersionFleet, interval: float, writers: int = 1
    ) -> None:
        """Write each ``interval`` s, by the first ``writers`` of a zone."""
        super().__init__(fleet)
        self._interval = interval
        self._writers = writers
        self._stored: dict[str, str] = {}
        for zone in range(fleet.plan.load.zones):
            self.clock.after(
                fleet.rng.uniform(0, interval),
                lambda number=zone: self._write(number),
            )

    def resolve(self, instance: Instance, name: str, reply: Reply) -> None:
        """Read the store, if the record isn't here, once more if need be."""
        known = instance.records.get(name)
        if known is not None:
            reply(known)
            return
        self._ask(instance, name, reply, is_first=True)

    def unrecorded(self, name: str) -> str | None:
        """Return the version of a stream without record, if that is known."""
        return self.only_version(len(self.fleet.epochs) - 1)

    def _ask(
        self, instance: Instance, name: str, reply: Reply, *, is_first: bool
    ) -> None:
        def finish() -> None:
            version = self._stored.get(name, self.unrecorded(name))
            if version is not None or not is_first:
                reply(version)
                return
            self.clock.after(
                RETRY_TIME,
                lambda: self._ask(instance, name, reply, is_first=False),
            )

        self.read_store(instance, finish)

    def _write(self, zone: int) -> None:
        self.clock.after(self._interval, lambda: self._write(zone))
        writers = self.fleet.members(zone)[: self._writers]
        for rank, writer in enumerate(writers):
            batch = dict(writer.unwritten)
            if rank:
                seen = writer.overdue
                writer.overdue = set(batch)
                batch = {name: batch[name] for name in seen & set(batch)}
            if writer.up and batch:
                self._write_batch(writer, batch)

    def _write_batch(self, writer: Instance, batch: dict[str, str]) -> None:
        _forget(writer, batch)
        self.counts['store calls'] += 1

        def finish() -> None:
            self._stored.update(batch)
            if writer.up and self._writers > 1:
                self._confirm(writer, batch)

        self.clock.after(STORE_TIME, finish)

    def _confirm(self, writer: Instance, batch: dict[str, str]) -> None:
        for peer in self.fleet.members(writer.zone)[:COORDINATORS]:
            if peer is not writer:
                self.counts['datagrams'] += 1
                if self.fleet.rng.random() > LOSS:
                    _forget(peer, batch)


def _forget(instance: Instance, batch: dict[str, str]) -> None:
    """Drop records that have been written."""
    for name in batch:
        instance.unwritten.pop(name, None)


@_register('hash')
class HashedVersions(Unbound):
    """The version is a hash of the id; refused where the history leaves two."""

    def choose(self, instance: Instance, name: str) -> tuple[str, ...]:
        """Return the version of the hash alone."""
        weights = self.fleet.epochs[instance.epoch][1]
        return (hashed_version(name, weights),)

    def resolve(self, instance: Instance, name: str, reply: Reply) -> None:
        """Read the history and hash the id over all of it."""
        self.read_store(instance, lambda: reply(self.unrecorded(name)))

    def unrecorded(self, name: str) -> str | None:
        """Return the version that the id has had all the time, or None."""
        found = self.hashes(name, len(self.fleet.epochs) - 1)
        return found.pop() if len(found) == 1 else None

    def hashes(self, name: str, last: int) -> set[str]:
        """Return the versions that the id has had lately."""
        return {
            hashed_version(name, weights)
            for weights in self.recent(last, WINDOW)
        }


@_register('hash, exceptions in the store', 0.25)
class HashedExceptions(StoredRecords, HashedVersions):
    """Streams that the hash doesn't show are recorded."""

    def choose(self, instance: Instance, name: str) -> tuple[str, ...]:
        """Return the version of the hash, then any."""
        return (*HashedVersions.choose(self, instance, name), '')

    def note_begun(self, instance: Instance, stream: Stream) -> None:
        """Send the record of a stream that the hash doesn't show."""
        instance.records[stream.name] = stream.version
        if stream.runs == 1:
            instance.began[stream.name] = self.clock.now
            self._send_exceptions(instance, {stream.name: stream.version})

    def note_change(self, instance: Instance) -> None:
        """Send the records of streams that the hash no longer shows."""
        self._send_exceptions(instance, dict(self.began_lately(instance)))

    def unrecorded(self, name: str) -> str | None:
        """Return the version that the id has had all the time, or None."""
        return HashedVersions.unrecorded(self, name)

    def _send_exceptions(
        self, instance: Instance, records: dict[str, str]
    ) -> None:
        exceptions = {
            name: version
            for name, version in records.items()
            if self.hashes(name, instance.epoch) != {version}
        }
        if exceptions:
            self.send(instance, exceptions)
