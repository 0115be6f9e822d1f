"""Forwards job calls from a router to the owner of the shard and makes their outcome definite.

A call that certainly wasn't accepted (no owner, owner not reached, owner changed) is tried again
until `CALL_LIMIT_MS` has passed, since a takeover lasts a few seconds.  A call whose reply was
lost is resolved by the job's row; where the row doesn't settle it, the call is sent again, which
is safe because jobs are identified by their id.

Reads are answered from the rows where there is no owner; they can be behind the owner's view by
its bookkeeping writes.
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
CALL_LIMIT_MS: Final = 8_000
RETRY_PAUSE_MS: Final = 200
RETRY_AFTER_MS: Final = 1_000
MAX_LISTED_JOBS: Final = 1_000

_NOT_ACCEPTED_CODES: Final = frozenset(
    {ResultCode.NOT_OWNER, ResultCode.NO_OWNER, ResultCode.PEER_UNREACHABLE}
)
_UNKNOWN_CODES: Final = frozenset(
    {
        ResultCode.PEER_TIMEOUT,
        ResultCode.JOB_OUTCOME_UNKNOWN,
        ResultCode.STORE_OUTCOME_UNKNOWN,
    }
)

Sleep = Callable[[float], Awaitable[None]]


class JobCalls:
    """Job calls of one router; `sleep` waits for seconds."""

    def __init__(self, context: RouterContext, sleep: Sleep = asyncio.sleep) -> None:
        self._context = context
        self._sleep = sleep

    async def submit(self, spec: JobSpec) -> Result[JobRecord, Fault]:
        """Submits a job; success means that it is stored.

        Errors: those of the owner, NO_OWNER (not accepted), JOB_OUTCOME_UNKNOWN.
        """
        return await self._change(SubmitJob(spec), spec.job_id, spec)

    async def cancel(self, job_id: str) -> Result[JobRecord, Fault]:
        """Cancels a job; success means that the cancellation is stored.

        Errors: those of the owner, NO_OWNER (not accepted), JOB_OUTCOME_UNKNOWN.
        """
        return await self._change(CancelJob(job_id), job_id, None)

    async def show(self, job_id: str) -> Result[JobRecord, Fault]:
        """One job.  Errors: JOB_NOT_FOUND, and those of the store without an owner."""
        listed = await self.list(ListJobs(job_id=job_id))
        if isinstance(listed, Failure):
            return listed
        for record in listed.unwrap().jobs:
            if record.spec.job_id == job_id:
                return Success(record)
        return Failure(Fault(ResultCode.JOB_NOT_FOUND, f"no job {job_id!r}"))

    async def list(self, query: ListJobs) -> Result[JobList, Fault]:
        """Jobs from the owner, or from the rows where there is none to ask.

        Errors: OUT_OF_RANGE (too many for one reply) and those of the store without an owner.
        """
        called = await self._call_owner(query)
        if isinstance(called, Failure):
            return await self._list_rows(query)
        reply = called.unwrap()
        if reply.code in _NOT_ACCEPTED_CODES:
            return await self._list_rows(query)
        if reply.code is not ResultCode.OK:
            return Failure(Fault(reply.code, reply.detail, reply.retry_after_ms))
        records = convert(list[JobRecord], reply.body)
        if isinstance(records, Failure):
            return records
        return Success(JobList("owner", _newest_first(records.unwrap())))

    async def has_unended(self, workspace: str) -> Result[bool, Fault]:
        """Whether a workspace has jobs that have not ended.  Errors: as for `list`."""
        for state in JobState:
            if state in ENDED_STATES:
                continue
            listed = await self.list(ListJobs(workspace=workspace, state=state, limit=1))
            if isinstance(listed, Failure):
                return listed
            if listed.unwrap().jobs:
                return Success(True)
        return Success(False)

    async def _change(
        self, message: SubmitJob | CancelJob, job_id: str, spec: JobSpec | None
    ) -> Result[JobRecord, Fault]:
        clock = self._context.clock
        give_up_ms = clock.now_ms() + CALL_LIMIT_MS
        doubtful = False
        while True:
            fault = await self._attempt(message, job_id, spec)
            if isinstance(fault, JobRecord):
                return Success(fault)
            doubtful = doubtful or fault.code in _UNKNOWN_CODES
            retryable = fault.code in _NOT_ACCEPTED_CODES or fault.code in _UNKNOWN_CODES
            if not retryable and not (doubtful and _may_pass(fault.code)):
                return Failure(fault)
            if clock.now_ms() >= give_up_ms:
                return Failure(_give_up(fault, doubtful))
            await self._sleep(RETRY_PAUSE_MS / 1000)

    async def _attempt(
        self, message: SubmitJob | CancelJob, job_id: str, spec: JobSpec | None
    ) -> JobRecord | Fault:
        """One call; the job's record where the change is known to be stored."""
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
        if fault.code not in _UNKNOWN_CODES:
            return fault
        row = await self._read_row(job_id)
        return row if row is not None and _settles(row, spec) else fault

    async def _call_owner(self, message: object) -> Result[StreamReply, Fault]:
        owner = self._context.owner.owner_address()
        if owner is None:
            detail = "no scheduler is known to own the shard"
            return Failure(Fault(ResultCode.NO_OWNER, detail, RETRY_AFTER_MS))
        address, port = owner
        return await self._context.streams.call(address, port, message, CALL_TIMEOUT_MS)

    async def _read_row(self, job_id: str) -> JobRecord | None:
        key = job_key(self._context.region, job_id)
        read = await self._context.store.read(ReadQuery(keys=[key]))
        rows = read.unwrap().rows if isinstance(read, Success) else []
        record = convert(JobRecord, rows[0].value) if rows else None
        return record.unwrap() if isinstance(record, Success) else None

    async def _list_rows(self, query: ListJobs) -> Result[JobList, Fault]:
        region = self._context.region
        wanted = ReadQuery(prefixes=[job_prefix(region)])
        if query.job_id:
            wanted = ReadQuery(keys=[job_key(region, query.job_id)])
        read = await self._context.store.read(wanted)
        if isinstance(read, Failure):
            return read
        jobs: list[JobRecord] = []
        for row in read.unwrap().rows:
            record = convert(JobRecord, row.value)
            if isinstance(record, Failure) or not _matches(record.unwrap(), query):
                continue
            jobs.append(record.unwrap())
        return Success(JobList("table", _newest_first(jobs)[: query.limit]))


def _may_pass(code: ResultCode) -> bool:
    """Whether a refusal of a repeated call says nothing about the call whose reply was lost."""
    return code in (
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.STORE_BUDGET_SPENT,
        ResultCode.SHUTTING_DOWN,
        ResultCode.JOB_QUEUE_FULL,
    )


def _settles(row: JobRecord, spec: JobSpec | None) -> bool:
    """Whether a job's row shows that a submission (`spec`) or a cancellation was stored."""
    if spec is not None:
        return row.spec == spec
    return row.cancel_requested or row.state in ENDED_STATES


def _give_up(fault: Fault, doubtful: bool) -> Fault:
    if doubtful:
        return Fault(ResultCode.JOB_OUTCOME_UNKNOWN, fault.detail, RETRY_AFTER_MS)
    return Fault(ResultCode.NO_OWNER, fault.detail, RETRY_AFTER_MS)


def _newest_first(jobs: list[JobRecord]) -> list[JobRecord]:
    return sorted(jobs, key=lambda job: (-job.submitted_unix_ms, job.spec.job_id))


def _matches(record: JobRecord, query: ListJobs) -> bool:
    if query.workspace and record.spec.workspace != query.workspace:
        return False
    return not query.state or record.state is JobState(query.state)
