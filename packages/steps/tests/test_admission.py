"""Whose backlog a submitted job sees, who is never refused, and when callers should retry."""

from __future__ import annotations

from typing import Any

import pytest
from scheduler_harness import CAPACITY, SchedulerHarness, listing, queue, step

from jacinthreel_steps import (
    OPTIMISM,
    JobSpec,
    Policy,
    Refusal,
    StepSpec,
    find_refusal,
    retry_after_ms,
)

GUARANTEED = Policy(1, guaranteed_accelerators_by_workspace={"holder": 4})


def full_harness(priority: int, backlog: StepSpec, jobs: int = 20) -> SchedulerHarness:
    """Returns a cluster with `jobs` jobs, of which one of 8 accelerators runs at a time."""
    harness = SchedulerHarness(listing("e1"), policy=GUARANTEED)
    for index in range(jobs):
        harness.submit(f"j{index}", backlog, terms=queue(priority))
    harness.settle()
    return harness


def refusal(
    harness: SchedulerHarness,
    priority: int,
    spec: StepSpec | None = None,
    workspace: str = "v",
    over_share: frozenset[str] = frozenset(),
    age_ms: int = 0,
) -> Refusal | None:
    forecast = harness.scheduler.forecast_starts(harness.now_ms, over_share)
    if forecast is None:
        return None
    job = JobSpec("x", (spec or step(accelerators=8),))
    return find_refusal(forecast, age_ms, queue(priority, stretch=1.0), workspace, job)


def test_backlog_that_an_urgent_job_preempts_does_not_refuse_it() -> None:
    harness = full_harness(1, step(accelerators=8))
    assert refusal(harness, 0) is None
    assert refusal(harness, 2) is not None


@pytest.mark.parametrize(
    "options", [{"weight_by_workspace": {"v": 1.0}}, {"quota_by_workspace": {"v": CAPACITY}}]
)
def test_nobody_is_refused_where_the_order_follows_weights_or_quotas(
    options: dict[str, Any],
) -> None:
    harness = full_harness(1, step(accelerators=8))
    assert refusal(harness, 2) is not None
    harness.scheduler.apply_policy(Policy(2, **options))
    assert refusal(harness, 2) is None


def test_job_that_the_planner_prefers_to_late_jobs_of_its_priority_is_not_refused() -> None:
    harness = full_harness(1, step(accelerators=8))
    assert refusal(harness, 1) is None


def test_job_smaller_than_the_waiting_gangs_is_not_refused() -> None:
    harness = full_harness(0, step(8, is_gang=True))
    harness.submit("small", step(2, is_gang=True), terms=queue(0))
    assert refusal(harness, 0, step(8, is_gang=True)) is not None
    assert refusal(harness, 0, step(3, is_gang=True)) is None


@pytest.mark.parametrize("preemptible", [0, 7])
def test_runs_that_an_urgent_job_preempts_do_not_delay_it(preemptible: int) -> None:
    harness = SchedulerHarness(listing("e1"), policy=GUARANTEED)
    harness.submit("long", StepSpec(preemptible, step().shape, 3_600_000), terms=queue(1))
    harness.settle()
    for index in range(20):
        harness.submit(f"j{index}", step(accelerators=8), terms=queue(0))
    forecast = harness.scheduler.forecast_starts(harness.now_ms)
    assert forecast is not None
    assert [predicted.start_ms for predicted in forecast.starts] == [47_440]


def test_tasks_that_run_when_the_last_one_starts_are_not_waited_for() -> None:
    harness = full_harness(0, step(accelerators=8), jobs=8)
    found = harness.scheduler.forecast_starts(harness.now_ms)
    assert found is not None
    waiting_ms = 7 * 5_000  # Seven jobs of 5 s; the one that runs is not waited for either.
    assert found.starts[0].start_ms <= waiting_ms / OPTIMISM


@pytest.mark.parametrize("options", [{"required_label": "a"}, {"max_per_executor": 8}])
def test_work_that_not_every_executor_can_run_is_not_counted(options: dict[str, Any]) -> None:
    assert refusal(full_harness(0, step(accelerators=8, **options)), 0) is None


