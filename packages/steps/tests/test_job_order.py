"""The order of waiting jobs, and how many are in time on an overloaded cluster."""

from __future__ import annotations

import random

import pytest
from scheduler_harness import SERVICE, SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, JobSpec, QueueTerms, Resources, StepSpec
from jacinthreel_steps._planning import _planner
from jacinthreel_steps._planning._job_order import job_sort_key, objective_ms
from jacinthreel_steps._tables import Job

STEP_MS = 50
ARRIVALS_MS = 20_000
PLAYED_MS = 60_000
MEAN_GAP_MS = 450
DURATIONS_MS = (800, 1_500, 6_000)
TERMS = QueueTerms("q1", SERVICE, 1, 3, 2.0, 500)


def whole_executor_step(duration_ms: int) -> StepSpec:
    return StepSpec(1, Resources(1_000, 1_000, 8), duration_ms, is_gang=True)


def play_overload(seed: int) -> int:
    """Plays more work than four executors can do; returns how many jobs were done in time."""
    harness = SchedulerHarness(*(listing(f"e{index}") for index in range(4)))
    rng = random.Random(seed)
    began_ms = harness.now_ms
    next_ms = 0.0
    duration_by_job: dict[str, int] = {}
    accepted_by_job: dict[str, int] = {}
    in_time = 0
    while (passed_ms := harness.now_ms - began_ms) < PLAYED_MS:
        while next_ms <= min(passed_ms, ARRIVALS_MS):
            job_id = f"j{len(duration_by_job)}"
            duration_by_job[job_id] = rng.choice(DURATIONS_MS)
            accepted_by_job[job_id] = harness.now_ms
            harness.submit(job_id, whole_executor_step(duration_by_job[job_id]), terms=TERMS)
            next_ms += rng.expovariate(1 / MEAN_GAP_MS)
        harness.scheduler.plan(harness.now_ms)
        harness.store()
        harness.execute_orders()
        harness.now_ms = began_ms + passed_ms + STEP_MS
        for run in [run for runs in harness.running.values() for run in runs.values()]:
            job_id = run.run_id.task.job_id
            if harness.now_ms - run.placed_ms < duration_by_job[job_id]:
                continue
            harness.end(run, EndReason.DONE)
            spec = JobSpec("x", (whole_executor_step(duration_by_job[job_id]),))
            age_ms = harness.now_ms - accepted_by_job[job_id]
            in_time += age_ms <= objective_ms(spec, TERMS)
        for name in harness.listings:
            harness.percent_by_executor[name] = (harness.percent_by_executor.get(name, 0) + 1) % 90
        harness.report_all()
    return in_time


def acceptance_key(job: Job, now_ms: int) -> tuple[bool, int, bool, float, str]:
    is_useless, priority, _, _, job_id = job_sort_key(job, now_ms)
    return (is_useless, priority, False, job.accepted_ms, job_id)


def test_more_jobs_are_in_time_than_in_order_of_acceptance(monkeypatch: pytest.MonkeyPatch) -> None:
    in_time = [play_overload(seed) for seed in range(4)]
    monkeypatch.setattr(_planner, "job_sort_key", acceptance_key)
    in_time_by_acceptance = [play_overload(seed) for seed in range(4)]
    assert sum(in_time) >= 1.2 * sum(in_time_by_acceptance)


def test_job_that_has_to_start_sooner_goes_first() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("patient", step(1, accelerators=8), terms=queue(1, stretch=9.0))
    harness.submit("pressing", step(1, accelerators=8), terms=queue(1, stretch=2.0))
    harness.settle()
    assert len(harness.runs("pressing")) == 1
    assert harness.runs("patient") == []


def test_urgent_jobs_keep_the_order_of_acceptance() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("first", step(1, accelerators=8), terms=queue(0, stretch=9.0))
    harness.now_ms += 1
    harness.submit("second", step(1, accelerators=8), terms=queue(0, stretch=2.0))
    harness.settle()
    assert len(harness.runs("first")) == 1


def test_job_that_can_be_in_time_goes_before_one_that_can_not() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("blocker", step(1, accelerators=8))
    harness.settle()
    harness.submit("late", step(1, accelerators=8), terms=queue(1, stretch=1.0))
    harness.pass_time(4_000)
    harness.submit("feasible", step(1, accelerators=8), terms=queue(1, stretch=3.0))
    harness.end(harness.runs("blocker")[0], EndReason.DONE)
    harness.settle()
    assert len(harness.runs("feasible")) == 1
