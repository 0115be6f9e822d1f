"""The choice of an executor for a request, by one router alone.

Phases: the executors in service are those that are listed, not leaving, in no availability zone
that is out of service, and not ejected.  Of these, the ones with room have a slot free as far as
this router can tell, and few enough connections of this router that all routers together keep
within the executor's limit.  A few of them are sampled at random, so that routers with the same
news don't all pick the same one, and compared: executors near their slots are `hot`; a cold one
with low latency goes before a hot one, and among hot ones the least loaded goes first.  Equals are
decided by availability zone.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from jacinthreel_requests._tables import (
    ExecutorEntry,
    ExecutorHealth,
    RequestEntry,
    Tables,
)

SAMPLE_SIZE: Final = 2
HOT_RATIO: Final = 0.75
LATENCY_STEP: Final = 1.25  # Averages within one step of each other count as equal.
LEAVING_MEMORY_MS: Final = 30_000


@dataclass(frozen=True, slots=True)
class Choice:
    """The executor that was chosen, out of how many, and why."""

    executor: ExecutorEntry
    candidates: int
    reason: str


def in_service(tables: Tables, zones_out: Collection[str], now_ms: int) -> list[ExecutorEntry]:
    """The executors that may be given work, whether or not they have room."""
    return [
        executor
        for executor in tables.executors_by_id.values()
        if _takes_work(executor, zones_out, now_ms)
    ]


def choose(
    tables: Tables,
    entry: RequestEntry,
    serving: list[ExecutorEntry],
    zone: str,
    rng: random.Random,
    now_ms: int,
) -> Choice | None:
    """Picks an executor with room for a request, or None."""
    open_to_entry = [e for e in serving if e.executor_id not in entry.failed_executors] or serving
    trials = [e for e in open_to_entry if _has_trial_room(e)]
    if trials and entry.idempotent:
        return Choice(rng.choice(trials), len(trials), "trial")
    with_room = [e for e in open_to_entry if has_room(tables, e, now_ms)]
    if not with_room:
        # A non-idempotent request goes to an executor on trial only where there is no other.
        only_trials = all(e.health is ExecutorHealth.TRIAL for e in open_to_entry)
        if trials and only_trials:
            return Choice(rng.choice(trials), len(trials), "trial")
        return None
    sample = rng.sample(with_room, min(SAMPLE_SIZE, len(with_room)))
    best = min(sample, key=lambda e: _preference(tables, e, zone, now_ms))
    return Choice(best, len(with_room), "least loaded of sample")


def has_room(tables: Tables, executor: ExecutorEntry, now_ms: int) -> bool:
    """Whether a healthy executor has a slot and a connection left for this router."""
    if executor.health is not ExecutorHealth.HEALTHY or now_ms < executor.full_until_ms:
        return False
    if executor.in_flight >= connection_share(tables, executor):
        return False
    return tables.estimated_busy(executor, now_ms) < executor.slots


def connection_share(tables: Tables, executor: ExecutorEntry) -> int:
    """The connections that one router may hold, so that all together keep to the limit."""
    return max(1, min(executor.slots, executor.connections // tables.entry_hosts))


def _takes_work(executor: ExecutorEntry, zones_out: Collection[str], now_ms: int) -> bool:
    if not executor.listed or executor.leaving or executor.zone in zones_out:
        return False
    refused_ms = executor.refused_leaving_ms
    if refused_ms is not None and now_ms - refused_ms < LEAVING_MEMORY_MS:
        return False
    return executor.health is not ExecutorHealth.EJECTED


def _has_trial_room(executor: ExecutorEntry) -> bool:
    return executor.health is ExecutorHealth.TRIAL and executor.trial_attempt is None


def _preference(
    tables: Tables, executor: ExecutorEntry, zone: str, now_ms: int
) -> tuple[bool, float, float, bool]:
    """Orders sampled executors; the lowest is the best."""
    load = tables.estimated_busy(executor, now_ms) / executor.slots
    hot = load >= HOT_RATIO
    latency = _latency_class(executor.latency_ms)
    first, second = (load, latency) if hot else (latency, load)
    return (hot, first, second, executor.zone != zone)


def _latency_class(latency_ms: float) -> float:
    """The number of the step that a latency falls into, so that noise makes no difference."""
    step = 0
    limit_ms = 1.0
    while limit_ms < latency_ms:
        limit_ms *= LATENCY_STEP
        step += 1
    return float(step)
