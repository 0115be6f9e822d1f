"""Tests of the checks on job measurements: duplicate runs, partial gangs, cells and goals."""

from __future__ import annotations

import pytest

from jacinthreel_bench._job_guarantee_check import find_needed_cells
from jacinthreel_bench._job_records import (
    PartialGangCounter,
    RecordedWorker,
    TaskRun,
    count_duplicate_runs,
)
from jacinthreel_bench._report import evaluate_job_goals
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


def make_run(attempt: int, start_ms: int, end_ms: int, state: TaskState, task: int = 0) -> TaskRun:
    return TaskRun("w", "job", attempt, task, start_ms, end_ms, state)


@pytest.mark.parametrize(
    ("runs", "duplicates"),
    [
        ([make_run(1, 0, 10, TaskState.STOPPED), make_run(2, 10, 20, TaskState.FINISHED)], 0),
        ([make_run(1, 0, 10, TaskState.STOPPED), make_run(2, 9, 20, TaskState.FINISHED)], 1),
        ([make_run(1, 0, 10, TaskState.FINISHED), make_run(2, 10, 20, TaskState.FINISHED)], 1),
        (
            [
                make_run(1, 0, 10, TaskState.FINISHED),
                make_run(1, 0, 8, TaskState.FAILED, task=1),
                make_run(2, 10, 20, TaskState.FINISHED),
                make_run(2, 10, 20, TaskState.FINISHED, task=1),
            ],
            0,
        ),
    ],
)
def test_overlapping_runs_and_repeated_finishes_are_counted(
    runs: list[TaskRun], duplicates: int
) -> None:
    assert count_duplicate_runs(runs, 100) == duplicates


def test_gang_partial_for_longer_than_limit_is_counted_once() -> None:
    worker = RecordedWorker(WorkerModel("w", 8, 64, 512), "z")
    commands = [
        TaskCommand(kind, "job", 1, 0, 1, 1, 1, command="run=100")
        for kind in (CommandKind.RESERVE, CommandKind.START)
    ]
    worker.handle(CommandBatch("s", 1, 60_000, 0, commands), 0)
    partial_gangs = PartialGangCounter(limit_ms=5_000)
    for now_ms in range(0, 10_000, 1_000):
        partial_gangs.sample([worker], {"job": 2}, now_ms)
    assert partial_gangs.count == 1


@pytest.mark.parametrize(
    ("spec", "cells"),
    [
        (JobSpec("j", "w", 3, 4), (CellLevel.QUAD, 3)),
        (JobSpec("j", "w", 4, 1, adjacency=Adjacency.WORKER), (CellLevel.QUAD, 1)),
        (JobSpec("j", "w", 8, 8, adjacency=Adjacency.RACK), (CellLevel.RACK, 1)),
        (JobSpec("j", "w", 9, 8, adjacency=Adjacency.RACK), None),
    ],
)
def test_find_needed_cells_returns_level_and_count(
    spec: JobSpec, cells: tuple[CellLevel, int] | None
) -> None:
    assert find_needed_cells(spec) == cells


@pytest.mark.parametrize("deployment", [ASSOCIATION, DEPOT])
def test_same_seed_produces_same_workload_and_guarantees_fit(deployment: Deployment) -> None:
    check_guarantees(deployment.workspaces, deployment.hosts()).unwrap()
    for load in LOADS:
        assert make_workload(deployment, load, 1) == make_workload(deployment, load, 1)


def test_goals_are_not_met_if_product_is_worse_than_baseline() -> None:
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
    assert [goal.goal for goal in evaluate_job_goals(rows) if goal.holds] == [
        "zone_change_work_ratio"
    ]
