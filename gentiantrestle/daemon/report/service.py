"""The child that reports burn rates of an instance, zone or the fleet."""

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
    ObjectiveKey,
    Risk,
    Row,
    predict_end,
    sum_rows,
)
from gentiantrestle.daemon.report.measurement import AnswerMeasurement
from gentiantrestle.errors import RefusedError
from gentiantrestle.wire.peer.ttypes import (
    Envelope,
    Report,
    ReportRequest,
    ReportRow,
)

MAX_RISKS = 20
FLEET_SCOPE = 'fleet'
ZONE_SCOPE = 'zone'
INSTANCE_SCOPE = 'instance'
SCOPES = (FLEET_SCOPE, ZONE_SCOPE, INSTANCE_SCOPE)


class GatheredReport(NamedTuple):
    """A report, and the instances that did not answer."""

    rows: list[Row]
    missing: list[str]


class Reporter:
    """Counts the events of this instance, and gathers those of others."""

    def __init__(
        self,
        ctx: Context,
        membership: Membership,
        configuration: Configuration,
        client_jobs: ClientJobs,
    ) -> None:
        """Listen for completed jobs, and answer peers that gather a report."""
        self._ctx = ctx
        self._membership = membership
        self._configuration = configuration
        self._client_jobs = client_jobs
        self._counter = BurnCounter()
        self._completed_jobs: asyncio.Queue[JobRecord] = asyncio.Queue()
        membership.register_handler('report_request', self._answer_request)
        configuration.mirror.add_listener(JOB_PREFIX, self._on_job_change)

    async def run(self) -> None:
        """Count completed jobs by their deadlines until cancelled."""
        while True:
            job = await self._completed_jobs.get()
            key = ObjectiveKey(job['endpoint'], BATCH_DEADLINE)
            in_time = job['finished'] <= job['deadline']
            self._counter.record(key, self._ctx.now(), good=in_time)

    def start_measurement(self, endpoint: str) -> AnswerMeasurement:
        """Start to measure one answer of an endpoint."""
        return AnswerMeasurement(self._ctx, self._counter, endpoint)

    async def gather(self, scope: str) -> GatheredReport:
        """Sum the rows of all live instances of a scope, one of ``SCOPES``."""
        members = self._other_members(scope)
        answers = await asyncio.gather(*map(self._request_rows, members))
        rows = list(self._counter.rows(self._ctx.now()))
        missing = []
        for member, peer_rows in zip(members, answers, strict=True):
            if peer_rows is None:
                missing.append(member.instance)
            else:
                rows.extend(peer_rows)
        return GatheredReport(sum_rows(rows), missing)

    async def risks(self) -> list[Risk]:
        """Predict the ends of the most urgent jobs, at most ``MAX_RISKS``."""
        jobs = [
            mirrored.document
            for mirrored in self._configuration.mirror.with_prefix(JOB_PREFIX)
        ]
        urgent = order_jobs(jobs)[:MAX_RISKS]
        return [await self._risk(job) for job in urgent]

    async def _risk(self, job: JobRecord) -> Risk:
        try:
            status = await self._client_jobs.status(job['client'], job['id'])
        except RefusedError:
            counts: dict[str, Any] = {'completed': 0, 'failed': 0}
        else:
            counts = status['request_counts']
        share = (counts['completed'] + counts['failed']) / job['items']
        predicted, at_risk = predict_end(
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

    def _other_members(self, scope: str) -> list[Member]:
        if scope == INSTANCE_SCOPE:
            return []
        zone = self._ctx.cfg.zone
        return [
            member
            for member in self._membership.view.live_members(self._ctx.now())
            if member.instance != self._ctx.cfg.instance
            and (scope == FLEET_SCOPE or member.zone == zone)
        ]

    async def _request_rows(self, member: Member) -> Iterable[Row] | None:
        envelope = Envelope(report_request=ReportRequest())
        try:
            reply = await self._membership.call(member, envelope)
        except PeerError:
            return None
        return [
            Row(row.endpoint, row.objective, row.window, row.good, row.bad)
            for row in reply.report.rows
        ]

    async def _answer_request(self, envelope: Envelope) -> Envelope:
        rows = self._counter.rows(self._ctx.now())
        report = Report(rows=[ReportRow(*row) for row in rows])
        return Envelope(report=report)

    def _on_job_change(self, mirrored: MirroredObject) -> None:
        """Count a completed job only on the instance that finished it."""
        job = mirrored.document or {}
        if job.get('state') != COMPLETED:
            return
        if job.get('finisher') == self._ctx.cfg.instance:
            self._completed_jobs.put_nowait(job)
