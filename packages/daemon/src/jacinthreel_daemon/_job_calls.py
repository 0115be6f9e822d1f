"""Forwards job calls from a router to the owner of the shard and determines their outcome.

A call that was definitely not accepted (no owner, owner unreachable, owner changed) is retried for
up to `CALL_RETRY_LIMIT_MS`, since a takeover lasts a few seconds.  If the reply to a call is lost,
the job's row is read to determine the outcome; if the row does not show it, the call is sent
again, which is idempotent because jobs are identified by their id.

Without an owner, reads are answered from the stored rows, which may lack the owner's pending
bookkeeping writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    ENDED_STATES,
    CancelJob,
    Fault,
    JobList,
    JobRecord,
    JobSpec,
    JobState,
    ListJobs,
    ReadQuery,
    ResultCode,
    StreamReply,
    SubmitJob,
    convert,
    job_key,
    job_prefix,
)
from jacinthreel_daemon._context import RouterContext

CALL_TIMEOUT_MS: Final = 5_000
CALL_RETRY_LIMIT_MS: Final = 8_000
RETRY_PAUSE_MS: Final = 200
RETRY_AFTER_MS: Final = 1_000
MAX_LISTED_JOBS: Final = 1_000

_NOT_ACCEPTED_CODES: Final = frozenset(
    {ResultCode.NOT_OWNER, ResultCode.NO_OWNER, ResultCode.PEER_UNREACHABLE}
)
_UNKNOWN_OUTCOME_CODES: Final = frozenset(
    {
        ResultCode.PEER_TIMEOUT,
        ResultCode.JOB_OUTCOME_UNKNOWN,
        ResultCode.STORE_OUTCOME_UNKNOWN,
    }
)

Sleep = Callable[[float], Awaitable[None]]


class JobCalls:
    """Job calls of one router; `sleep` takes seconds."""

    def __init__(self, context: RouterContext, sleep: Sleep = asyncio.sleep) -> None:
        self._context = context
        self._sleep = sleep

    async def submit(self, spec: JobSpec) -> Result[JobRecord, Fault]:
        """Submits a job; success means that it is stored.

        Errors: those of the owner, NO_OWNER (not accepted), JOB_OUTCOME_UNKNOWN.
        """
        return await self._change_job(SubmitJob(spec), spec.job_id, spec)

    async def cancel(self, job_id: str) -> Result[JobRecord, Fault]:
        """Cancels a job; success means that the cancellation is stored.

        Errors: those of the owner, NO_OWNER (not accepted), JOB_OUTCOME_UNKNOWN.
        """
        return await self._change_job(CancelJob(job_id), job_id, None)

    async def show(self, job_id: str) -> Result[JobRecord, Fault]:
        """Returns one job.  Errors: JOB_NOT_FOUND and, without an owner, those of the store."""
        listed = await self.list(ListJobs(job_id=job_id))
        if isinstance(listed, Failure):
            return listed
        for record in listed.unwrap().jobs:
            if record.spec.job_id == job_id:
                return Success(record)
        return Failure(Fault(ResultCode.JOB_NOT_FOUND, f"no job {job_id!r}"))

    async def list(self, query: ListJobs) -> Result[JobList, Fault]:
        """Returns jobs from the owner, or from the stored rows if no owner is available.

        Errors: OUT_OF_RANGE (too many for one reply) and, without an owner, those of the store.
        """
        called = await self._call_owner(query)
        if isinstance(called, Failure):
            return await self._list_stored_jobs(query)
        reply = called.unwrap()
        if reply.code in _NOT_ACCEPTED_CODES:
            return await self._list_stored_jobs(query)
        if reply.code is not ResultCode.OK:
            return Failure(Fault(reply.code, reply.detail, reply.retry_after_ms))
        records = convert(list[JobRecord], reply.body)
        if isinstance(records, Failure):
            return records
        return Success(JobList("owner", _sort_newest_first(records.unwrap())))

    async def has_unended_jobs(self, workspace: str) -> Result[bool, Fault]:
        """Returns whether a workspace has jobs that have not ended.  Errors: as for `list`."""
        for state in JobState:
            if state in ENDED_STATES:
                continue
            listed = await self.list(ListJobs(workspace=workspace, state=state, limit=1))
            if isinstance(listed, Failure):
                return listed
            if listed.unwrap().jobs:
                return Success(True)
        return Success(False)

    async def _change_job(
        self, message: SubmitJob | CancelJob, job_id: str, spec: JobSpec | None
    ) -> Result[JobRecord, Fault]:
        clock = self._context.clock
        retry_until_ms = clock.now_ms() + CALL_RETRY_LIMIT_MS
        outcome_unknown = False
        while True:
            outcome = await self._attempt(message, job_id, spec)
            if isinstance(outcome, JobRecord):
                return Success(outcome)
            outcome_unknown = outcome_unknown or outcome.code in _UNKNOWN_OUTCOME_CODES
            is_retryable = (
                outcome.code in _NOT_ACCEPTED_CODES or outcome.code in _UNKNOWN_OUTCOME_CODES
            )
            if not is_retryable and not (outcome_unknown and _leaves_outcome_unknown(outcome.code)):
                return Failure(outcome)
            if clock.now_ms() >= retry_until_ms:
                return Failure(_retry_limit_fault(outcome, outcome_unknown))
            await self._sleep(RETRY_PAUSE_MS / 1000)

    async def _attempt(
        self, message: SubmitJob | CancelJob, job_id: str, spec: JobSpec | None
    ) -> JobRecord | Fault:
        """Sends one call; returns the job's record if the change is confirmed as stored."""
        called = await self._call_owner(message)
        if isinstance(called, Failure):
            fault: Fault = called.failure()
        else:
            reply = called.unwrap()
            if reply.code is ResultCode.OK:
                record = convert(JobRecord, reply.body)
                if isinstance(record, Failure):
                    return Fault(ResultCode.JOB_OUTCOME_UNKNOWN, record.failure().detail)
                return record.unwrap()
            fault = Fault(reply.code, reply.detail, reply.retry_after_ms)
        if fault.code not in _UNKNOWN_OUTCOME_CODES:
            return fault
        stored = await self._read_stored_job(job_id)
        return stored if stored is not None and _confirms_change(stored, spec) else fault

    async def _call_owner(self, message: object) -> Result[StreamReply, Fault]:
        owner = self._context.owner.owner_address()
        if owner is None:
            detail = "the shard has no known owner"
            return Failure(Fault(ResultCode.NO_OWNER, detail, RETRY_AFTER_MS))
        address, port = owner
        return await self._context.streams.call(address, port, message, CALL_TIMEOUT_MS)

    async def _read_stored_job(self, job_id: str) -> JobRecord | None:
        key = job_key(self._context.region, job_id)
        read = await self._context.store.read(ReadQuery(keys=[key]))
        rows = read.unwrap().rows if isinstance(read, Success) else []
        record = convert(JobRecord, rows[0].value) if rows else None
        return record.unwrap() if isinstance(record, Success) else None

    async def _list_stored_jobs(self, query: ListJobs) -> Result[JobList, Fault]:
        region = self._context.region
        rows_query = ReadQuery(prefixes=[job_prefix(region)])
        if query.job_id:
            rows_query = ReadQuery(keys=[job_key(region, query.job_id)])
        read = await self._context.store.read(rows_query)
        if isinstance(read, Failure):
            return read
        jobs: list[JobRecord] = []
        for row in read.unwrap().rows:
            record = convert(JobRecord, row.value)
            if isinstance(record, Failure) or not _matches_query(record.unwrap(), query):
                continue
            jobs.append(record.unwrap())
        return Success(JobList("table", _sort_newest_first(jobs)[: query.limit]))


