"""What is known of every job: items, results in their order; no I/O."""

from collections.abc import Iterable, Iterator

from gentiantrestle.gateway.batch.records import JobRecord
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Job


class JobEntry:
    """One job and the parts of its results that the store holds."""

    def __init__(self, record: JobRecord) -> None:
        """Start without any result known."""
        self.job: Job = record.job
        self.stored = record.stored
        self.results: list[ItemResult] = []
        self.chunk_count = 0
        # Whether this process has seen all that the store lists of the job.
        self.learned = False
        # Whether no other process can have listed results of the job.
        self.sole = False
        self._listed: set[str] = set()
        # The items with their bodies, where this process has read them.
        self._specs: dict[str, ItemSpec] = {}

    @property
    def open(self) -> bool:
        """Tell whether items of the job may still be run."""
        closed = self.job.cancelled or self.job.done
        return not closed and not self.complete

    @property
    def complete(self) -> bool:
        """Tell whether every item is listed."""
        return len(self._listed) >= len(self.job.items)

    def update(self, record: JobRecord) -> None:
        """Take in a newer state; an end is never taken back."""
        self.stored = record.stored
        self.job = record.job._replace(
            cancelled=record.job.cancelled or self.job.cancelled,
            done=record.job.done or self.job.done,
        )

    def end(self) -> None:
        """Mark the job as ended by its caller."""
        self.job = self.job._replace(cancelled=True)

    def append(self, chunk: Iterable[ItemResult]) -> None:
        """Take in the next part of the results, as the store holds it."""
        for one in chunk:
            self.results.append(one)
            self._listed.add(one.id)
        self.chunk_count += 1

    def add_peer_results(self, rows: list[ItemResult], chunks: int) -> None:
        """Take in results from the instance that runs the job."""
        self.append(rows)
        self.chunk_count = max(self.chunk_count - 1, chunks)

    def is_listed(self, wanted: str) -> bool:
        """Tell whether an item has a position."""
        return wanted in self._listed

    def unlisted(self) -> Iterator[ItemSpec]:
        """Pass on the items without a position, in their order."""
        return (
            self._specs.get(spec.id, spec)
            for spec in self.job.items
            if spec.id not in self._listed
        )

    @property
    def has_bodies(self) -> bool:
        """Tell whether the items' bodies are known here."""
        return bool(self._specs)

    def load(self, specs: Iterable[ItemSpec]) -> None:
        """Take in the items with their bodies."""
        self._specs = {spec.id: spec for spec in specs}

    def drop_bodies(self) -> None:
        """Free the bodies; the store keeps them."""
        self._specs = {}

    def body(self, wanted: str) -> bytes | None:
        """Return an item's body, or nothing if the job has no such item."""
        spec = self._specs.get(wanted)
        return None if spec is None else spec.body

    @property
    def waiting_tokens(self) -> int:
        """Sum the tokens of items that may still run."""
        if not self.open:
            return 0
        return sum(spec.tokens for spec in self.unlisted())


class JobIndex:
    """All jobs by id."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, JobEntry] = {}
        # Of the store: all changes of jobs up to it are known.
        self.revision = 0

    def put(self, record: JobRecord) -> JobEntry:
        """Take in a job as the store holds it."""
        entry = self.entries.get(record.job.id)
        if entry is None:
            entry = JobEntry(record)
            self.entries[record.job.id] = entry
            return entry
        if record.stored.revision >= entry.stored.revision:
            entry.update(record)
        return entry

    def open_entries(self) -> list[JobEntry]:
        """List the jobs whose items may still be run."""
        return [entry for entry in self.entries.values() if entry.open]

    def end(self, job: str) -> None:
        """Note that a caller has ended a job, if the job is known."""
        entry = self.entries.get(job)
        if entry is not None:
            entry.end()

    def note_takeover(self, run: str) -> None:
        """Note that another instance runs the jobs that ``run`` accepted."""
        for entry in self.entries.values():
            if entry.job.acceptor == run:
                entry.sole = False

    def waiting_tokens(self, host: str, prefix: str) -> int:
        """Sum the tokens that wait on a route."""
        return sum(
            entry.waiting_tokens
            for entry in self.entries.values()
            if entry.job.host == host and entry.job.path.startswith(prefix)
        )
