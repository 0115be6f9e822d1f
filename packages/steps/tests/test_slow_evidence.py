"""Exclusion of slow executors: on the evidence of several runs, once, bounded and reversible."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step
from speed_harness import NAMES, SpeedHarness

from jacinthreel_steps import EndReason, Run
from jacinthreel_steps._executors._slow_evidence import (
    MAX_EXCLUDED_SHARE,
    SLOW_EXCLUSION_MS,
    apply_new_verdicts,
    record_rate_ratio,
)

EXECUTORS = tuple(f"e{index}" for index in range(1, 11))


def events(harness: SchedulerHarness, event: str) -> list[str]:
    return [fields["executor"] for name, fields in harness.log_lines if name == event]


def harness_with_tasks(count_per_executor: int) -> SchedulerHarness:
    """Returns a harness that runs one task of each of several jobs on each of ten executors."""
    harness = SchedulerHarness(*(listing(name) for name in EXECUTORS))
    for index in range(count_per_executor):
        harness.submit(f"j{index}", step(len(EXECUTORS), max_per_executor=1))
    harness.settle()
    return harness


def judge(harness: SchedulerHarness, name: str, *ratios: float) -> None:
    """Records a rate ratio for each of the first runs in progress on an executor."""
    executor = harness.scheduler.tables.executors_by_id[name]
    runs: list[Run] = list(executor.runs_by_task.values())
    for run, ratio in zip(runs, ratios, strict=False):
        record_rate_ratio(harness.scheduler._context, executor, run, ratio, True, harness.now_ms)
    apply_new_verdicts(harness.scheduler._context, executor, harness.now_ms)


RATIO_CASES = {
    "one long task": ((0.14,), False),
    "two lagging runs": ((0.14, 0.2), True),
    "one long task, then a normal one": ((0.14, 0.9, 0.14), False),
    "long tasks beside a normal one": ((1.0, 0.14, 0.14), False),
    "executors of the usual range": ((0.45, 0.5, 0.55), False),
}


@pytest.mark.parametrize("name", RATIO_CASES)
def test_executor_is_excluded_only_if_its_newest_runs_lag(name: str) -> None:
    ratios, is_excluded = RATIO_CASES[name]
    harness = harness_with_tasks(3)
    judge(harness, "e1", *ratios)
    assert events(harness, "executor_avoided") == (["e1"] if is_excluded else [])


def test_same_lagging_runs_exclude_once() -> None:
    harness = harness_with_tasks(2)
    began_ms = harness.now_ms
    for _ in range(100):
        judge(harness, "e1", 0.1, 0.1)
        harness.now_ms += 200
    assert events(harness, "executor_avoided") == ["e1"]
    health = harness.scheduler.tables.executors_by_id["e1"].health
    assert health.excluded_until_ms == began_ms + SLOW_EXCLUSION_MS


def test_exclusion_ends_early_when_the_runs_are_normal_again() -> None:
    harness = harness_with_tasks(2)
    judge(harness, "e1", 0.1, 0.1)
    harness.now_ms += 1_000
    judge(harness, "e1", 1.0)
    assert events(harness, "executor_readmitted") == []
    judge(harness, "e1", 1.0, 1.0)
    assert events(harness, "executor_readmitted") == ["e1"]
    assert harness.scheduler.tables.executors_by_id["e1"].health.excluded_until_ms == 0


def test_only_a_bounded_share_of_a_service_is_excluded_as_slow() -> None:
    harness = harness_with_tasks(2)
    for name in EXECUTORS:
        judge(harness, name, 0.1, 0.1)
    assert len(events(harness, "executor_avoided")) == MAX_EXCLUDED_SHARE * len(EXECUTORS)
    assert len(events(harness, "slow_executor_kept")) == 8


def moved_gang(second_percent: int) -> tuple[SchedulerHarness, str]:
    """Moves an urgent gang and reports its lagging task after the move with this progress."""
    harness = SchedulerHarness(*(listing(name) for name in EXECUTORS))
    harness.submit("gang", step(4, accelerators=8, is_gang=True), terms=queue(0))
    harness.settle()
    for percent in (2, second_percent):
        runs = sorted(harness.runs("gang"), key=lambda run: run.run_id.task.task_index)
        harness.percent_by_executor = {run.executor_id: 40 for run in runs}
        harness.percent_by_executor[runs[0].executor_id] = percent
        harness.now_ms += 1_000
        harness.report_all()
        harness.settle()
        harness.percent_by_executor = {}
        harness.report_all()
        harness.settle()
    return harness, events(harness, "gang_moved")[0]


def test_task_that_is_normal_after_a_move_confirms_that_its_former_executor_is_slow() -> None:
    harness, former = moved_gang(second_percent=40)
    assert events(harness, "executor_avoided") == [former]


def test_task_that_lags_again_after_a_move_is_no_evidence() -> None:
    harness, _ = moved_gang(second_percent=2)
    assert events(harness, "executor_avoided") == []
    executors = harness.scheduler.tables.executors_by_id.values()
    verdicts = [item for executor in executors for item in executor.health.verdict_by_task.values()]
    assert not any(verdict.is_lagging for verdict in verdicts)


def test_long_tasks_exclude_no_executor_and_a_slow_one_is_found_under_load() -> None:
    harness = SpeedHarness(dict.fromkeys(NAMES, 1.0))
    harness.long_share = 0.03
    harness.run_measuring_load()
    assert sum(harness.is_long_by_task.values()) >= 3
    assert events(harness, "executor_avoided") == []
    harness.speeds["e4"] = 0.2
    harness.run_for(3_000)
    assert events(harness, "executor_avoided") == ["e4"]


def test_ended_runs_are_no_longer_evidence_after_a_while() -> None:
    harness = harness_with_tasks(2)
    executor = harness.scheduler.tables.executors_by_id["e1"]
    judge(harness, "e1", 0.1)
    harness.end(next(iter(executor.runs_by_task.values())), EndReason.DONE)
    harness.now_ms += 20_000
    judge(harness, "e1", 0.1)
    assert events(harness, "executor_avoided") == []
