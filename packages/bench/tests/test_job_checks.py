"""The checks on job measurements find what they are there to find."""

from __future__ import annotations

import pytest

from jacinthreel_bench._job_guarantee_check import cells_needed
from jacinthreel_bench._job_records import (
    PartialGangs,
    RecordedWorker,
    TaskRun,
    count_duplicate_runs,
)
from jacinthreel_bench._report import job_goals
from jacinthreel_bench._workloads import ASSOCIATION, DEPOT, LOADS, Deployment, make_workload
from jacinthreel_common import (
    Adjacency,
    CellLevel,
    CommandBatch,
    CommandKind,
    JobSpec,
    TaskCommand,
    TaskState,
)
from jacinthreel_jobs import check_guarantees
from jacinthreel_standins import WorkerModel


def run(attempt: int, start_ms: int, end_ms: int, state: TaskState, task: int = 0) -> TaskRun:
    return TaskRun("w", "job", attempt, task, start_ms, end_ms, state)


@pytest.mark.parametrize(
    ("runs", "duplicates"),
    [
        ([run(1, 0, 10, TaskState.STOPPED), run(2, 10, 20, TaskState.FINISHED)], 0),
        ([run(1, 0, 10, TaskState.STOPPED), run(2, 9, 20, TaskState.FINISHED)], 1),
        ([run(1, 0, 10, TaskState.FINISHED), run(2, 10, 20, TaskState.FINISHED)], 1),
        (
            [
                run(1, 0, 10, TaskState.FINISHED),
                run(1, 0, 8, TaskState.FAILED, task=1),
                run(2, 10, 20, TaskState.FINISHED),
                run(2, 10, 20, TaskState.FINISHED, task=1),
            ],
            0,
        ),
    ],
)
def test_duplicate_runs_are_counted(runs: list[TaskRun], duplicates: int) -> None:
    assert count_duplicate_runs(runs, 100) == duplicates


def test_a_gang_that_stays_partial_is_counted_once() -> None:
    worker = RecordedWorker(WorkerModel("w", 8, 64, 512), "z")
    commands = [
        TaskCommand(kind, "job", 1, 0, 1, 1, 1, command="run=100")
        for kind in (CommandKind.RESERVE, CommandKind.START)
    ]
    worker.handle(CommandBatch("s", 1, 60_000, 0, commands), 0)
    partial = PartialGangs(limit_ms=5_000)
    for now_ms in range(0, 10_000, 1_000):
        partial.sample([worker], {"job": 2}, now_ms)
    assert partial.count == 1


@pytest.mark.parametrize(
    ("spec", "cells"),
    [
        (JobSpec("j", "w", 3, 4), (CellLevel.QUAD, 3)),
        (JobSpec("j", "w", 4, 1, adjacency=Adjacency.WORKER), (CellLevel.QUAD, 1)),
        (JobSpec("j", "w", 8, 8, adjacency=Adjacency.RACK), (CellLevel.RACK, 1)),
        (JobSpec("j", "w", 9, 8, adjacency=Adjacency.RACK), None),
    ],
)
def test_cells_needed(spec: JobSpec, cells: tuple[CellLevel, int] | None) -> None:
    assert cells_needed(spec) == cells


@pytest.mark.parametrize("deployment", [ASSOCIATION, DEPOT])
def test_workloads_repeat_and_guarantees_fit(deployment: Deployment) -> None:
    check_guarantees(deployment.workspaces, deployment.hosts()).unwrap()
    for load in LOADS:
        assert make_workload(deployment, load, 1) == make_workload(deployment, load, 1)


def test_goals_see_a_worse_product() -> None:
    keys = (
        "mean_jct_s",
        "large_gang_mean_wait_s",
        "fragmentation",
        "zone_change_work_ratio",
        "urgent_p99_start_s",
        "guarantee_breaches",
        "duplicate_runs",
        "partial_gangs",
        "starts_in_closed_zone",
    )
    case = {"kind": "jobs", "deployment": "depot", "load": "steady", "seed": 1}
    rows = [
        {**case, "policy": policy, **dict.fromkeys(keys, value)}
        for policy, value in (("fifo_first_fit", 1.0), ("jacinthreel", 2.0))
    ]
    assert [goal.goal for goal in job_goals(rows) if goal.holds] == ["zone_change_work_ratio"]
