"""Shares of a full system by weight, guaranteed jobs first, and bursts of submissions."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import (
    MAX_REPORT_AGE_MS,
    EndReason,
    JobRecord,
    JobSpec,
    Policy,
    Resources,
    StepSpec,
)
from jacinthreel_steps._planning._headroom import ARRIVAL_SPAN_MS, ARRIVAL_WINDOW_MS
from jacinthreel_steps._planning._placement import find_usable_executors
from jacinthreel_steps._tables import make_job
from jacinthreel_steps._workspaces._arrivals import ArrivalRates
from jacinthreel_steps._workspaces._fair_order import make_shares
from jacinthreel_steps._workspaces._shares import Shares
from jacinthreel_steps._workspaces._usage import WorkspaceUsage

EVEN = {"w": 1.0, "v": 1.0}


def make_harness(
    weights: dict[str, float], guaranteed: dict[str, int] | None = None
) -> SchedulerHarness:
    policy = Policy(1, {}, guaranteed or {}, weight_by_workspace=weights)
    return SchedulerHarness(listing("e1"), listing("e2"), policy=policy)


def submit_jobs(harness: SchedulerHarness, workspace: str, count: int, priority: int = 1) -> None:
    """Submits jobs of one task, slowly enough to stay within any weight of 1."""
    for index in range(count):
        job_id = f"{workspace}{priority}-{len(harness.records)}"
        record = JobRecord(
            job_id, queue(priority), workspace, JobSpec("x", (step(),)), index * 2_000
        )
        harness.records[job_id] = record
        harness.scheduler.add_job(record, None, harness.now_ms, harness.now_ms)


def running(harness: SchedulerHarness, workspace: str) -> int:
    return harness.scheduler.usage.running(workspace).accelerators


@pytest.mark.parametrize("weights, shares", [(EVEN, (8, 8)), ({"w": 3.0, "v": 1.0}, (12, 4))])
def test_full_system_is_divided_by_weight(
    weights: dict[str, float], shares: tuple[int, int]
) -> None:
    harness = make_harness(weights)
    submit_jobs(harness, "w", 40)
    submit_jobs(harness, "v", 40)
    harness.settle()
    assert (running(harness, "w"), running(harness, "v")) == shares


def test_workspace_that_was_late_gets_its_share_as_runs_end() -> None:
    harness = make_harness(EVEN)
    submit_jobs(harness, "w", 60)
    harness.settle()
    submit_jobs(harness, "v", 20)
    for _ in range(8):
        job_id = next(key for key in harness.records if key[0] == "w" and harness.runs(key))
        harness.end(harness.runs(job_id)[0], EndReason.DONE)
        harness.settle()
    assert (running(harness, "w"), running(harness, "v")) == (8, 8)


def test_dominant_share_counts_and_not_accelerators_alone() -> None:
    harness = make_harness({"w": 9.0, "v": 9.0})
    wide = StepSpec(1, Resources(64_000, 0, 0), 5_000)
    harness.submit("cpu", replace(wide, count=2), workspace="v")
    harness.settle()
    harness.submit("more", wide, workspace="v")
    harness.submit("w1", replace(wide, count=3), workspace="w")
    harness.settle()
    assert len(harness.runs("w1")) == 2 and harness.runs("more") == []


def test_workspace_without_waiting_jobs_does_not_lower_the_entitlement_of_others() -> None:
    harness = make_harness({**EVEN, "idle": 100.0})
    for workspace, count in (("idle", 2), ("v", 4), ("w", 10)):
        harness.submit(f"running-{workspace}", step(count=count), workspace=workspace)
    harness.settle()
    for workspace in ("v", "w"):
        harness.submit(f"waiting-{workspace}", step(count=8), workspace=workspace)
    context = harness.scheduler._context
    usable = find_usable_executors(context.tables, harness.now_ms, MAX_REPORT_AGE_MS)
    shares = make_shares(context, usable, context.tables.open_jobs_by_id.values())
    assert shares is not None
    assert [shares.is_over_entitlement(workspace) for workspace in ("v", "w")] == [False, True]


def test_average_follows_the_usage_during_a_pass() -> None:
    usage = WorkspaceUsage()
    usage.add("w", Resources(0, 0, 2), is_claim=False)
    shares = Shares(usage, EVEN, Resources(0, 0, 8), ["v", "w"])
    assert shares.is_over_entitlement("w")
    usage.add("v", Resources(0, 0, 3), is_claim=False)
    shares.refresh("v")
    assert not shares.is_over_entitlement("w") and shares.is_over_entitlement("v")


def test_priority_goes_before_entitlement() -> None:
    harness = make_harness(EVEN)
    submit_jobs(harness, "w", 40, priority=1)
    submit_jobs(harness, "v", 40, priority=2)
    harness.settle()
    assert (running(harness, "w"), running(harness, "v")) == (16, 0)


def test_guaranteed_jobs_go_before_earlier_urgent_jobs_whatever_the_shares() -> None:
    harness = make_harness({"w": 100.0, "v": 1.0}, {"v": 8})
    submit_jobs(harness, "w", 40, priority=0)
    harness.now_ms += 1
    submit_jobs(harness, "v", 10, priority=0)
    harness.settle()
    assert running(harness, "v") == 8
    assert "room_claimed" not in [event for event, _ in harness.log_lines]  # None was preempted.


def test_jobs_beyond_the_rate_do_not_delay_other_workspaces() -> None:
    harness = make_harness({"w": 2.0, "v": 2.0})
    for index in range(30):
        harness.submit(f"burst{index}", step(), terms=queue(0))
    submit_jobs(harness, "v", 20, priority=0)
    harness.settle()
    assert (running(harness, "w"), running(harness, "v")) == (2, 14)


def test_jobs_beyond_the_rate_preempt_nothing_and_reserve_nothing() -> None:
    harness = make_harness({"w": 2.0, "v": 2.0})
    harness.submit("batch", step(count=16), terms=queue(2), workspace="v")
    harness.settle()
    for index in range(10):
        harness.submit(f"burst{index}", step(), terms=queue(0))
    expected = harness.scheduler._context.headroom.needed_accelerators(harness.now_ms)
    assert expected == 2 * ARRIVAL_SPAN_MS / ARRIVAL_WINDOW_MS
    harness.settle()
    assert (running(harness, "w"), running(harness, "v")) == (2, 14)


@pytest.mark.parametrize("executors", [1, 2])
def test_victims_over_their_entitlement_are_preferred_at_equal_cost(executors: int) -> None:
    names = [f"e{index}" for index in range(executors)]
    policy = Policy(1, {}, {"u": 8}, weight_by_workspace={"v": 3.0, "w": 1.0})
    harness = SchedulerHarness(*(listing(name) for name in names), policy=policy)
    for workspace in ("v", "w"):  # On two executors, each has one of them.
        harness.submit(workspace, step(count=4 * executors), terms=queue(2), workspace=workspace)
    harness.settle()
    for workspace in ("v", "w"):
        harness.submit(f"more-{workspace}", step(), terms=queue(2), workspace=workspace)
    harness.submit("urgent", step(count=3), terms=queue(0), workspace="u")
    harness.scheduler.plan(harness.now_ms)
    stopped = {stop.run_id.task.job_id for stop in harness.scheduler.take_stops()}
    assert stopped == {"w"}


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(0, 5_000), min_size=1, max_size=40),
    st.sampled_from([0.5, 1.0, 2.5, 7.0]),
    st.integers(0, 1_000),
)
def test_each_owner_finds_the_same_jobs_beyond_the_rate(
    times: list[int], weight: float, seed: int
) -> None:
    spec = JobSpec("x", (step(),))
    jobs = [
        make_job(JobRecord(f"j{index}", queue(), "w", spec, time), 0)
        for index, time in enumerate(times)
    ]
    first, second = ArrivalRates(), ArrivalRates()
    for job in jobs:
        first.record(job)
        first.exceeds_rate(job, weight)
    random.Random(seed).shuffle(jobs)
    for job in jobs:
        second.record(job)
    found = {job.job_id for job in jobs if first.exceeds_rate(job, weight)}
    assert found == {job.job_id for job in jobs if second.exceeds_rate(job, weight)}
    within = sorted(job.record.accepted_unix_ms for job in jobs if job.job_id not in found)
    span_ms = max(times) - min(times)
    assert len(within) <= weight * span_ms / 1_000 + max(1, weight + 1)
