"""Jobs of thousands of small tasks: what they leave to other jobs, and the rows that they need."""

from __future__ import annotations

import random

import pytest
from scheduler_harness import ESTIMATE_MS, SchedulerHarness, listing, queue, step

from jacinthreel_common import MAX_ROW_BYTES, expand_row
from jacinthreel_steps import Resources, Run, StartOutcome, StepSpec, StoredProgress
from jacinthreel_steps._planning._pass_state import PASS_BUDGET
from jacinthreel_steps._planning._start_limits import (
    MAX_WAITING_STARTS,
    MAX_WAITING_STARTS_OF_STEP,
)
from jacinthreel_steps._runs._starts import START_OVERDUE_MS, START_QUEUE_LIMIT_MS

SHAPE = Resources(100, 64, 0)


def wide(count: int) -> StepSpec:
    return StepSpec(count, SHAPE, ESTIMATE_MS, saves_progress=True)


def plan_and_take_starts(world: SchedulerHarness) -> list[Run]:
    world.scheduler.plan(world.now_ms)
    world.store()
    return world.scheduler.take_starts()


def test_wide_job_leaves_capacity_to_jobs_that_arrive_while_its_starts_wait() -> None:
    # All of its tasks were placed at once, and held the capacity until their start was sent.
    world = SchedulerHarness(listing("e1"))
    world.submit("wide", wide(1_270))
    assert len(plan_and_take_starts(world)) == MAX_WAITING_STARTS_OF_STEP
    world.submit("small", step(2))
    names = {run.run_id.task.job_id for run in plan_and_take_starts(world)}
    assert names == {"small"}


def test_wide_job_goes_on_as_its_starts_are_confirmed() -> None:
    world = SchedulerHarness(listing("e1"))
    world.submit("wide", wide(1_270))
    for _ in range(3):
        world.scheduler.plan(world.now_ms)
        world.store()
        world.execute_starts()
    assert len(world.started) == 1_270


def test_jobs_together_place_no_more_than_can_start_soon_but_for_urgent_ones() -> None:
    world = SchedulerHarness(*(listing(f"e{index}") for index in range(4)))
    for index in range(12):
        world.submit(f"wide{index}", wide(400))
    world.submit("urgent", wide(300), terms=queue(0))
    runs = plan_and_take_starts(world)
    assert sum(run.run_id.task.job_id == "urgent" for run in runs) == 300
    assert len(runs) == MAX_WAITING_STARTS + 300


def test_pass_ends_early_and_says_so_when_its_budget_is_spent() -> None:
    world = SchedulerHarness(*(listing(f"e{index}") for index in range(4)))
    for index in range(3_000):
        world.submit(f"urgent{index:04}", wide(1), terms=queue(0))
    assert world.scheduler.plan(world.now_ms)
    placed = len(world.scheduler.tables.unstored_job_ids)
    assert 0 < placed < 3_000
    for _ in range(3_000 // placed):
        world.scheduler.plan(world.now_ms)
    assert len(world.scheduler.tables.unstored_job_ids) == 3_000
    assert not world.scheduler.plan(world.now_ms)


def test_jobs_that_can_not_be_placed_use_up_no_budget() -> None:
    # Later jobs would never be considered, as each pass begins with the first job again.
    world = SchedulerHarness(*(listing(f"e{index}") for index in range(4)))
    for index in range(PASS_BUDGET):
        stuck = StepSpec(5, SHAPE, ESTIMATE_MS, is_gang=True, max_per_executor=1)
        world.submit(f"stuck{index:04}", stuck)
    world.submit("waits", step(2))
    names = {run.run_id.task.job_id for run in plan_and_take_starts(world)}
    assert names == {"waits"}


def test_starts_that_wait_for_others_at_their_executor_are_not_abandoned() -> None:
    # They were stopped as overdue before they were sent, and placed again, for ever.
    world = SchedulerHarness(listing("e1"))
    world.submit("wide", wide(40))
    starts = plan_and_take_starts(world)
    for run in starts[:20]:
        world.now_ms += START_OVERDUE_MS // 2
        world.report("e1")
        world.scheduler.record_start_outcome(run, StartOutcome.STARTED, world.now_ms)
        world.scheduler.plan(world.now_ms)
        if world.now_ms - starts[0].placed_ms >= START_QUEUE_LIMIT_MS:
            break
        assert not world.scheduler.take_stops()
    assert world.now_ms - starts[0].placed_ms > 5 * START_OVERDUE_MS


def test_starts_are_abandoned_once_their_executor_answers_no_more() -> None:
    world = SchedulerHarness(listing("e1"))
    world.submit("wide", wide(40))
    starts = plan_and_take_starts(world)
    world.now_ms += START_OVERDUE_MS // 2
    world.scheduler.record_start_outcome(starts[0], StartOutcome.STARTED, world.now_ms)
    world.now_ms += START_OVERDUE_MS
    world.report("e1")
    world.scheduler.plan(world.now_ms)
    assert len(world.scheduler.take_stops()) == 39


@pytest.mark.parametrize("has_checkpoints", [False, True])
def test_progress_of_the_widest_job_fits_into_a_row(has_checkpoints: bool) -> None:
    # The store refused the row, which was sent again for ever, and nothing else was stored.
    rng = random.Random(1)
    world = SchedulerHarness(*(listing(f"executor-{index:04}") for index in range(9)))
    world.submit("wide", wide(10_000))
    tables = world.scheduler.tables
    job = tables.jobs_by_id["wide"]
    for task in job.steps[0].tasks:
        task.run_number = 200
        task.checkpoint = f"{rng.getrandbits(64):016x}" if has_checkpoints else ""
    for task in job.steps[0].tasks[:5_000]:
        job.mark_done(job.steps[0], task)
    tables.bump_revision(job)
    row = world.scheduler.take_unstored(1, "w")[0]
    assert len(row.value) <= MAX_ROW_BYTES
    world.rows["wide"] = StoredProgress(row.value, 1)
    world.take_over()
    restored = world.scheduler.tables.jobs_by_id["wide"].steps[0]
    assert restored.done_count == 5_000
    assert {task.run_number for task in restored.tasks} == {200}


def test_batch_of_rows_is_bounded_by_its_size() -> None:
    world = SchedulerHarness(listing("e1"))
    for index in range(10):
        world.submit(f"wide{index}", wide(1_000))
        world.scheduler.tables.bump_revision(world.scheduler.tables.jobs_by_id[f"wide{index}"])
    sizes = [len(row.value) for row in world.scheduler.take_unstored(100, "w", 20_000)]
    assert sum(sizes[:-1]) < 20_000 <= sum(sizes)
    assert len(world.scheduler.take_unstored(100, "w")) == 10 - len(sizes)


@pytest.mark.parametrize("value", [b"\x78", b"\x78\x9cgarbage", b"\x78\x01" + b"\x00" * 50])
def test_malformed_compressed_row_expands_to_nothing(value: bytes) -> None:
    assert expand_row(value) == b""