def test_only_gangs_that_want_one_rack_see_the_backlog_of_such_gangs() -> None:
    harness = full_harness(0, step(8, is_gang=True, wants_one_rack=True))
    assert refusal(harness, 0, step(8, is_gang=True)) is None
    assert refusal(harness, 0, step(8, is_gang=True, wants_one_rack=True)) is not None


def test_job_within_its_guarantee_is_not_refused() -> None:
    harness = full_harness(0, step(accelerators=4), jobs=40)
    assert refusal(harness, 0, step(accelerators=4)) is not None
    assert refusal(harness, 0, step(accelerators=4), workspace="holder") is None


def test_job_that_fits_into_free_accelerators_is_not_refused() -> None:
    harness = full_harness(0, step(accelerators=4), jobs=40)
    assert refusal(harness, 0, step(accelerators=4)) is not None
    harness.listings["e2"] = listing("e2")
    harness.scheduler.apply_listing(harness.listings["e2"], harness.now_ms)
    harness.report("e2")
    assert refusal(harness, 0, step(accelerators=4)) is None


def test_executors_that_are_silent_for_a_moment_remain_capacity() -> None:
    harness = full_harness(0, step(accelerators=8), jobs=40)
    for index in range(2, 10):
        name = f"e{index}"
        harness.listings[name] = listing(name)
        harness.scheduler.apply_listing(harness.listings[name], harness.now_ms)
    harness.now_ms += 3_000
    harness.report("e1")
    assert refusal(harness, 0) is None


def test_jobs_of_workspaces_over_their_share_are_refused_first() -> None:
    harness = full_harness(1, step(accelerators=8))
    assert refusal(harness, 1, workspace="v") is None
    assert refusal(harness, 1, workspace="greedy", over_share=frozenset({"greedy"})) is not None
    assert refusal(harness, 2, workspace="v", over_share=frozenset({"greedy"})) is not None
    urgent = full_harness(0, step(accelerators=8))
    assert refusal(urgent, 0, workspace="v", over_share=frozenset({"w"})) is None


def test_forecast_has_no_redundant_predictions() -> None:
    """Each node receives the forecast four times a second, also in a large deployment."""
    harness = full_harness(0, step(accelerators=8))
    harness.submit("later", step(accelerators=8), terms=queue(1))
    forecast = harness.scheduler.forecast_starts(harness.now_ms)
    assert forecast is not None
    assert [predicted.rank for predicted in forecast.starts] == [0]
    assert refusal(harness, 2, step(8, is_gang=True, wants_one_rack=True)) is not None


def test_start_is_counted_from_the_forecast() -> None:
    harness = full_harness(0, step(accelerators=8))
    fresh = refusal(harness, 0)
    assert fresh is not None
    aged = refusal(harness, 0, age_ms=1_500)
    assert aged is not None
    assert aged.start_ms == fresh.start_ms - 1_500
    assert refusal(harness, 0, age_ms=fresh.result_ms - fresh.limit_ms) is None


def test_backlog_that_will_be_useless_before_its_turn_is_not_ahead() -> None:
    harness = full_harness(0, step(accelerators=8))
    before = refusal(harness, 0)
    assert before is not None
    harness.now_ms += 45_000  # The objective of the waiting jobs is 16 s.
    harness.report("e1")
    assert refusal(harness, 0) is None


def test_retry_times_are_bounded_and_spread_over_jobs() -> None:
    long = Refusal(500_000, 500_000, 10_000, 900_000, 8, 0, 0)
    delays = [retry_after_ms(long, f"{index:016x}") for index in range(200)]
    assert delays == [retry_after_ms(long, f"{index:016x}") for index in range(200)]
    assert 15_000 <= min(delays) <= 16_000
    assert 29_000 <= max(delays) <= 30_000
    short = Refusal(10_001, 10_001, 10_000, 20_000, 8, 0, 0)
    assert {retry_after_ms(short, f"{index:016x}") // 1_000 for index in range(200)} == {1, 2, 3, 4}
