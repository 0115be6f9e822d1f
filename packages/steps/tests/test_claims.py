"""Urgent tasks that wait for claimed capacity while other capacity becomes free."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, Run
from jacinthreel_steps._tables import RunState


def claim(count: int, is_gang: bool = False) -> SchedulerHarness:
    """Returns three full executors, and an urgent step that has claimed `count` of them."""
    harness = SchedulerHarness(*(listing(f"e{index}") for index in range(3)))
    harness.submit("low", step(3, accelerators=8))
    harness.settle()
    harness.submit("urgent", step(count, accelerators=8, is_gang=is_gang), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    assert [run.state for run in live_runs(harness)] == [RunState.CLAIMED] * count
    return harness


def live_runs(harness: SchedulerHarness) -> list[Run]:
    return harness.scheduler.tables.jobs_by_id["urgent"].live_runs()


@pytest.mark.parametrize("is_gang", [False, True])
def test_urgent_task_takes_capacity_that_becomes_free_before_what_it_has_claimed(
    is_gang: bool,
) -> None:
    # Guards against a wait for a victim that is slow to stop, with other executors free.
    harness = claim(1, is_gang)
    claimed_id = live_runs(harness)[0].executor_id
    other = next(run for run in harness.runs("low") if run.executor_id != claimed_id)
    harness.end(other, EndReason.DONE)
    harness.scheduler.plan(harness.now_ms)
    [run] = live_runs(harness)
    assert (run.state, run.executor_id) == (RunState.PLACED, other.executor_id)
    harness.settle()
    assert harness.scheduler.usage.claimed("w").accelerators == 0
    assert [run.executor_id for run in harness.runs("urgent")] == [other.executor_id]


def test_only_as_many_claims_are_released_as_tasks_are_placed_elsewhere() -> None:
    harness = claim(2)
    claimed_ids = {run.executor_id for run in live_runs(harness)}
    other = next(run for run in harness.runs("low") if run.executor_id not in claimed_ids)
    harness.end(other, EndReason.DONE)
    harness.scheduler.plan(harness.now_ms)
    states = sorted(run.state for run in live_runs(harness))
    assert states == sorted([RunState.CLAIMED, RunState.PLACED])
    assert harness.scheduler.usage.claimed("w").accelerators == 8
    harness.settle()
    harness.pass_time(500)
    assert len({run.executor_id for run in harness.runs("urgent")}) == 2
