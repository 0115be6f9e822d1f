"""Scheduling passes over hundreds of executors and a long queue: bounded work, same decisions."""

from __future__ import annotations

import random
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import Resources, StepSpec, TaskId
from jacinthreel_steps._planning import _planner
from jacinthreel_steps._planning._placement import (
    _fit_key,
    find_candidates,
    place_gang,
    place_independent_tasks,
)
from jacinthreel_steps._planning._slot_index import SlotIndex
from jacinthreel_steps._planning._waiting_jobs import WaitingJobs
from jacinthreel_steps._tables import CrashRecord, Executor, Step, Task

SHAPES = (Resources(1_000, 1_000, 1), Resources(60_000, 9_000, 2), Resources(9_000, 300_000, 8))


def full_harness(executors: int, waiting: int, seed: int) -> SchedulerHarness:
    """Returns a cluster that is full of urgent tasks, with gangs of lower priority waiting."""
    names = [f"e{index}" for index in range(executors)]
    harness = SchedulerHarness(
        *(listing(name, f"r{index // 12}") for index, name in enumerate(names))
    )
    harness.submit("full", step(executors, accelerators=8), terms=queue(0))
    harness.settle()
    rng = random.Random(seed)
    for index in range(waiting):
        accelerators = rng.choice([1, 2, 4, 8])
        spec = step(rng.randint(1, 20), accelerators, is_gang=True, wants_one_rack=True)
        harness.submit(f"j{index}", spec, terms=queue(rng.choice([1, 2])))
    return harness


def count_fit_checks(harness: SchedulerHarness, monkeypatch: pytest.MonkeyPatch) -> int:
    """Returns how often one pass checks whether a shape fits into some capacity."""
    checks = 0
    original = Resources.count_fitting_into

    def counted(self: Resources, free: Resources) -> int:
        nonlocal checks
        checks += 1
        return original(self, free)

    with monkeypatch.context() as patch:
        patch.setattr(Resources, "count_fitting_into", counted)
        harness.scheduler.plan(harness.now_ms)
    return checks


def test_work_of_a_pass_does_not_grow_with_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    short = count_fit_checks(full_harness(120, 40, seed=1), monkeypatch)
    long = count_fit_checks(full_harness(120, 400, seed=1), monkeypatch)
    assert long <= 2 * short


def test_waiting_urgent_jobs_that_cannot_fit_are_not_searched_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = full_harness(120, 0, seed=1)
    for index in range(100):
        harness.submit(f"u{index}", step(4, accelerators=8, is_gang=True), terms=queue(0))
    assert count_fit_checks(harness, monkeypatch) <= 4 * 120


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("is_after_outage", [False, True])
def test_a_pass_over_many_executors_places_many_steps(is_gang: bool, is_after_outage: bool) -> None:
    # Comparing all executors for each step, a pass over 3,000 placed three steps.
    harness = SchedulerHarness(*(listing(f"e{n}", f"r{n // 12}") for n in range(1_500)))
    for index in range(60):
        harness.submit(f"j{index}", step(10, is_gang=is_gang, wants_one_rack=is_gang))
        task = harness.scheduler.tables.jobs_by_id[f"j{index}"].steps[0].tasks[0]
        task.crash_record = CrashRecord(crashes=1) if is_after_outage else None
    harness.scheduler.plan(harness.now_ms)
    jobs = harness.scheduler.tables.jobs_by_id.values()
    assert sum(len(list(job.live_runs())) == 10 for job in jobs) >= 25


def test_check_for_jobs_that_could_run_counts_no_more_room_than_they_need(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Counting all room of each kind of task took 13 ms for each, over 3,000 executors.
    names = [f"e{index}" for index in range(500)]
    harness = SchedulerHarness(*map(listing, names))
    for cpu in range(1, 21):
        shape = Resources(cpu * 1_000, 1_000, 1)
        harness.submit(f"j{cpu}", StepSpec(2, shape, 5_000, required_label="none"))
        harness.submit(f"k{cpu}", StepSpec(2, shape, 5_000))
    checks: list[Resources] = []
    original = Resources.count_fitting_into

    def counted(self: Resources, free: Resources) -> int:
        checks.append(self)
        return original(self, free)

    with monkeypatch.context() as patch:
        patch.setattr(Resources, "count_fitting_into", counted)
        WaitingJobs().check(harness.scheduler.tables, lambda event, fields: None, harness.now_ms)
    assert 0 < len(checks) <= 40


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from([1, 3, 200]))
def test_no_waiting_job_fits_after_a_pass(seed: int, selected: int) -> None:
    limits = {"ALL_COMPARED": selected, "SELECTED_EXECUTORS": selected}
    with mock.patch.multiple(_planner, **limits):
        check_no_waiting_job_fits_after_a_pass(seed)


