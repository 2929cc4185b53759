"""In-memory index of batch jobs and their results; no I/O."""

from collections.abc import Callable, Iterable, Iterator

from gentiantrestle.gateway.batch.records import JobRecord
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Job
from gentiantrestle.gateway.ports import StoredObject


def _ignore(size: int) -> None:
    """Count nothing; the default outside an index."""


class JobEntry:
    """One job and those of its stored results that are known here.

    Results are in the order of the store: a result's index in ``results`` is
    its position for clients, on every instance.
    """

    def __init__(
        self,
        record: JobRecord,
        note_bodies: Callable[[int], None] = _ignore,
    ) -> None:
        """Start without results.

        ``note_bodies`` is told how many more bytes of bodies are in memory.
        """
        self._note_bodies = note_bodies
        self.job: Job = record.job
        self.stored = record.stored
        self.results: list[ItemResult] = []
        self.chunk_count = 0
        # Whether this process has read all results in the store at least once.
        self.results_loaded = False
        # Whether the store took long to give the job when it was last read.
        self.found_slowly = False
        # How often results of the instance that runs the job were added.
        self.peer_answers = 0
        self._stored_ids: set[str] = set()
        # Items with their bodies; empty while the bodies aren't in memory.
        self._specs: dict[str, ItemSpec] = {}

    @property
    def open(self) -> bool:
        """Return whether items of the job may still be run."""
        closed = self.job.cancelled or self.job.done
        return not closed and not self.complete

    @property
    def complete(self) -> bool:
        """Return whether every item has a stored result."""
        return self.missing <= 0

    @property
    def missing(self) -> int:
        """Count the items without a stored result."""
        return len(self.job.items) - len(self._stored_ids)

    def update(self, record: JobRecord) -> None:
        """Apply a newer record; a cancelled or done job stays so."""
        self.stored = record.stored
        self.job = record.job._replace(
            cancelled=record.job.cancelled or self.job.cancelled,
            done=record.job.done or self.job.done,
        )
        self._drop_if_closed()

    def cancel(self) -> None:
        """Mark the job as cancelled by its client."""
        self.job = self.job._replace(cancelled=True)
        self._drop_if_closed()

    def add_chunk(self, chunk: Iterable[ItemResult]) -> None:
        """Append the next chunk of results that the store holds."""
        for result in chunk:
            self.results.append(result)
            self._stored_ids.add(result.id)
        self.chunk_count += 1
        if self.complete:
            self.drop_bodies()

    def add_peer_results(self, rows: list[ItemResult], chunks: int) -> None:
        """Append results read from the instance that runs the job.

        ``chunks`` is the number of chunks that instance knows in the store.
        """
        self.add_chunk(rows)
        self.chunk_count = max(self.chunk_count - 1, chunks)
        self.peer_answers += 1

    def has_result(self, item_id: str) -> bool:
        """Return whether an item's result is stored."""
        return item_id in self._stored_ids

    def has_item(self, item_id: str) -> bool:
        """Return whether the job names an item."""
        return any(spec.id == item_id for spec in self.job.items)

    def unfinished_items(self) -> Iterator[ItemSpec]:
        """Yield the items without a stored result, in the job's order."""
        return (
            self._specs.get(spec.id, spec)
            for spec in self.job.items
            if spec.id not in self._stored_ids
        )

    @property
    def has_bodies(self) -> bool:
        """Return whether the items' bodies are in memory."""
        return bool(self._specs)

    def load_bodies(self, specs: Iterable[ItemSpec]) -> None:
        """Keep the items with their bodies in memory, if the job is open."""
        self.drop_bodies()
        if not self.open:
            return
        self._specs = {spec.id: spec for spec in specs}
        self._note_bodies(self._body_bytes())

    def drop_bodies(self) -> None:
        """Free the bodies' memory; the store keeps them."""
        self._note_bodies(-self._body_bytes())
        self._specs = {}

    def body(self, item_id: str) -> bytes | None:
        """Return an item's body, or None if it isn't in memory."""
        spec = self._specs.get(item_id)
        return None if spec is None else spec.body

    @property
    def waiting_tokens(self) -> int:
        """Sum the tokens of items that may still run."""
        if not self.open:
            return 0
        return sum(spec.tokens for spec in self.unfinished_items())

    def _drop_if_closed(self) -> None:
        if self.job.cancelled or self.job.done:
            self.drop_bodies()

    def _body_bytes(self) -> int:
        return sum(len(spec.body) for spec in self._specs.values())


class JobIndex:
    """All known jobs by id."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, JobEntry] = {}
        # Store revision up to which all changes of jobs are known.
        self.revision = 0
        # Bytes of all bodies in memory.
        self.body_bytes = 0

    def put(self, record: JobRecord) -> JobEntry:
        """Add a job, or update it unless a newer record is known."""
        entry = self.entries.get(record.job.id)
        if entry is None:
            entry = JobEntry(record, self._note_bodies)
            self.entries[record.job.id] = entry
            return entry
        if record.stored.revision >= entry.stored.revision:
            entry.update(record)
        return entry

    def should_have(self, stored: StoredObject) -> bool:
        """Return whether a job is missing that should be known by now."""
        is_told = 0 < stored.revision <= self.revision
        return is_told and stored.name not in self.entries

    def open_entries(self) -> list[JobEntry]:
        """List the jobs whose items may still be run."""
        return [entry for entry in self.entries.values() if entry.open]

    def cancel(self, job_id: str) -> None:
        """Mark a job as cancelled by its client, if the job is known."""
        entry = self.entries.get(job_id)
        if entry is not None:
            entry.cancel()

    def _note_bodies(self, size: int) -> None:
        self.body_bytes += size
