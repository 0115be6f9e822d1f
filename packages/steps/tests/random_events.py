"""Random events for the scheduler: jobs, ends, failures of executors and of the owner."""

from __future__ import annotations

import random
from collections.abc import Sequence

from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, Policy, Resources, StartOutcome

Quotas = dict[str, Resources]
WORKSPACES = ("v", "w")
WEIGHTS: tuple[dict[str, float], ...] = ({}, {"w": 1.0}, {"w": 50.0, "v": 9.0})
FREQUENT_EVENTS = ("submit", "submit", "settle", "plan", "store", "orders", "report", "end")
RARE_EVENTS = ("cancel", "expire", "unlist", "list", "restart", "unanswered", "time", "quota")
TAKEOVERS = ("take_over", "unlisted_take_over")
EVENTS = (*FREQUENT_EVENTS, *FREQUENT_EVENTS, *RARE_EVENTS, *TAKEOVERS)


def apply_random_event(
    harness: SchedulerHarness, rng: random.Random, index: int, quotas: Sequence[Quotas]
) -> None:
    """Applies one event to the harness; a change of the quotas selects one of `quotas`."""
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
            harness.scheduler.expire_orphans(lambda _: harness.now_ms, harness.now_ms)
            harness.running.clear()
            for executor in listings.values():
                harness.scheduler.apply_listing(executor, harness.now_ms)
        case "time":
            harness.now_ms += rng.choice([50, 500, 2_000])
        case "quota":
            harness.policy = Policy(
                1,
                {},
                {"w": 8},
                quota_by_workspace=rng.choice(quotas),
                weight_by_workspace=rng.choice(WEIGHTS),
            )
            scheduler.apply_policy(harness.policy)
