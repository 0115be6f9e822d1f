"""Tests of what an owner stores about owners before it, for one that can't query it."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from node_fakes import ManualClock, make_ownership

from jacinthreel_common import compress_row
from jacinthreel_node import Row
from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._records import JOB_PREFIX, EarlierLeases, encode_record
from jacinthreel_steps import JobRecord, JobSpec, JobState, QueueTerms, Resources, StepSpec
from jacinthreel_steps._runs._progress_rows import ProgressRow, StepRow, TaskRow

LONGEST_LEASE_MS = max_lease_validity_ms(5_000)
TERMS = QueueTerms("q", "s", 0, 3, 3.0, 1_000)
SPEC = JobSpec("x", (StepSpec(1, Resources(1, 1, 1), 1_000),))
PROGRESS = ProgressRow(
    "w", int(JobState.RUNNING), [("e1", 1)], [StepRow(0, [TaskRow(1, 0, 0, False, "")])]
)
JOB = Row("intake", JOB_PREFIX + "j", encode_record(JobRecord("j", TERMS, "w", SPEC, 1)), 1)
PLACED = Row("progress", "j", compress_row(msgspec.msgpack.encode(PROGRESS)), 1)
UNREADABLE_JOB = Row("intake", JOB_PREFIX + "j", b"?", 1)
UNREADABLE_PROGRESS = Row("progress", "j", b"?", 1)


def load(*rows: Row) -> tuple[Ownership, ManualClock, int]:
    """Returns an ownership that has loaded the rows, and the longest wait for earlier owners."""
    clock = ManualClock()
    ownership = make_ownership(clock=clock)
    ownership.former_leases.exclude_relays()
    intake = tuple(row for row in rows if row.table == "intake")
    progress = tuple(row for row in rows if row.table == "progress")
    asyncio.run(ownership._job_rows.load(intake, progress))
    ownership.is_loaded = True
    return ownership, clock, ownership.former_leases.wait_ms(clock.now_ms())


# The former owner starts what is only placed once it learns that the job is accepted.
@pytest.mark.parametrize("rows", [(JOB, PLACED), (PLACED,)], ids=["accepted", "not accepted yet"])
def test_executors_with_runs_are_stored_until_a_lease_is_granted_there(
    rows: tuple[Row, ...],
) -> None:
    ownership, clock, longest_ms = load(*rows)
    clock.advance(1_000)
    assert ownership.earlier_leases() == EarlierLeases({"e1": longest_ms - 1_000}, 0)
    ownership.former_leases.record_answer("e1", clock.now_ms())
    assert ownership.earlier_leases() == EarlierLeases({"e1": LONGEST_LEASE_MS}, 0)
    assert ownership._grants.may_grant("e1")
    assert ownership.earlier_leases() == EarlierLeases({}, 0)


def test_longest_bound_is_stored_while_the_tables_are_loaded() -> None:
    ownership, clock, longest_ms = load()
    ownership.is_loaded = False
    assert ownership.earlier_leases() == EarlierLeases({}, longest_ms)
    clock.advance(longest_ms)
    assert ownership.earlier_leases() == EarlierLeases({}, 0)


@pytest.mark.parametrize(
    "rows",
    [(JOB, UNREADABLE_PROGRESS), (UNREADABLE_JOB, PLACED), (UNREADABLE_PROGRESS,)],
)
def test_longest_bound_is_stored_if_a_row_is_unreadable(rows: tuple[Row, ...]) -> None:
    # A next owner of another version may be able to read it, and restarts its runs.
    ownership, _, longest_ms = load(*rows)
    assert ownership.earlier_leases() == EarlierLeases({}, longest_ms)
