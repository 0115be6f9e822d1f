"""Ejection of executors that fail, stall or lag, and their return by trial.

An executor is ejected after `FAILURES_TO_EJECT` failures in a row, when its answers take more than
`OUTLIER_FACTOR` times the median of all, or when it has not answered anything for much longer than
requests take.  The ejection doubles each time; afterwards one request at a time is sent as a
trial, and one whole answer returns the executor.

Invariant: at most `MAX_EJECTED_RATIO` of the listed executors are out by ejection or trial, so
that a fault which hits all of them at once can't take every executor away.
"""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import Final

from jacinthreel_requests._tables import ExecutorEntry, ExecutorHealth, Tables

FAILURES_TO_EJECT: Final = 3
EJECTION_MS: Final = 1_000
MAX_EJECTION_MS: Final = 30_000
MAX_EJECTED_RATIO: Final = 0.3
OUTLIER_FACTOR: Final = 5.0
MIN_OUTLIER_SAMPLES: Final = 20
STALL_FACTOR: Final = 20.0
MIN_STALL_MS: Final = 1_000
STALLED: Final = "stalled"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """An executor's health changed; for the log."""

    executor_id: str
    health: ExecutorHealth
    reason: str


def on_answer(executor: ExecutorEntry, latency_ms: float, now_ms: int) -> HealthChange | None:
    """Counts a whole answer; a trial that succeeds returns the executor."""
    executor.consecutive_failures = 0
    executor.last_reply_ms = now_ms
    executor.observe_latency(latency_ms)
    if executor.health is not ExecutorHealth.TRIAL:
        return None
    executor.health = ExecutorHealth.HEALTHY
    executor.latency_samples = 0
    return HealthChange(executor.executor_id, executor.health, "trial answered")


def on_failure(
    tables: Tables, executor: ExecutorEntry, rng: random.Random, now_ms: int
) -> HealthChange | None:
    """Counts a failure: nothing could be sent, or no whole answer came."""
    executor.consecutive_failures += 1
    if executor.health is ExecutorHealth.TRIAL:
        return _eject(executor, "trial failed", rng, now_ms)
    if executor.health is ExecutorHealth.EJECTED:
        return None
    if executor.consecutive_failures < FAILURES_TO_EJECT or not _may_eject(tables):
        return None
    return _eject(executor, "consecutive failures", rng, now_ms)


def refresh(tables: Tables, rng: random.Random, now_ms: int) -> list[HealthChange]:
    """Finds laggards and stalled executors, and starts trials of those whose time is over."""
    changes: list[HealthChange] = []
    typical_ms = typical_latency_ms(tables)
    for executor in tables.executors_by_id.values():
        if executor.health is ExecutorHealth.EJECTED and now_ms >= executor.ejected_until_ms:
            executor.health = ExecutorHealth.TRIAL
            executor.trial_attempt = None
            changes.append(HealthChange(executor.executor_id, executor.health, "time over"))
            continue
        if executor.health is not ExecutorHealth.HEALTHY or typical_ms is None:
            continue
        reason = _unfit_reason(tables, executor, typical_ms, now_ms)
        if reason is None or not _may_eject(tables):
            continue
        changes.append(_eject(executor, reason, rng, now_ms))
    return changes


def typical_latency_ms(tables: Tables) -> float | None:
    """The median of the executors' average latencies, or None before any is known."""
    averages = [
        executor.latency_ms
        for executor in tables.executors_by_id.values()
        if executor.latency_samples > 0
    ]
    return statistics.median(averages) if averages else None


def _unfit_reason(
    tables: Tables, executor: ExecutorEntry, typical_ms: float, now_ms: int
) -> str | None:
    enough = executor.latency_samples >= MIN_OUTLIER_SAMPLES
    if enough and executor.latency_ms > OUTLIER_FACTOR * typical_ms:
        return "latency outlier"
    oldest_ms = tables.oldest_sent_ms(executor.executor_id)
    if oldest_ms is None:
        return None
    silent_since_ms = max(oldest_ms, executor.last_reply_ms)
    if now_ms - silent_since_ms > max(MIN_STALL_MS, STALL_FACTOR * typical_ms):
        return STALLED
    return None


def _may_eject(tables: Tables) -> bool:
    listed = [executor for executor in tables.executors_by_id.values() if executor.listed]
    out = sum(executor.health is not ExecutorHealth.HEALTHY for executor in listed)
    return out + 1 <= MAX_EJECTED_RATIO * len(listed)


def _eject(executor: ExecutorEntry, reason: str, rng: random.Random, now_ms: int) -> HealthChange:
    executor.health = ExecutorHealth.EJECTED
    duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2 ** min(executor.ejections, 10))
    executor.ejected_until_ms = now_ms + int(duration_ms * rng.uniform(1.0, 1.5))
    executor.ejections += 1
    executor.consecutive_failures = 0
    executor.trial_attempt = None
    return HealthChange(executor.executor_id, executor.health, reason)
