"""Jobs that are announced while a slow store accepts them: placed meanwhile, started only after."""

from __future__ import annotations

from typing import Any

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import JobRecord, JobSpec, QueueTerms, StepSpec
from jacinthreel_steps._tables import ANNOUNCEMENT_KEEP_MS

COMMIT_MS = 500  # Of a slow store.


def record(*steps: StepSpec, terms: QueueTerms | None = None, accepted_ms: int = 0) -> JobRecord:
    return JobRecord("job", terms or queue(0), "w", JobSpec("x", steps), accepted_ms)


def announce(harness: SchedulerHarness, announced: JobRecord) -> None:
    harness.records["job"] = announced
    assert harness.scheduler.announce_job(announced, harness.now_ms, harness.now_ms)


def accept(harness: SchedulerHarness, accepted: JobRecord) -> None:
    harness.records["job"] = accepted
    assert harness.scheduler.add_job(accepted, None, harness.now_ms, harness.now_ms)


def start_delay_ms(is_announced: bool) -> int:
    """Returns the time from the submission to the start, if acceptance and placement take time."""
    harness = SchedulerHarness(listing("e1"))
    job = record(step(count=3, is_gang=True))
    submitted_ms = harness.now_ms
    if is_announced:
        announce(harness, job)
        harness.scheduler.plan(harness.now_ms)
        rows = harness.scheduler.take_unstored(100, "w1")
    harness.now_ms += COMMIT_MS  # Of the acceptance.
    accept(harness, job)
    if not is_announced:
        harness.scheduler.plan(harness.now_ms)
        rows = harness.scheduler.take_unstored(100, "w1")
        harness.now_ms += COMMIT_MS  # Of the placement.
    for row in rows:
        harness.scheduler.mark_stored(row, 1, harness.now_ms)
    harness.execute_orders()
    assert len(harness.runs("job")) == 3
    return harness.now_ms - submitted_ms


def test_announced_job_starts_one_commit_after_its_submission() -> None:
    assert start_delay_ms(is_announced=False) == 2 * COMMIT_MS
    assert start_delay_ms(is_announced=True) == COMMIT_MS


def test_nothing_of_an_announced_job_starts_before_it_is_accepted() -> None:
    harness = SchedulerHarness(listing("e1"))
    job = record(step(count=3, is_gang=True))
    announce(harness, job)
    harness.settle()
    assert harness.started == [] and harness.scheduler.waiting_by_queue() == {}

    accept(harness, job)
    harness.execute_orders()

    assert len(harness.runs("job")) == 3


def test_announced_job_that_is_never_accepted_releases_its_placement() -> None:
    harness = SchedulerHarness(listing("e1"))
    announce(harness, record(step(count=1, accelerators=8)))
    harness.settle()
    assert harness.scheduler.tables.executors_by_id["e1"].runs_by_task

    harness.pass_time(ANNOUNCEMENT_KEEP_MS + 500)
    harness.submit("other", step(count=1, accelerators=8))
    harness.settle()

    assert len(harness.runs("other")) == 1
    assert harness.scheduler.remove_old_announcements(harness.now_ms + 1) == ["job"]
    assert "job" not in harness.scheduler.tables.jobs_by_id


def test_job_that_is_accepted_after_its_announcement_was_withdrawn_runs_once() -> None:
    harness = SchedulerHarness(listing("e1"))
    job = record(step())
    announce(harness, job)
    harness.pass_time(ANNOUNCEMENT_KEEP_MS + 500)
    assert harness.started == []

    accept(harness, job)
    harness.settle()

    assert len(harness.started) == 1


def test_announced_job_preempts_nothing() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("batch", step(count=8), terms=queue(2))
    harness.settle()
    job = record(step(count=1, accelerators=8))
    announce(harness, job)
    harness.settle()
    assert len(harness.runs("batch")) == 8

    accept(harness, job)
    harness.settle()

    assert len(harness.runs("job")) == 1


@pytest.mark.parametrize("is_stored", [False, True])
def test_job_that_was_accepted_with_other_content_than_announced_runs_as_accepted(
    is_stored: bool,
) -> None:
    harness = SchedulerHarness(listing("e1"))
    announce(harness, record(step(count=4)))
    harness.settle(store=is_stored)

    accept(harness, record(step(count=2), accepted_ms=7))
    harness.settle()

    assert len(harness.started) == len(harness.runs("job")) == 2


@pytest.mark.parametrize("accepted_count", [1, 2])
def test_cancelled_announcement_starts_nothing(accepted_count: int) -> None:
    harness = SchedulerHarness(listing("e1"))
    announce(harness, record(step()))
    harness.settle()
    harness.scheduler.cancel("job", harness.now_ms)

    accept(harness, record(step(count=accepted_count)))
    harness.settle()

    assert harness.started == []
    assert harness.state("job") == "cancelled"


def test_job_whose_announcement_a_former_owner_had_stored_runs_once() -> None:
    harness = SchedulerHarness(listing("e1"))
    job = record(step())
    announce(harness, job)
    harness.settle()
    stored = harness.rows["job"]
    harness.records.clear()
    harness.take_over()

    harness.scheduler.add_job(job, stored, harness.now_ms, harness.now_ms)
    harness.report("e1")
    harness.settle()

    assert len(harness.started) == 1


def test_accepted_job_can_not_be_announced_again() -> None:
    harness = SchedulerHarness(listing("e1"))
    job: Any = record(step())
    accept(harness, job)
    assert not harness.scheduler.announce_job(job, harness.now_ms, harness.now_ms)
    harness.settle()
    assert len(harness.started) == 1