def check_no_waiting_job_fits_after_a_pass(seed: int) -> None:
    rng = random.Random(seed)
    names = [f"e{index}" for index in range(rng.randint(2, 9))]
    harness = SchedulerHarness(
        *(listing(name, f"r{index // 3}") for index, name in enumerate(names))
    )
    for index in range(30):
        is_gang = rng.random() < 0.6
        spec = StepSpec(
            rng.randint(1, 6),
            rng.choice(SHAPES),
            5_000,
            is_gang=is_gang,
            wants_one_rack=is_gang and rng.random() < 0.5,
            required_label=rng.choice(["", "", "r1"]),
            max_per_executor=0 if rng.random() < 0.7 else 1,
        )
        harness.submit(f"j{index}", spec, terms=queue(rng.choice([1, 2])))
    harness.scheduler.plan(harness.now_ms)
    tables = harness.scheduler.tables
    executors = list(tables.executors_by_id.values())
    for job in tables.open_jobs_by_id.values():
        waiting = [task for task in job.steps[0].tasks if task.run is None]
        if not waiting:
            continue
        candidates = find_candidates(job.steps[0], executors, 3, harness.now_ms)
        if job.steps[0].spec.is_gang:
            assert place_gang(job.steps[0], waiting, candidates, False) is None
        else:
            assert all(item.count_fitting(job.steps[0].spec.shape) < 1 for item in candidates)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.booleans())
def test_tasks_go_to_the_best_fit_of_each_moment(seed: int, is_urgent: bool) -> None:
    # The candidates are kept in a heap; a stale entry would place a task elsewhere.
    rng = random.Random(seed)
    executors = [Executor(listing(f"e{index}", f"r{index % 3}")) for index in range(9)]
    for executor in executors:
        executor.used = Resources(rng.randint(0, 90_000), 0, rng.randint(0, 8))
        executor.health.speed_class = rng.randint(-1, 1)
    spec = StepSpec(
        rng.randint(1, 40),
        rng.choice(SHAPES),
        rack_near_data="r1",
        max_per_executor=rng.choice([0, 3]),
    )
    placed_step = Step(spec, [Task(TaskId("j", 0, index)) for index in range(spec.count)])
    candidates = find_candidates(placed_step, executors, 3, 0)
    expected: list[str] = []
    for _ in placed_step.tasks:
        fitting = [item for item in candidates if item.count_fitting(spec.shape) >= 1]
        if not fitting:
            break
        best = min(fitting, key=lambda item: _fit_key(spec, item, is_urgent))
        best.reserve(spec.shape)
        expected.append(best.executor.executor_id)
    fresh = find_candidates(placed_step, executors, 3, 0)
    placement = place_independent_tasks(placed_step, placed_step.tasks, fresh, is_urgent)
    assert [executor_id for _, executor_id in placement] == expected


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000))
def test_slot_index_agrees_with_a_recount_after_changes(seed: int) -> None:
    rng = random.Random(seed)
    executors = [Executor(listing(f"e{index}", f"r{index % 3}")) for index in range(7)]
    index = SlotIndex(executors, lambda executor: executor.free_resources)
    for _ in range(20):
        changed = rng.choice(executors)
        changed.used = Resources(
            rng.randint(0, 128_000), rng.randint(0, 512_000), rng.randint(0, 8)
        )
        index.update(changed.executor_id)
        shape = rng.choice(SHAPES)
        label = rng.choice(["", "r1"])
        counts = {
            executor.executor_id: shape.count_fitting_into(executor.free_resources)
            for executor in executors
            if not label or label in executor.listing.labels
        }
        slots = index.slots(label, shape)
        assert slots.total == sum(counts.values())
        assert slots.by_executor_id == {key: count for key, count in counts.items() if count}
        rack_counts = [
            sum(counts.get(item.executor_id, 0) for item in executors if item.listing.rack == rack)
            for rack in ("r0", "r1", "r2")
        ]
        assert slots.widest_rack == max(rack_counts)
        fitting = [item.executor_id for item in index.fitting_executors(label, shape)]
        assert fitting == [item.executor_id for item in executors if counts.get(item.executor_id)]
