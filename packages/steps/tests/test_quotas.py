"""Quotas of workspaces: never exceeded by a start, and without effect on other workspaces."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from random_events import WORKSPACES, Quotas, apply_random_event
from scheduler_harness import SchedulerHarness, listing, queue, step
from test_large_cluster import count_fit_checks, full_harness

from jacinthreel_steps import EndReason, Policy, Resources, RunState
from jacinthreel_steps._model import NO_RESOURCES

FOUR = {"w": Resources(0, 0, 4)}


def make_policy(quotas: Quotas, guaranteed: int = 8, version: int = 1) -> Policy:
    return Policy(version, {}, {"w": guaranteed}, quota_by_workspace=quotas)


def make_harness(quotas: Quotas, guaranteed: int = 8) -> SchedulerHarness:
    policy = make_policy(quotas, guaranteed)
    return SchedulerHarness(listing("e1"), listing("e2"), policy=policy)


def events(harness: SchedulerHarness, name: str) -> list[dict[str, object]]:
    return [fields for event, fields in harness.log_lines if event == name]


def is_within(used: Resources, quota: Resources) -> bool:
    pairs = [
        (used.cpu_milli, quota.cpu_milli),
        (used.memory_mb, quota.memory_mb),
        (used.accelerators, quota.accelerators),
    ]
    return all(not limit or amount <= limit for amount, limit in pairs)


def running_on_executors(harness: SchedulerHarness, workspace: str) -> Resources:
    total = NO_RESOURCES
    for runs in harness.running.values():
        for run in runs.values():
            if harness.records[run.run_id.task.job_id].workspace == workspace:
                total = total.plus(run.shape)
    return total


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 100_000))
def test_no_event_brings_a_workspace_above_its_quota(seed: int) -> None:
    rng = random.Random(seed)
    amounts = [0, 1_000 * rng.randint(1, 9), 1_000 * rng.randint(1, 9)]
    rng.shuffle(amounts)
    quotas = {
        "w": Resources(amounts[0], amounts[1], rng.randint(1, 12)),
        "v": Resources(amounts[2], 0, rng.randint(0, 9)),
    }
    harness = make_harness(quotas)
    for index in range(60):
        apply_random_event(harness, rng, index, [quotas])
        for workspace in WORKSPACES:
            assert is_within(harness.scheduler.usage.running(workspace), quotas[workspace])
            assert is_within(running_on_executors(harness, workspace), quotas[workspace])


def test_independent_tasks_start_up_to_the_quota_and_others_are_not_blocked() -> None:
    harness = make_harness(FOUR)
    harness.submit("held", step(count=10))
    harness.submit("other", step(count=12), workspace="v")
    harness.settle()
    assert len(harness.runs("held")) == 4
    assert len(harness.runs("other")) == 12


@pytest.mark.parametrize("quota", [Resources(3_999, 0, 0), Resources(0, 3_999, 0)])
def test_processor_and_memory_limit_as_accelerators_do(quota: Resources) -> None:
    harness = make_harness({"w": quota})
    harness.submit("held", step(count=10))
    harness.settle()
    assert len(harness.runs("held")) == 3


def test_gang_is_placed_whole_within_the_quota_or_not_at_all() -> None:
    harness = make_harness(FOUR)
    harness.submit("first", step(count=1))
    harness.settle()
    harness.submit("gang", step(count=4, is_gang=True))
    harness.settle()
    assert harness.runs("gang") == []

    harness.end(harness.runs("first")[0], EndReason.DONE)
    harness.settle()
    assert len(harness.runs("gang")) == 4


def test_urgent_job_held_by_its_quota_preempts_nothing_and_reserves_nothing() -> None:
    harness = make_harness(FOUR, guaranteed=0)
    harness.submit("other", step(count=16), workspace="v", terms=queue(2))
    harness.settle()
    harness.submit("held", step(count=1, accelerators=8), terms=queue(0))
    harness.settle()
    assert len(harness.runs("other")) == 16
    assert harness.scheduler.usage.claimed("w") == NO_RESOURCES


def test_held_urgent_arrivals_reserve_no_executors() -> None:
    harness = make_harness(FOUR, guaranteed=0)
    for index in range(4):
        harness.submit(f"held{index}", step(count=1, accelerators=8), terms=queue(0))
    harness.submit("other", step(count=16), workspace="v", terms=queue(2))
    harness.settle()
    assert len(harness.runs("other")) == 16


def test_lowered_quota_stops_nothing_and_holds_starts_until_usage_has_fallen() -> None:
    harness = make_harness({})
    harness.submit("j1", step(count=10))
    harness.settle()
    harness.submit("j2", step(count=1))
    harness.scheduler.apply_policy(make_policy(FOUR, version=2))
    harness.settle()
    assert len(harness.runs("j1")) == 10 and harness.runs("j2") == []

    for run in harness.runs("j1")[:6]:
        harness.end(run, EndReason.DONE)
    harness.settle()
    assert harness.runs("j2") == []
    harness.end(harness.runs("j1")[0], EndReason.DONE)
    harness.settle()
    assert len(harness.runs("j2")) == 1


@pytest.mark.parametrize("is_gang", [False, True])
def test_placement_is_withdrawn_if_the_quota_is_lowered_before_its_start(is_gang: bool) -> None:
    harness = make_harness({})
    harness.submit("j1", step(count=6, is_gang=is_gang))
    harness.scheduler.plan(harness.now_ms)
    harness.scheduler.apply_policy(make_policy(FOUR, version=2))
    harness.settle()
    assert len(harness.runs("j1")) == (0 if is_gang else 4)


def test_raised_quota_takes_effect_in_the_next_pass() -> None:
    harness = make_harness(FOUR)
    harness.submit("gang", step(count=6, is_gang=True))
    harness.settle()
    harness.scheduler.apply_policy(make_policy({"w": Resources(0, 0, 6)}, version=2))
    harness.scheduler.plan(harness.now_ms)
    assert len(harness.scheduler.tables.jobs_by_id["gang"].live_runs()) == 6


def test_runs_on_executors_not_listed_yet_count_after_a_takeover() -> None:
    harness = make_harness(FOUR)
    harness.submit("j1", step(count=4))
    harness.settle()
    holder = harness.runs("j1")[0].executor_id
    del harness.listings[holder]
    harness.submit("j2", step(count=1))

    harness.take_over()
    harness.report_all()
    harness.settle()
    assert len(harness.started) == 4


def test_gang_larger_than_a_lowered_quota_waits_and_is_logged_once() -> None:
    harness = make_harness({})
    harness.submit("full", step(count=16))
    harness.settle()
    harness.submit("gang", step(count=6, is_gang=True))
    harness.scheduler.apply_policy(make_policy(FOUR, version=2))
    for run in harness.runs("full"):
        harness.end(run, EndReason.DONE)
    harness.pass_time(3_000)
    assert harness.runs("gang") == []
    assert [fields["can_ever_fit"] for fields in events(harness, "job_held_by_quota")] == [False]


def test_start_and_end_of_a_hold_are_logged() -> None:
    harness = make_harness(FOUR)
    harness.submit("first", step(count=4))
    harness.submit("second", step(count=4))
    harness.settle()
    assert [fields["job_id"] for fields in events(harness, "job_held_by_quota")] == ["second"]
    for run in harness.runs("first"):
        harness.end(run, EndReason.DONE)
    harness.settle()
    assert [fields["job_id"] for fields in events(harness, "job_released_by_quota")] == ["second"]


def test_held_jobs_cost_one_check_each_and_no_search(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = full_harness(120, 0, seed=1)
    harness.scheduler.apply_policy(make_policy(FOUR))
    for index in range(300):
        spec = step(1 + index % 7, accelerators=1 + index % 4, is_gang=True)
        harness.submit(f"h{index}", spec, terms=queue(index % 3))
    assert count_fit_checks(harness, monkeypatch) <= 300


def test_claims_do_not_start_beyond_a_quota_that_was_lowered() -> None:
    harness = make_harness({}, guaranteed=16)
    harness.submit("other", step(count=16), workspace="v", terms=queue(2))
    harness.settle()
    harness.submit("urgent", step(count=8), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    claims = harness.scheduler.tables.jobs_by_id["urgent"].live_runs()
    assert {run.state for run in claims} == {RunState.CLAIMED}
    harness.scheduler.apply_policy(make_policy(FOUR, version=2))
    harness.settle()
    assert len(harness.runs("urgent")) == 4
    assert events(harness, "placement_withdrawn") == []


def quota_full_harness(**options: Any) -> SchedulerHarness:
    """Returns a harness in which batch runs of a guaranteed workspace fill its quota of 8."""
    harness = make_harness({"w": Resources(0, 0, 8)})
    harness.submit("cheap", step(count=4, **options), terms=queue(2))
    harness.settle()
    harness.submit("dear", step(count=4, **options), terms=queue(1))
    harness.settle()
    return harness


@pytest.mark.parametrize("is_gang", [False, True])
def test_guaranteed_job_preempts_the_cheapest_runs_of_its_workspace(is_gang: bool) -> None:
    harness = quota_full_harness()
    harness.submit("other", step(count=8), workspace="v", terms=queue(2))
    harness.settle()
    harness.submit("urgent", step(count=4, is_gang=is_gang), terms=queue(0))
    harness.settle()
    assert len(harness.runs("urgent")) == 4
    assert len(harness.runs("cheap")) == 0 and len(harness.runs("dear")) == 4
    assert len(harness.runs("other")) == 8


@pytest.mark.parametrize("options", [{"max_per_executor": 2}, {"is_gang": True}])
def test_claim_waits_until_preempted_runs_of_the_quota_have_stopped(
    options: dict[str, Any],
) -> None:
    harness = quota_full_harness()
    harness.submit("urgent", step(count=4, **options), terms=queue(0))
    for _ in range(3):
        harness.scheduler.plan(harness.now_ms)
        harness.store()
        harness.execute_starts()  # The stops are not carried out.
    assert harness.runs("urgent") == [] and events(harness, "placement_withdrawn") == []
    assert harness.scheduler.usage.running("w").accelerators == 8
    harness.settle()
    assert len(harness.runs("urgent")) == 4


def test_guaranteed_jobs_of_one_pass_count_the_same_stopping_runs_once() -> None:
    harness = quota_full_harness()
    for index in range(3):
        harness.submit(f"urgent{index}", step(count=4), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    assert harness.scheduler.usage.claimed("w").accelerators == 8
    assert len(harness.scheduler.take_stops()) == 8


def test_other_runs_are_preempted_if_a_stop_takes_too_long() -> None:
    harness = quota_full_harness()
    harness.submit("urgent", step(count=4), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    ignored = {str(stop.run_id) for stop in harness.scheduler.take_stops()}
    for _ in range(30):
        harness.now_ms += 50
        harness.report_all()
        harness.scheduler.plan(harness.now_ms)
        harness.store()
        for stop in harness.scheduler.take_stops():
            if str(stop.run_id) not in ignored:
                harness.stop(stop)
        harness.execute_starts()
    assert len(harness.runs("urgent")) == 4 and len(harness.runs("cheap")) == 4


def test_urgent_job_beyond_the_guarantee_preempts_only_runs_of_its_workspace() -> None:
    harness = make_harness({"w": Resources(0, 0, 8)}, guaranteed=0)
    harness.submit("batch", step(count=8), terms=queue(2))
    harness.submit("other", step(count=8), workspace="v", terms=queue(2))
    harness.settle()
    harness.submit("urgent", step(count=4, is_gang=True), terms=queue(0))
    harness.settle()
    assert len(harness.runs("urgent")) == 4
    assert len(harness.runs("batch")) == 4 and len(harness.runs("other")) == 8


def test_job_wider_than_the_quota_or_of_lower_priority_preempts_nothing() -> None:
    harness = quota_full_harness()
    harness.submit("beyond", step(count=9), terms=queue(0))
    harness.submit("lower", step(count=4), terms=queue(1))
    harness.settle()
    assert len(harness.runs("cheap")) + len(harness.runs("dear")) == 8
