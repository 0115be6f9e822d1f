"""Detection of stalled runs."""

from __future__ import annotations

from scheduler_harness import SchedulerHarness, listing, step


def pass_without_progress(harness: SchedulerHarness, duration_ms: int) -> None:
    """Advances the time while executors report unchanged progress."""
    for _ in range(duration_ms // 250):
        harness.now_ms += 250
        harness.report_all()
        harness.settle()


def test_run_without_progress_is_placed_elsewhere() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("j1", step())
    harness.settle()
    first = harness.runs("j1")[0].executor_id
    other = "e2" if first == "e1" else "e1"

    pass_without_progress(harness, 2_000)

    assert harness.runs("j1")[0].executor_id == other


def test_run_without_progress_between_two_reports_is_left_alone() -> None:
    """Reports are up to a second apart: less than two of them show no stall."""
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("j1", step())
    harness.settle()
    first = harness.runs("j1")[0].executor_id

    pass_without_progress(harness, 1_250)

    assert harness.runs("j1")[0].executor_id == first


def test_gang_task_that_has_completed_its_share_is_not_stopped() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("g", step(count=2, accelerators=8, is_gang=True))
    harness.settle()
    harness.percent_by_executor["e1"] = 100
    harness.report_all()

    for _ in range(16):
        harness.percent_by_executor["e2"] = harness.percent_by_executor.get("e2", 0) + 2
        harness.now_ms += 250
        harness.report_all()
        harness.settle()

    assert [run.run_id.number for run in harness.runs("g")] == [1, 1]


def test_runs_that_make_progress_are_not_stopped() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(count=2))
    harness.settle()

    harness.pass_time(4_000)

    assert [run.run_id.number for run in harness.runs("j1")] == [1, 1]