def _leaves_outcome_unknown(code: ResultCode) -> bool:
    """Whether this error of a repeated call leaves the outcome of an earlier call unknown."""
    return code in (
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.STORE_BUDGET_SPENT,
        ResultCode.SHUTTING_DOWN,
        ResultCode.JOB_QUEUE_FULL,
    )


def _confirms_change(stored: JobRecord, spec: JobSpec | None) -> bool:
    """Whether the stored job confirms a submission of `spec` or, if None, a cancellation."""
    if spec is not None:
        return stored.spec == spec
    return stored.cancel_requested or stored.state in ENDED_STATES


def _retry_limit_fault(fault: Fault, outcome_unknown: bool) -> Fault:
    if outcome_unknown:
        return Fault(ResultCode.JOB_OUTCOME_UNKNOWN, fault.detail, RETRY_AFTER_MS)
    return Fault(ResultCode.NO_OWNER, fault.detail, RETRY_AFTER_MS)


def _sort_newest_first(jobs: list[JobRecord]) -> list[JobRecord]:
    return sorted(jobs, key=lambda job: (-job.submitted_unix_ms, job.spec.job_id))


def _matches_query(record: JobRecord, query: ListJobs) -> bool:
    if query.workspace and record.spec.workspace != query.workspace:
        return False
    return not query.state or record.state is JobState(query.state)
