"""Usage per workspace: equal to a recount of all attached runs, whatever happens to them."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, Policy, Resources, RunState, StartOutcome
from jacinthreel_steps._model import NO_RESOURCES

WORKSPACES = ("v", "w")
QUOTAS = (
    {},
    {"w": Resources(0, 0, 9)},
    {"w": Resources(7_000, 0, 0), "v": Resources(0, 11_000, 3)},
)

FREQUENT_EVENTS = ("submit", "submit", "settle", "plan", "store", "orders", "report", "end")
RARE_EVENTS = ("cancel", "expire", "unlist", "list", "restart", "unanswered", "time", "quota")
TAKEOVERS = ("take_over", "unlisted_take_over")
EVENTS = (*FREQUENT_EVENTS, *FREQUENT_EVENTS, *RARE_EVENTS, *TAKEOVERS)


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


def apply_random_event(harness: SchedulerHarness, rng: random.Random, index: int) -> str:
    """Applies one event to the harness; returns its name."""
    scheduler = harness.scheduler
    name = rng.choice(sorted(harness.listings))
    started = [run for runs in harness.running.values() for run in runs.values()]
    event = rng.choice(EVENTS)
    match event:
        case "submit":
            spec = step(rng.randint(1, 6), rng.choice([0, 1, 4]), is_gang=rng.random() < 0.4)
            terms = queue(rng.choice([0, 0, 1, 2]))
            harness.submit(f"j{index}", spec, terms=terms, workspace=rng.choice(WORKSPACES))
        case "settle":
            harness.settle(store=rng.random() < 0.7)
        case "plan":
            scheduler.plan(harness.now_ms)
        case "store":
            harness.store()
        case "orders":
            harness.execute_orders()
        case "report":
            harness.report_all()
        case "end" if started:
            reason = rng.choice([EndReason.DONE, EndReason.DONE, EndReason.FAILED])
            harness.end(rng.choice(started), reason)
        case "cancel" if harness.records:
            scheduler.cancel(rng.choice(sorted(harness.records)), harness.now_ms)
        case "expire":
            harness.running.pop(name, None)
            scheduler.expire_executor(name, "lease expired", harness.now_ms)
        case "unlist":
            scheduler.remove_listing(name)
        case "list":
            scheduler.apply_listing(harness.listings[name], harness.now_ms)
        case "restart":
            incarnation = harness.listings[name].incarnation + 1
            harness.listings[name] = listing(name, incarnation=incarnation)
            harness.running.pop(name, None)
            harness.ends.pop(name, None)
            scheduler.apply_listing(harness.listings[name], harness.now_ms)
            harness.report(name)
        case "unanswered":
            for run in scheduler.take_starts():
                outcome = rng.choice([StartOutcome.UNKNOWN, StartOutcome.REFUSED_NO_ROOM])
                scheduler.record_start_outcome(run, outcome, harness.now_ms)
        case "take_over":
            harness.take_over()
        case "unlisted_take_over":
            listings, harness.listings = harness.listings, {}
            harness.take_over()
            harness.listings = listings
            assert_usage_is_exact(harness)
            harness.scheduler.expire_orphans(lambda _: harness.now_ms, harness.now_ms)
            harness.running.clear()
            for executor in listings.values():
                harness.scheduler.apply_listing(executor, harness.now_ms)
        case "time":
            harness.now_ms += rng.choice([50, 500, 2_000])
        case "quota":
            harness.policy = Policy(1, {}, {"w": 8}, quota_by_workspace=rng.choice(QUOTAS))
            scheduler.apply_policy(harness.policy)
    return event


@settings(max_examples=120, deadline=None, derandomize=True)
@given(st.integers(0, 100_000))
def test_usage_equals_a_recount_after_every_event(seed: int) -> None:
    rng = random.Random(seed)
    harness = SchedulerHarness(listing("e1"), listing("e2", "r2"), policy=Policy(1, {}, {"w": 8}))
    for index in range(60):
        apply_random_event(harness, rng, index)
        assert_usage_is_exact(harness)
