"""Reports that list only some of the ends: runs whose end is listed later must not run again."""

from __future__ import annotations

from typing import Any

import pytest
from scheduler_harness import SchedulerHarness, listing, step

from jacinthreel_steps import EndReason, ExecutorReport, ReportedRun, RunId, TaskId

LISTED_ENDS = 5
BEGIN_MS = 1_000_000
ROUND_MS = 250
TASKS = 16


class CutReportWorld(SchedulerHarness):
    """An executor that lists its lowest `LISTED_ENDS` ends, until they are acknowledged."""

    def __init__(self, *executors: Any) -> None:
        self.acknowledged: dict[str, int] = {}
        self.unclear: frozenset[TaskId] = frozenset()
        super().__init__(*executors)

    def report(self, name: str, incarnation: int | None = None) -> None:
        upto = self.scheduler.acknowledged_upto(name)
        self.acknowledged[name] = max(upto, self.acknowledged.get(name, 0))
        left = [e for e in self.ends.get(name, []) if e.sequence > self.acknowledged[name]]
        percent = min(99, (self.now_ms - BEGIN_MS) // ROUND_MS)
        running = tuple(
            ReportedRun(run.run_id, "", percent) for run in self.running.get(name, {}).values()
        )
        report = ExecutorReport(
            self.listings[name].incarnation,
            self.now_ms,
            running,
            tuple(left[:LISTED_ENDS]),
            may_omit_ends=len(left) >= LISTED_ENDS,
            unclear_tasks=self.unclear,
        )
        self.scheduler.apply_report(name, report, self.now_ms)

    def pass_rounds(self, rounds: int, is_store_up: bool = True) -> None:
        for _ in range(rounds):
            self.now_ms += ROUND_MS
            self.report_all()
            self.scheduler.plan(self.now_ms)
            if is_store_up:
                self.store()
            self.execute_orders()

    def started_ids(self) -> list[RunId]:
        return [run.run_id for run in self.started]


def world_with_running_tasks() -> CutReportWorld:
    world = CutReportWorld(listing("e1", capacity_accelerators=TASKS))
    world.submit("job", step(TASKS))
    world.pass_rounds(4)
    assert len(world.runs("job")) == TASKS
    return world


@pytest.mark.parametrize("is_owner_new", [False, True])
def test_runs_whose_end_is_not_listed_yet_do_not_run_again(is_owner_new: bool) -> None:
    # They counted as lapsed, and were started again though they had ended as done.
    world = world_with_running_tasks()
    for run in world.runs("job"):
        world.end(run, EndReason.DONE)
    if is_owner_new:
        world.take_over()
    world.pass_rounds(12, is_store_up=False)
    world.pass_rounds(12)
    assert world.state("job") == "completed"
    assert len(world.started_ids()) == TASKS


def test_run_that_never_started_is_placed_again_once_the_list_of_ends_is_complete() -> None:
    world = world_with_running_tasks()
    runs = world.runs("job")
    lost = runs.pop()
    world.running["e1"].pop(str(lost.run_id))
    for run in runs:
        world.end(run, EndReason.DONE)
    world.take_over()
    world.pass_rounds(16)
    assert world.started_ids()[TASKS:] == [RunId(lost.run_id.task, 2)]


def test_run_of_an_entry_that_cannot_be_read_does_not_run_again() -> None:
    world = world_with_running_tasks()
    run = world.runs("job")[0]
    world.running["e1"].pop(str(run.run_id))
    world.unclear = frozenset({run.run_id.task})
    world.pass_rounds(12)
    assert len(world.started_ids()) == TASKS
    world.unclear = frozenset()
    world.pass_rounds(12)
    assert world.started_ids()[TASKS:] == [RunId(run.run_id.task, 2)]


def test_log_tells_when_reports_begin_to_omit_ends_and_when_they_are_complete() -> None:
    world = world_with_running_tasks()
    for run in world.runs("job"):
        world.end(run, EndReason.DONE)
    world.pass_rounds(3, is_store_up=False)
    world.pass_rounds(12)
    events = [event for event, _ in world.log_lines if event.startswith("report_")]
    assert events == ["report_cut_short", "report_complete"]
