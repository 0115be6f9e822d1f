"""Tests of what an owner stores about owners before it, for one that can't query it."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from node_fakes import ManualClock, make_ownership

from jacinthreel_common import compress_row
from jacinthreel_node import Row
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._records import INTAKE_TABLE, JOB_PREFIX, PROGRESS_TABLE, encode_record
from jacinthreel_steps import JobRecord, JobSpec, JobState, QueueTerms, Resources, StepSpec
from jacinthreel_steps._runs._progress_rows import ProgressRow, StepRow, TaskRow

TERMS = QueueTerms("q", "s", 0, 3, 3.0, 1_000)


def make_job(job_id: str, executor_id: str) -> tuple[Row, Row]:
    """Returns the rows of a job with one task, placed by an earlier owner."""
    spec = JobSpec("x", (StepSpec(1, Resources(1, 1, 1), 1_000),))
    job = encode_record(JobRecord(job_id, TERMS, "w", spec, 1_000))
    steps = [StepRow(0, [TaskRow(1, 0, 0, False, "")])]
    progress = ProgressRow("w", int(JobState.RUNNING), [(executor_id, 1)], steps)
    value = compress_row(msgspec.msgpack.encode(progress))
    return Row(INTAKE_TABLE, JOB_PREFIX + job_id, job, 1), Row(PROGRESS_TABLE, job_id, value, 1)


def load(intake: list[Row], progress: list[Row]) -> tuple[Ownership, ManualClock, int]:
    """Returns an ownership that has loaded the rows, and the longest wait for earlier owners."""
    clock = ManualClock()
    ownership = make_ownership(clock=clock)
    ownership.former_leases.exclude_relays()
    asyncio.run(ownership._job_rows.load(tuple(intake), tuple(progress)))
    ownership.is_loaded = True
    return ownership, clock, ownership.former_leases.wait_ms(clock.now_ms())


def test_executors_with_runs_of_earlier_owners_are_stored_until_they_answer() -> None:
    rows = [make_job("0000000000000001", "e1"), make_job("0000000000000002", "e2")]
    ownership, clock, longest_ms = load([row for row, _ in rows], [row for _, row in rows])
    clock.advance(1_000)
    stored = ownership.earlier_leases()
    assert stored.left_ms_by_executor == {"e1": longest_ms - 1_000, "e2": longest_ms - 1_000}
    assert stored.others_ms == 0
    ownership.former_leases.record_answer("e1", clock.now_ms())
    assert set(ownership.earlier_leases().left_ms_by_executor) == {"e2"}
    clock.advance(longest_ms)
    assert not ownership.earlier_leases().left_ms_by_executor


def test_placements_of_jobs_that_are_not_accepted_yet_count() -> None:
    # The former owner starts them once it learns that they are accepted.
    _, progress = make_job("0000000000000001", "e1")
    ownership, _, longest_ms = load([], [progress])
    assert ownership.earlier_leases().left_ms_by_executor == {"e1": longest_ms}


def test_longest_bound_is_stored_while_the_tables_are_loaded() -> None:
    ownership, _, longest_ms = load([], [])
    ownership.is_loaded = False
    assert ownership.earlier_leases().others_ms == longest_ms


@pytest.mark.parametrize("is_job_readable", [False, True])
def test_longest_bound_is_stored_if_a_job_is_unreadable(is_job_readable: bool) -> None:
    # A next owner of another version may be able to read it, and restarts its runs.
    intake, progress = make_job("0000000000000001", "e1")
    if is_job_readable:
        progress = Row(progress.table, progress.key, b"?", 1)
    else:
        intake = Row(intake.table, intake.key, b"?", 1)
    ownership, _, longest_ms = load([intake], [progress])
    assert ownership.earlier_leases().others_ms == longest_ms
