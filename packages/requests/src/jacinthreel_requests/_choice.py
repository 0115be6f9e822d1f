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
    PEER_SILENCE_MS,
    ExecutorEntry,
    ExecutorHealth,
    RequestEntry,
    Tables,
)

SAMPLE_SIZE: Final = 8
HOT_RATIO: Final = 0.9
LATENCY_STEP: Final = 1.25  # Averages within one step of each other count as equal.
LEAVING_MEMORY_MS: Final = 30_000
NEEDY_BELOW_SHARE: Final = 0.8


@dataclass(frozen=True, slots=True)
class Choice:
    """The executor that was chosen, out of how many, and why."""

    executor: ExecutorEntry
    candidates: int
    reason: str


@dataclass(frozen=True, slots=True)
class Room:
    """Executors that can take a request now.

    `only_trials` is true where every executor in service is on trial.
    """

    healthy: list[ExecutorEntry]
    trials: list[ExecutorEntry]
    only_trials: bool

    def __bool__(self) -> bool:
        return bool(self.healthy or self.trials)


def in_service(tables: Tables, zones_out: Collection[str], now_ms: int) -> list[ExecutorEntry]:
    """The executors that may be given work, whether or not they have room."""
    return [
        executor
        for executor in tables.executors_by_id.values()
        if _takes_work(executor, zones_out, now_ms)
    ]


def find_room(tables: Tables, zones_out: Collection[str], now_ms: int) -> Room:
    """The executors that can take a request now."""
    serving = in_service(tables, zones_out, now_ms)
    if must_yield(tables, serving, now_ms):
        return Room([], [], only_trials=False)
    return Room(
        healthy=[e for e in serving if has_room(tables, e, now_ms)],
        trials=[e for e in serving if _has_trial_room(e, now_ms)],
        only_trials=all(e.health is ExecutorHealth.TRIAL for e in serving),
    )


def choose(
    tables: Tables,
    entry: RequestEntry,
    room: Room,
    zone: str,
    rng: random.Random,
    now_ms: int,
) -> Choice | None:
    """Picks an executor with room for a request, or None.

    A non-idempotent request goes to an executor on trial only where there is no other kind.
    """
    if room.trials and (entry.idempotent or room.only_trials):
        return Choice(rng.choice(room.trials), len(room.trials), "trial")
    healthy = room.healthy
    if entry.failed_executors:
        others = [e for e in healthy if e.executor_id not in entry.failed_executors]
        healthy = others or healthy
    if not healthy:
        return None
    sample = rng.sample(healthy, min(SAMPLE_SIZE, len(healthy)))
    best = min(sample, key=lambda e: _preference(tables, e, zone, now_ms))
    return Choice(best, len(healthy), "least loaded of sample")


def slot_share(tables: Tables, serving: list[ExecutorEntry]) -> float:
    """The slots that one router may count on when all routers are short of them."""
    return sum(executor.slots for executor in serving) / tables.entry_hosts


def must_yield(tables: Tables, serving: list[ExecutorEntry], now_ms: int) -> bool:
    """Whether this router has its share of slots while another has requests waiting for its own."""
    share = slot_share(tables, serving)
    if len(tables.attempts_by_id) < share:
        return False
    return any(
        peer.waiting and peer.in_flight < NEEDY_BELOW_SHARE * share
        for peer in tables.peers_by_host.values()
        if now_ms - peer.heard_ms <= PEER_SILENCE_MS
    )


def has_room(tables: Tables, executor: ExecutorEntry, now_ms: int) -> bool:
    """Whether a healthy executor has a slot and a connection left for this router."""
    if executor.health is not ExecutorHealth.HEALTHY or now_ms < executor.full_until_ms:
        return False
    if executor.in_flight >= executor.share:
        return False
    return tables.estimated_busy(executor, now_ms) < executor.slots


def connection_share(executor: ExecutorEntry, entry_hosts: int) -> int:
    """The connections that one router may hold, so that all together keep to the limit."""
    return max(1, min(executor.slots, executor.connections // entry_hosts))


def _takes_work(executor: ExecutorEntry, zones_out: Collection[str], now_ms: int) -> bool:
    if not executor.listed or executor.leaving or executor.zone in zones_out:
        return False
    refused_ms = executor.refused_leaving_ms
    if refused_ms is not None and now_ms - refused_ms < LEAVING_MEMORY_MS:
        return False
    return executor.health is not ExecutorHealth.EJECTED


def _has_trial_room(executor: ExecutorEntry, now_ms: int) -> bool:
    if executor.health is not ExecutorHealth.TRIAL or executor.trial_attempt is not None:
        return False
    return now_ms >= executor.full_until_ms


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
