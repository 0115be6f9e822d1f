"""Deleting the rows of jobs that have ended: what a failure in between leaves behind."""

from __future__ import annotations

import asyncio

from node_fakes import MemoryStore

from jacinthreel_common import ResultCode
from jacinthreel_node import RowWrite
from jacinthreel_node._ended_job_sweeper import KEEP_MARGIN_MS, EndedJobSweeper
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_TABLE,
    JOB_PREFIX,
    OWNER_KEY,
    OWNER_TABLE,
    PROGRESS_TABLE,
)
from jacinthreel_steps import JobRecord, JobSpec, QueueTerms, Resources, Scheduler, StepSpec

KEEP_MS = 120_000
ENDED_MS = 1_000_000
DUE_MS = ENDED_MS + KEEP_MS + KEEP_MARGIN_MS + 1
TERMS = QueueTerms("q", "s", 1, 3, 3.0, 1_000)


class Bench:
    """A cancelled job with all its rows, and the sweep of its owner."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.lines: list[str] = []
        self.scheduler = Scheduler(lambda event, fields: None)
        spec = JobSpec("x", (StepSpec(1, Resources(1, 1, 1)),))
        self.scheduler.add_job(JobRecord("j1", TERMS, "w", spec, 0), None, ENDED_MS, ENDED_MS)
        self.scheduler.cancel("j1", ENDED_MS)
        owner = self._write(OWNER_TABLE, OWNER_KEY)
        for key in (JOB_PREFIX + "j1", CANCEL_PREFIX + "j1"):
            self._write(INTAKE_TABLE, key)
        row = self.scheduler.take_unstored(1, "w1")[0]
        self.scheduler.mark_stored(row, self._write(PROGRESS_TABLE, "j1"), ENDED_MS)
        self.ended = EndedJobSweeper(
            self.store,
            self.scheduler,
            KEEP_MS,
            owner,
            lambda event, fields: self.lines.append(event),
        )

    def _write(self, table: str, key: str) -> int:
        asyncio.run(self.store.commit([], [RowWrite(table, key, b"v")], 100))
        return self.store.version

    def sweep(self, now_ms: int = DUE_MS) -> None:
        asyncio.run(self.ended.sweep(now_ms))

    @property
    def tables(self) -> set[str]:
        return {table for table, _ in self.store.rows} - {OWNER_TABLE}

    @property
    def is_known(self) -> bool:
        return "j1" in self.scheduler.tables.jobs_by_id


def test_job_is_kept_until_its_state_need_not_be() -> None:
    bench = Bench()
    bench.sweep(DUE_MS - 1)
    assert (bench.is_known, bench.tables) == (True, {INTAKE_TABLE, PROGRESS_TABLE})


def test_all_rows_of_a_job_are_deleted() -> None:
    bench = Bench()
    bench.sweep()
    assert (bench.is_known, bench.tables) == (False, set())


def test_progress_is_kept_while_the_rows_of_intake_may_be_there() -> None:
    bench = Bench()
    bench.store.faults = [ResultCode.STORE_OUTCOME_UNKNOWN]
    bench.sweep()
    assert (bench.is_known, bench.tables) == (True, {INTAKE_TABLE, PROGRESS_TABLE})
    assert bench.lines == ["rows_not_deleted"]

    bench.sweep(DUE_MS + 10_000)
    assert (bench.is_known, bench.tables) == (False, set())


def test_progress_that_could_not_be_deleted_is_deleted_later() -> None:
    bench = Bench()
    bench.store.faults = [None, ResultCode.STORE_UNAVAILABLE]
    bench.sweep()
    assert bench.tables == {PROGRESS_TABLE}

    bench.sweep(DUE_MS + 10_000)
    assert bench.tables == set()


def test_job_is_not_taken_in_again_from_a_read_that_began_before() -> None:
    bench = Bench()
    bench.sweep()
    assert bench.ended.was_just_deleted("j1")

    bench.sweep(DUE_MS + 10_000)
    assert not bench.ended.was_just_deleted("j1")


def test_progress_without_intake_is_deleted() -> None:
    bench = Bench()
    bench.store.rows = {
        name: row for name, row in bench.store.rows.items() if name[0] != INTAKE_TABLE
    }
    bench.ended.add_orphaned_progress(["j1"])
    bench.sweep(ENDED_MS)
    assert bench.tables == set()


def test_owner_that_was_replaced_deletes_no_progress() -> None:
    bench = Bench()
    bench._write(OWNER_TABLE, OWNER_KEY)
    bench.sweep()
    assert bench.tables == {PROGRESS_TABLE}
    assert bench.lines == ["rows_not_deleted"]
