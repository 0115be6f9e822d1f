"""The choice of an executor's lease from the runs there."""

from __future__ import annotations

from scheduler_harness import ESTIMATE_MS, SchedulerHarness, listing, queue, step

from jacinthreel_steps import (
    ExecutorReport,
    LeaseChoice,
    LeaseLimits,
    ReportedRun,
    StepSpec,
    choose_lease,
)

LIMITS = LeaseLimits(5_000, 9_000)


def run_step(spec: StepSpec, ran_ms: int, priority: int = 1) -> SchedulerHarness:
    """Runs a step on one executor for `ran_ms`."""
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", spec, terms=queue(priority))
    harness.settle()
    harness.pass_time(ran_ms)
    return harness


def choose(harness: SchedulerHarness, limits: LeaseLimits = LIMITS) -> LeaseChoice:
    tables = harness.scheduler.tables
    return choose_lease(tables.executors_by_id["e1"], tables.jobs_by_id, limits, harness.now_ms)


def test_lease_is_long_only_once_the_work_outweighs_the_longer_wait() -> None:
    # Guards against losing long runs in a short silence, and against late restarts of short runs.
    assert choose(run_step(step(), 3_500)).lease_ms == 5_000
    assert choose(run_step(step(), 4_500)).lease_ms == 9_000


def test_run_that_saves_progress_risks_only_the_work_since_its_checkpoint() -> None:
    harness = run_step(step(saves_progress=True), 20_000)
    assert choose(harness).lease_ms == 9_000
    [run] = harness.runs("j1")
    reported = ReportedRun(run.run_id, "checkpoint", 0)
    report = ExecutorReport(1, harness.now_ms, (reported,), ())
    harness.scheduler.apply_report("e1", report, harness.now_ms)
    assert choose(harness).work_at_stake_ms == 0
    assert choose(harness).lease_ms == 5_000


def test_young_urgent_gang_makes_the_lease_short_whatever_else_runs() -> None:
    # Guards against an urgent gang that waits the longest lease for its restart.
    harness = run_step(step(), 20_000)
    harness.percent_by_executor["e1"] = 0
    harness.submit("j2", step(2, is_gang=True), terms=queue(0))
    harness.settle()
    harness.pass_time(3_000)
    assert choose(harness).work_at_stake_ms > choose(harness).wait_ms
    assert choose(harness).lease_ms == 5_000
    harness.pass_time(2_000)
    assert choose(harness).lease_ms == 9_000


def test_gang_counts_once_with_the_work_of_all_its_members() -> None:
    choice = choose(run_step(step(3, is_gang=True), 4_500))
    assert choice.work_at_stake_ms // 100 == 135
    assert choice.wait_ms == 3 * 4_000


def test_progress_shows_the_work_of_a_run_that_was_recovered_at_a_takeover() -> None:
    # Guards against short leases for long runs in the first seconds after each takeover.
    harness = run_step(step(), 20_000)
    harness.percent_by_executor["e1"] = 90
    harness.take_over()
    harness.report("e1")
    assert choose(harness) == LeaseChoice(9_000, ESTIMATE_MS * 90 // 100, 4_000)


def test_lease_is_not_longer_than_the_platform_allows() -> None:
    assert choose(run_step(step(), 20_000), LeaseLimits(3_000, 3_000)).lease_ms == 3_000
