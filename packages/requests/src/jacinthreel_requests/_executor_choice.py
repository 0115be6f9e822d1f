"""Selects an executor for a request, from the local state of one router.

1. Filter by service: an executor is in service if it is listed, not leaving (according to the host
   list or to a recent refusal), not ejected, and not in an availability zone that is out of
   service.
2. Filter by capacity: an executor has capacity if its estimated number of busy slots is below its
   number of slots, and if this router is below its own limit of requests in flight there.  That
   limit is the router's share of the executor's connection limit, so that all routers together
   stay within it.
3. Sample a few of the remaining executors at random, so that routers with the same state don't all
   pick the same executor.
4. Compare the sample.  Executors at or above `HIGH_LOAD_RATIO` of their slots come last and are
   ordered by load, then latency.  The others are ordered by latency, then load.  Ties are broken
   in favour of the router's own availability zone.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from jacinthreel_requests._tables import (
    PEER_NOTICE_MAX_AGE_MS,
    ExecutorEntry,
    ExecutorHealth,
    RequestEntry,
    Tables,
)

SAMPLE_SIZE: Final = 8
HIGH_LOAD_RATIO: Final = 0.9
LATENCY_CLASS_RATIO: Final = 1.25  # Latencies in the same class compare as equal.
LEAVING_REFUSAL_HOLD_MS: Final = 30_000
STARVED_PEER_RATIO: Final = 0.8


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen executor, the number of candidates, and the reason for the log."""

    executor: ExecutorEntry
    candidates: int
    reason: str


@dataclass(frozen=True, slots=True)
class AvailableExecutors:
    """Executors that can take a request now.

    `healthy` and `trials` hold those with free capacity, by health.  `only_trials` is true if
    every executor in service is on trial, whether or not it has capacity.
    """

    healthy: list[ExecutorEntry]
    trials: list[ExecutorEntry]
    only_trials: bool

    def __bool__(self) -> bool:
        return bool(self.healthy or self.trials)


def find_executors_in_service(
    tables: Tables, zones_out: Collection[str], now_ms: int
) -> list[ExecutorEntry]:
    """Returns the executors that may be given work, whether or not they have free capacity."""
    return [
        executor
        for executor in tables.executors_by_id.values()
        if _is_in_service(executor, zones_out, now_ms)
    ]


def find_available_executors(
    tables: Tables, zones_out: Collection[str], now_ms: int
) -> AvailableExecutors:
    """Returns the executors that can take a request now."""
    serving = find_executors_in_service(tables, zones_out, now_ms)
    if must_yield_to_peers(tables, serving, now_ms):
        return AvailableExecutors([], [], only_trials=False)
    return AvailableExecutors(
        healthy=[e for e in serving if has_capacity(tables, e, now_ms)],
        trials=[e for e in serving if _can_start_trial(e, now_ms)],
        only_trials=all(e.health is ExecutorHealth.TRIAL for e in serving),
    )


def choose_executor(
    tables: Tables,
    entry: RequestEntry,
    available: AvailableExecutors,
    zone: str,
    rng: random.Random,
    now_ms: int,
) -> Choice | None:
    """Picks an available executor for a request, or returns None if there is none.

    An idempotent request goes to an executor on trial if one is available.  A non-idempotent
    request goes to one only if all executors in service are on trial.  Healthy executors at which
    the request failed before are used only if there is no other.
    """
    if available.trials and (entry.idempotent or available.only_trials):
        return Choice(rng.choice(available.trials), len(available.trials), "trial")
    healthy = available.healthy
    if entry.failed_executors:
        others = [e for e in healthy if e.executor_id not in entry.failed_executors]
        healthy = others or healthy
    if not healthy:
        return None
    sample = rng.sample(healthy, min(SAMPLE_SIZE, len(healthy)))
    best = min(sample, key=lambda e: _preference_key(tables, e, zone, now_ms))
    return Choice(best, len(healthy), "best of sample")


def slot_share(tables: Tables, serving: list[ExecutorEntry]) -> float:
    """Returns the slots that one router is entitled to if all routers are short of slots."""
    return sum(executor.slots for executor in serving) / tables.entry_host_count


def must_yield_to_peers(tables: Tables, serving: list[ExecutorEntry], now_ms: int) -> bool:
    """Returns whether this router must leave freed slots to another router.

    That is the case if it uses at least its share of the slots while another router has queued
    requests and uses less than `STARVED_PEER_RATIO` of its share.
    """
    share = slot_share(tables, serving)
    if len(tables.attempts_by_id) < share:
        return False
    return any(
        peer.waiting and peer.in_flight < STARVED_PEER_RATIO * share
        for peer in tables.peers_by_host_id.values()
        if now_ms - peer.received_ms <= PEER_NOTICE_MAX_AGE_MS
    )


def has_capacity(tables: Tables, executor: ExecutorEntry, now_ms: int) -> bool:
    """Returns whether a healthy executor has a free slot and a connection for this router."""
    if executor.health is not ExecutorHealth.HEALTHY or now_ms < executor.full_until_ms:
        return False
    if executor.in_flight >= executor.max_in_flight:
        return False
    return tables.estimated_busy_slots(executor, now_ms) < executor.slots


def connection_share(executor: ExecutorEntry, entry_host_count: int) -> int:
    """Returns one router's equal share of an executor's connection limit.

    The share is at least 1 and at most the executor's number of slots.
    """
    return max(1, min(executor.slots, executor.connections // entry_host_count))


def _is_in_service(executor: ExecutorEntry, zones_out: Collection[str], now_ms: int) -> bool:
    if not executor.listed or executor.leaving or executor.zone in zones_out:
        return False
    refused_ms = executor.refused_as_leaving_ms
    if refused_ms is not None and now_ms - refused_ms < LEAVING_REFUSAL_HOLD_MS:
        return False
    return executor.health is not ExecutorHealth.EJECTED


def _can_start_trial(executor: ExecutorEntry, now_ms: int) -> bool:
    if executor.health is not ExecutorHealth.TRIAL or executor.trial_attempt_id is not None:
        return False
    return now_ms >= executor.full_until_ms


def _preference_key(
    tables: Tables, executor: ExecutorEntry, zone: str, now_ms: int
) -> tuple[bool, float, float, bool]:
    """Returns the sort key of a sampled executor; the lowest is preferred."""
    load = tables.estimated_busy_slots(executor, now_ms) / executor.slots
    is_highly_loaded = load >= HIGH_LOAD_RATIO
    latency = _latency_class(executor.latency_ms)
    first, second = (load, latency) if is_highly_loaded else (latency, load)
    return (is_highly_loaded, first, second, executor.zone != zone)


def _latency_class(latency_ms: float) -> float:
    """Rounds a latency up to a power of `LATENCY_CLASS_RATIO` and returns the exponent.

    Comparing classes instead of latencies keeps noise from deciding the order.
    """
    exponent = 0
    limit_ms = 1.0
    while limit_ms < latency_ms:
        limit_ms *= LATENCY_CLASS_RATIO
        exponent += 1
    return float(exponent)
