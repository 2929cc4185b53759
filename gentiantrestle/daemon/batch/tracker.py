"""Track the running jobs and the chunks that this instance has read."""

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
from gentiantrestle.daemon.batch.schedule import (
    CachedChunk,
    ChunkCache,
    ChunkKey,
)
from gentiantrestle.daemon.configuration.mirror import MirroredObject
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.models import DeploymentDoc
from gentiantrestle.store.client import StoreClient


class JobTracker:
    """Tracks running jobs in the mirror and caches their chunk records."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
        upstreams: UpstreamRegistry,
    ) -> None:
        """Start with an empty chunk cache and follow job changes."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration
        self._upstreams = upstreams
        self._running: dict[str, JobRecord] = {}
        self.chunk_cache = ChunkCache()
        configuration.mirror.add_listener(JOB_PREFIX, self._on_job_change)

    def running_jobs(self) -> Iterator[JobRecord]:
        """Yield the running jobs."""
        yield from tuple(self._running.values())

    @property
    def has_jobs(self) -> bool:
        """Tell whether any job is running."""
        return bool(self._running)

    def find_job(self, job_id: str) -> JobRecord | None:
        """Return a job from the mirror, or ``None`` if it is unknown."""
        mirrored = self._configuration.mirror.get(job_name(job_id))
        return mirrored.document if mirrored else None

    def job_version(self, job_id: str) -> int:
        """Return the version of a job in the mirror, which must have it."""
        return self._configuration.mirror.get(job_name(job_id)).version

    def update_job(self, version: int, job: JobRecord) -> None:
        """Put a job that was read or written into the mirror."""
        self._configuration.update_mirror(job_name(job['id']), version, job)

    def is_running(self, job_id: str) -> bool:
        """Tell whether a job is known and still running."""
        record = self.find_job(job_id)
        return record is not None and record['state'] == RUNNING

    def deployment(self, job: JobRecord) -> DeploymentDoc | None:
        """Return a job's deployment, or ``None`` if its endpoint is gone."""
        fleet = self._configuration.fleet
        endpoint = fleet['endpoints'].get(job['endpoint'])
        if endpoint is None:
            return None
        return fleet['deployments'][endpoint['deployment']]

    def workers(self, job: JobRecord) -> list[str]:
        """Return the sorted owners of batch slots for a job's deployment."""
        deployment = self.deployment(job)
        if deployment is None:
            return []
        now = self._ctx.now()
        owners = {
            self._upstreams.batch_owner(name, now)
            for name in deployment['upstreams']
        }
        return sorted(owners - {None})

    def update_chunk(
        self, key: ChunkKey, version: int, record: ChunkRecord
    ) -> None:
        """Cache a chunk record that was read or written."""
        self.chunk_cache.update(key, version, record, self._ctx.now())

    def cached_chunks(
        self, job: JobRecord
    ) -> Iterator[tuple[ChunkKey, CachedChunk]]:
        """Yield the cached chunks of a job, in order."""
        for index in range(job['chunks']):
            key = ChunkKey(job['id'], index)
            cached = self.chunk_cache.find(key)
            if cached is not None:
                yield key, cached

    async def refresh_chunks(self, job: JobRecord) -> None:
        """Read all chunk records of a job from the store into the cache."""
        listing = await self._store.list_documents(chunk_prefix(job['id']))
        for listed in listing['objects']:
            key = ChunkKey(job['id'], chunk_index(listed['name']))
            self.update_chunk(key, listed['version'], listed['body'])

    def _on_job_change(self, mirrored: MirroredObject) -> None:
        job_id = mirrored.name.removeprefix(JOB_PREFIX)
        document = mirrored.document
        if document is not None and document['state'] == RUNNING:
            self._running[job_id] = document
        else:
            self._running.pop(job_id, None)
