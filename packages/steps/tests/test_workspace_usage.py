"""Usage per workspace: equal to a recount of all attached runs, whatever happens to them."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from random_events import WORKSPACES, Quotas, apply_random_event
from scheduler_harness import SchedulerHarness, listing

from jacinthreel_steps import Policy, Resources, RunState
from jacinthreel_steps._model import NO_RESOURCES

QUOTAS: tuple[Quotas, ...] = (
    {},
    {"w": Resources(0, 0, 9)},
    {"w": Resources(7_000, 0, 0), "v": Resources(0, 11_000, 3)},
)


def recount(harness: SchedulerHarness, workspace: str, is_claim: bool) -> Resources:
    total = NO_RESOURCES
    for job in harness.scheduler.tables.jobs_by_id.values():
        if job.record.workspace != workspace:
            continue
        for run in job.live_runs():
            if (run.state is RunState.CLAIMED) == is_claim:
                total = total.plus(run.shape)
    return total


def assert_usage_is_exact(harness: SchedulerHarness) -> None:
    usage = harness.scheduler.usage
    for workspace in WORKSPACES:
        assert usage.running(workspace) == recount(harness, workspace, is_claim=False)
        assert usage.claimed(workspace) == recount(harness, workspace, is_claim=True)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(st.integers(0, 100_000))
def test_usage_equals_a_recount_after_every_event(seed: int) -> None:
    rng = random.Random(seed)
    harness = SchedulerHarness(listing("e1"), listing("e2", "r2"), policy=Policy(1, {}, {"w": 8}))
    for index in range(60):
        apply_random_event(harness, rng, index, QUOTAS)
        assert_usage_is_exact(harness)
