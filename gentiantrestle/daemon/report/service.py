"""The child that gathers the report of the fleet, a zone or an instance."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.client_jobs import ClientJobs
from gentiantrestle.daemon.batch.records import (
    COMPLETED,
    JOB_PREFIX,
    JobRecord,
)
from gentiantrestle.daemon.batch.schedule import order_jobs
from gentiantrestle.daemon.configuration.mirror import MirroredObject
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Member
from gentiantrestle.daemon.report.burn import (
    BATCH_DEADLINE,
    BurnCounter,
    Risk,
    Row,
    Subject,
    add_up,
    predict,
)
from gentiantrestle.daemon.report.measured import Measure
from gentiantrestle.errors import RefusedError
from gentiantrestle.wire.peer.ttypes import (
    Envelope,
    Report,
    ReportRequest,
    ReportRow,
)

MAX_JOBS = 20
FLEET = 'fleet'
ZONE = 'zone'
INSTANCE = 'instance'
SCOPES = (FLEET, ZONE, INSTANCE)


class Gathered(NamedTuple):
    """A report, and the instances that did not answer."""

    rows: list[Row]
    missing: list[str]


class Reporter:
    """Counts what happens here, and asks the others for theirs."""

    def __init__(
        self,
        ctx: Context,
        membership: Membership,
        configuration: Configuration,
        reader: ClientJobs,
    ) -> None:
        """Answer peers that gather a report."""
        self._ctx = ctx
        self._membership = membership
        self._configuration = configuration
        self._reader = reader
        self._counter = BurnCounter()
        self._ended: asyncio.Queue[JobRecord] = asyncio.Queue()
        membership.register_handler('report_request', self._answer_peer)
        configuration.mirror.add_listener(JOB_PREFIX, self._heed_job)

    async def run(self) -> None:
        """Count the jobs that end, by their deadlines, until cancelled."""
        while True:
            job = await self._ended.get()
            subject = Subject(job['endpoint'], BATCH_DEADLINE)
            in_time = job['finished'] <= job['deadline']
            self._counter.record(subject, self._ctx.now(), good=in_time)

    def start_measurement(self, endpoint: str) -> Measure:
        """Begin to measure one answer."""
        return Measure(self._ctx, self._counter, endpoint)

    async def gather(self, scope: str) -> Gathered:
        """Add up the rows of all live instances of a scope."""
        members = self._members(scope)
        answers = await asyncio.gather(*map(self._ask, members))
        rows = list(self._counter.rows(self._ctx.now()))
        missing = []
        for member, told in zip(members, answers, strict=True):
            if told is None:
                missing.append(member.instance)
            else:
                rows.extend(told)
        return Gathered(add_up(rows), missing)

    async def risks(self) -> list[Risk]:
        """Predict the ends of the most urgent running jobs."""
        jobs = [
            copied.document
            for copied in self._configuration.mirror.with_prefix(JOB_PREFIX)
        ]
        urgent = order_jobs(jobs)[:MAX_JOBS]
        return [await self._risk(job) for job in urgent]

    async def _risk(self, job: JobRecord) -> Risk:
        try:
            status = await self._reader.status(job['client'], job['id'])
        except RefusedError:
            counts: dict[str, Any] = {'completed': 0, 'failed': 0}
        else:
            counts = status['request_counts']
        share = (counts['completed'] + counts['failed']) / job['items']
        predicted, at_risk = predict(
            job['created'],
            job['deadline'],
            share,
            self._ctx.wall(),
        )
        return Risk(
            job['id'],
            job['client'],
            job['deadline'],
            predicted,
            at_risk,
        )

    def _members(self, scope: str) -> list[Member]:
        if scope == INSTANCE:
            return []
        zone = self._ctx.cfg.zone
        return [
            member
            for member in self._membership.view.live_members(self._ctx.now())
            if member.instance != self._ctx.cfg.instance
            and (scope == FLEET or member.zone == zone)
        ]

    async def _ask(self, member: Member) -> Iterable[Row] | None:
        envelope = Envelope(report_request=ReportRequest())
        try:
            reply = await self._membership.call(member, envelope)
        except PeerError:
            return None
        return [
            Row(row.endpoint, row.objective, row.window, row.good, row.bad)
            for row in reply.report.rows
        ]

    async def _answer_peer(self, envelope: Envelope) -> Envelope:
        rows = self._counter.rows(self._ctx.now())
        report = Report(rows=[ReportRow(*row) for row in rows])
        return Envelope(report=report)

    def _heed_job(self, copied: MirroredObject) -> None:
        """Count a job once in the fleet: where it was finished."""
        job = copied.document or {}
        if job.get('state') != COMPLETED:
            return
        if job.get('finisher') == self._ctx.cfg.instance:
            self._ended.put_nowait(job)
