"""What one instance knows of running jobs and their chunks."""

from collections.abc import Iterator

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.records import (
    JOB_PREFIX,
    RUNNING,
    ChunkRecord,
    JobRecord,
    chunk_index,
    chunk_prefix,
    job_name,
)
from gentiantrestle.daemon.batch.schedule import ChunkBook, ChunkKey, Seen
from gentiantrestle.daemon.configuration.mirror import MirroredObject
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.models import DeploymentDoc
from gentiantrestle.store.client import StoreClient


class Board:
    """Jobs from the copy of the store; chunks as far as they were read."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
        fleet: UpstreamRegistry,
    ) -> None:
        """Start without any chunk read."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration
        self._fleet = fleet
        self._running: dict[str, JobRecord] = {}
        self.book = ChunkBook()
        configuration.mirror.add_listener(JOB_PREFIX, self._heed_job)

    def jobs(self) -> Iterator[JobRecord]:
        """Yield the running jobs."""
        yield from tuple(self._running.values())

    @property
    def has_jobs(self) -> bool:
        """Tell whether any job is running."""
        return bool(self._running)

    def job(self, job: str) -> JobRecord | None:
        """Look one job up."""
        copied = self._configuration.mirror.get(job_name(job))
        return copied.document if copied else None

    def job_version(self, job: str) -> int:
        """Return the version that a job is known at."""
        return self._configuration.mirror.get(job_name(job)).version

    def take_job(self, version: int, job: JobRecord) -> None:
        """Take in a job that was read or written."""
        self._configuration.update_mirror(job_name(job['id']), version, job)

    def is_running(self, job: str) -> bool:
        """Tell whether a job still wants work."""
        record = self.job(job)
        return record is not None and record['state'] == RUNNING

    def deployment(self, job: JobRecord) -> DeploymentDoc | None:
        """Return the deployment that a job's items go to."""
        fleet = self._configuration.fleet
        endpoint = fleet['endpoints'].get(job['endpoint'])
        if endpoint is None:
            return None
        return fleet['deployments'][endpoint['deployment']]

    def workers(self, job: JobRecord) -> list[str]:
        """Name the instances that may send a job's items upstream."""
        deployment = self.deployment(job)
        if deployment is None:
            return []
        now = self._ctx.now()
        names = {
            self._fleet.batch_owner(name, now)
            for name in deployment['upstreams']
        }
        return sorted(names - {None})

    def note(self, key: ChunkKey, version: int, record: ChunkRecord) -> None:
        """Note a chunk that was read or written."""
        self.book.note(key, version, record, self._ctx.now())

    def seen(self, job: JobRecord) -> Iterator[tuple[ChunkKey, Seen]]:
        """Yield what is known of a job's chunks."""
        for index in range(job['chunks']):
            key = ChunkKey(job['id'], index)
            seen = self.book.find(key)
            if seen is not None:
                yield key, seen

    async def survey(self, job: JobRecord) -> None:
        """Read what all chunks of a job are at."""
        listing = await self._store.list_documents(chunk_prefix(job['id']))
        for listed in listing['objects']:
            key = ChunkKey(job['id'], chunk_index(listed['name']))
            self.note(key, listed['version'], listed['body'])

    def _heed_job(self, copied: MirroredObject) -> None:
        job = copied.name.removeprefix(JOB_PREFIX)
        document = copied.document
        if document is not None and document['state'] == RUNNING:
            self._running[job] = document
        else:
            self._running.pop(job, None)
