"""Loading the jobs at a takeover: the process must go on with its other work meanwhile."""

from __future__ import annotations

import asyncio

from node_fakes import ManualClock, make_ownership

from jacinthreel_node import Row
from jacinthreel_node._job_rows import LOAD_STEP_MS
from jacinthreel_node._records import CANCEL_PREFIX, JOB_PREFIX, encode_record
from jacinthreel_steps import JobRecord, JobSpec, QueueTerms, Resources, StepSpec

JOBS = 30


class SlowClock(ManualClock):
    """A clock on which each reading takes a few milliseconds."""

    def now_ms(self) -> int:
        self.time_ms += LOAD_STEP_MS // 5
        return self.time_ms


def intake_rows() -> tuple[Row, ...]:
    terms = QueueTerms("q", "s", 1, 3, 3.0, 1_000)
    spec = JobSpec("x", (StepSpec(100, Resources(1, 1, 1)),))
    rows = [Row("intake", f"{CANCEL_PREFIX}j0", b"", 1)]
    for index in range(JOBS):
        record = JobRecord(f"j{index}", terms, "w", spec, 0)
        rows.append(Row("intake", f"{JOB_PREFIX}j{index}", encode_record(record), 1))
    return tuple(rows)


def test_other_work_is_done_while_stored_jobs_are_loaded() -> None:
    # All jobs were added in one step, in which the lease of the owner was not renewed.
    async def run() -> int:
        ownership = make_ownership(clock=SlowClock())
        other_steps = 0

        async def work() -> None:
            nonlocal other_steps
            while True:
                await asyncio.sleep(0)
                other_steps += 1

        worker = asyncio.create_task(work())
        await ownership._job_rows._load_jobs(intake_rows(), {})
        worker.cancel()
        tables = ownership.scheduler.tables
        assert len(tables.jobs_by_id) == JOBS
        assert "j0" not in tables.open_jobs_by_id
        return other_steps

    assert asyncio.run(run()) >= 3
