"""Job calls of a router: the outcome after each lost reply, missing owner and refusal."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace

import pytest
from returns.result import Failure, Result, Success
from router_fakes import NO_REPLY, NOT_REACHED, FakeProcess, owner_reply

from jacinthreel_common import (
    Fault,
    JobRecord,
    JobSpec,
    JobState,
    ListJobs,
    ResultCode,
    RowWrite,
    StreamReply,
    Transaction,
    job_key,
    to_plain,
)
from jacinthreel_daemon._job_calls import CALL_RETRY_LIMIT_MS, JobCalls

SPEC = JobSpec("j1", "labels", 2, 8)
RECORD = JobRecord(SPEC, JobState.QUEUED, 1_000)
OTHER_RECORD = replace(RECORD, spec=replace(SPEC, tasks=3))
CANCEL_REQUESTED_RECORD = replace(RECORD, cancel_requested=True)
ACCEPTED = owner_reply(ResultCode.OK, to_plain(RECORD))
Replies = list[Result[StreamReply, Fault]]


def make_process(replies: Replies, row: JobRecord | None) -> FakeProcess:
    process = FakeProcess(replies=deque(replies))
    if row is not None:
        write = RowWrite(job_key("r", "j1"), to_plain(row))
        process.store.table.transact(Transaction("w", [], [write]))
    return process


def outcome_name(result: Result[JobRecord, Fault]) -> str:
    """Returns `accepted` for a job record, or the name of the result code."""
    match result:
        case Success(JobRecord()):
            return "accepted"
        case Failure(Fault(code)):
            return code.name
    raise AssertionError(result)


SUBMISSIONS: dict[str, tuple[Replies, JobRecord | None, str, int]] = {
    "answered": ([ACCEPTED], None, "accepted", 1),
    "refused": ([owner_reply(ResultCode.JOB_NEVER_FITS)], None, "JOB_NEVER_FITS", 1),
    "owner changed": ([owner_reply(ResultCode.NOT_OWNER), ACCEPTED], None, "accepted", 2),
    "owner not reached": ([NOT_REACHED, ACCEPTED], None, "accepted", 2),
    "store unavailable": (
        [owner_reply(ResultCode.STORE_UNAVAILABLE)],
        None,
        "STORE_UNAVAILABLE",
        1,
    ),
    "reply lost, row stored": ([NO_REPLY], RECORD, "accepted", 1),
    "reply lost, no row stored": ([NO_REPLY, ACCEPTED], None, "accepted", 2),
    "reply lost, id used by another job": (
        [NO_REPLY, owner_reply(ResultCode.JOB_ID_CONFLICT)],
        OTHER_RECORD,
        "JOB_ID_CONFLICT",
        2,
    ),
    "reply lost, then the store is unavailable": (
        [NO_REPLY, owner_reply(ResultCode.STORE_UNAVAILABLE), ACCEPTED],
        None,
        "accepted",
        3,
    ),
    "write outcome unknown, row stored": (
        [owner_reply(ResultCode.JOB_OUTCOME_UNKNOWN)],
        RECORD,
        "accepted",
        1,
    ),
}


@pytest.mark.parametrize("name", SUBMISSIONS)
def test_submission_has_expected_outcome_and_number_of_calls(name: str) -> None:
    replies, row, expected, calls = SUBMISSIONS[name]
    process = make_process(replies, row)
    result = asyncio.run(JobCalls(process.context(), process.sleep).submit(SPEC))
    assert (outcome_name(result), len(process.sent_messages)) == (expected, calls)


@pytest.mark.parametrize(
    ("replies", "expected"),
    [([], "NO_OWNER"), ([NO_REPLY], "JOB_OUTCOME_UNKNOWN")],
)
def test_submission_fails_after_the_call_limit(replies: Replies, expected: str) -> None:
    process = make_process(replies, None)
    result = asyncio.run(JobCalls(process.context(), process.sleep).submit(SPEC))
    assert outcome_name(result) == expected
    assert result.failure().retry_after_ms
    assert process.time_ms >= CALL_RETRY_LIMIT_MS


def test_cancellation_with_lost_reply_is_resolved_from_the_row() -> None:
    process = make_process([NO_REPLY], CANCEL_REQUESTED_RECORD)
    result = asyncio.run(JobCalls(process.context(), process.sleep).cancel("j1"))
    assert outcome_name(result) == "accepted"


def test_reads_without_an_owner_use_the_table_rows() -> None:
    process = make_process([], RECORD)
    process.owner = None
    calls = JobCalls(process.context(), process.sleep)
    listed = asyncio.run(calls.list(ListJobs(workspace="labels", state="queued"))).unwrap()
    assert (listed.source, listed.jobs) == ("table", [RECORD])
    assert asyncio.run(calls.list(ListJobs(workspace="other"))).unwrap().jobs == []
    assert asyncio.run(calls.show("j1")).unwrap() == RECORD
    assert outcome_name(asyncio.run(calls.show("j2"))) == "JOB_NOT_FOUND"
    assert asyncio.run(calls.has_unended_jobs("labels")).unwrap()


def test_list_that_is_too_long_is_refused_and_not_read_from_the_rows() -> None:
    process = make_process([owner_reply(ResultCode.OUT_OF_RANGE)], RECORD)
    listed = asyncio.run(JobCalls(process.context(), process.sleep).list(ListJobs()))
    assert listed.failure().code is ResultCode.OUT_OF_RANGE


def test_workspace_with_only_ended_jobs_has_no_unended_job() -> None:
    process = make_process([], replace(RECORD, state=JobState.FINISHED))
    calls = JobCalls(process.context(), process.sleep)
    assert not asyncio.run(calls.has_unended_jobs("labels")).unwrap()
