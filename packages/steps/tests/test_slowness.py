"""Lagging gang members: their detection, and the moving of urgent gangs."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

EXECUTORS = ("e1", "e2", "e3", "e4", "e5")


def gang_with_progress(
    percents: dict[str, int],
    priority: int = 0,
    after_ms: int = 1_000,
    executors: tuple[str, ...] = EXECUTORS,
) -> SchedulerHarness:
    """Returns a harness with a gang on four of the executors that have reported `percents`."""
    harness = SchedulerHarness(*(listing(name) for name in executors))
    gang = step(4, accelerators=8, is_gang=True)
    harness.submit("j1", gang, terms=queue(priority))
    harness.settle()
    used = [run.executor_id for run in harness.runs("j1")]
    harness.now_ms += after_ms
    harness.percent_by_executor = dict(zip(used, percents.values(), strict=True))
    harness.report_all()
    harness.scheduler.plan(harness.now_ms)
    return harness


def logged_executors(harness: SchedulerHarness, event: str) -> list[str]:
    return [fields["executor"] for name, fields in harness.log_lines if name == event]


def lagging_executors(harness: SchedulerHarness) -> list[str]:
    executors = harness.scheduler.tables.executors_by_id.values()
    return [
        executor.executor_id
        for executor in executors
        for verdict in executor.health.verdict_by_task.values()
        if verdict.is_lagging
    ]


PROGRESS_CASES = {
    "all alike": ({"a": 40, "b": 38, "c": 45, "d": 35}, 0, 0),
    "one slow": ({"a": 40, "b": 38, "c": 45, "d": 5}, 1, 1),
    "one without progress": ({"a": 40, "b": 38, "c": 45, "d": 0}, 1, 1),
    "a little slower": ({"a": 40, "b": 38, "c": 45, "d": 20}, 0, 0),
    "too little progress to compare": ({"a": 10, "b": 9, "c": 12, "d": 1}, 0, 0),
    "nearly done": ({"a": 100, "b": 100, "c": 100, "d": 39}, 1, 0),
}


@pytest.mark.parametrize("name", PROGRESS_CASES)
def test_lagging_member_is_found_and_moved_but_does_not_exclude_its_executor(name: str) -> None:
    percents, lagging, moved = PROGRESS_CASES[name]
    harness = gang_with_progress(percents)
    assert len(lagging_executors(harness)) == lagging
    assert len(logged_executors(harness, "gang_moved")) == moved
    assert logged_executors(harness, "executor_avoided") == []


def test_urgent_gang_is_placed_again_without_the_slow_executor() -> None:
    harness = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2})
    slow = logged_executors(harness, "gang_moved")[0]
    harness.settle()
    harness.report_all()
    harness.settle()
    runs = harness.runs("j1")
    assert [run.run_id.number for run in runs] == [2, 2, 2, 2]
    assert slow not in {run.executor_id for run in runs}


def test_moved_gang_that_fits_only_with_the_executor_that_it_left_is_placed_when_overdue() -> None:
    # Guards against 6 s without work while executors that it could run on are free.
    harness = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2}, executors=EXECUTORS[:4])
    assert logged_executors(harness, "gang_moved")
    for index in range(4):  # Room that may be used soon: these have not reported yet.
        harness.scheduler.apply_listing(listing(f"silent{index}"), harness.now_ms)
    harness.pass_time(1_500)
    assert harness.runs("j1") == []
    harness.pass_time(1_250)
    assert [run.run_id.number for run in harness.runs("j1")] == [2, 2, 2, 2]


def test_gang_is_moved_at_most_once() -> None:
    harness = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2})
    harness.settle()
    harness.report_all()
    harness.settle()
    harness.now_ms += 1_000
    harness.percent_by_executor = {run.executor_id: 40 for run in harness.runs("j1")}
    harness.percent_by_executor[harness.runs("j1")[0].executor_id] = 1
    harness.report_all()
    harness.scheduler.plan(harness.now_ms)
    assert len(logged_executors(harness, "gang_moved")) == 1


def test_gang_of_lower_priority_is_not_moved() -> None:
    harness = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2}, priority=2)
    assert len(lagging_executors(harness)) == 1
    assert logged_executors(harness, "gang_moved") == []


def test_gang_of_an_earlier_owner_is_not_used_to_detect_slow_executors() -> None:
    harness = gang_with_progress({"a": 80, "b": 80, "c": 80, "d": 80})
    harness.take_over()
    harness.report_all()
    harness.now_ms += 600
    used = [run.executor_id for run in harness.runs("j1")]
    for name in used[:3]:
        harness.report(name)
    harness.now_ms += 1_000
    harness.report(used[3])
    harness.scheduler.plan(harness.now_ms)
    assert lagging_executors(harness) == []
    assert logged_executors(harness, "gang_moved") == []
