"""Outlier detection: ejects executors that fail, are slow or stall, and returns them by trial.

An executor is ejected after `FAILURES_TO_EJECT` consecutive failures, if its average latency
exceeds `OUTLIER_FACTOR` times the median of all executors, or if it is stalled: it has requests in
flight and has answered none for `STALL_FACTOR` times the median latency, or for `MIN_STALL_MS` if
that is longer.  The duration doubles with each ejection up to `MAX_EJECTION_MS`.  Afterwards the
executor is on trial, as in a half-open circuit breaker: it gets one request at a time, and one
complete answer returns it to service.

Invariant: an ejection never raises the share of listed executors that are ejected or on trial
above `MAX_EJECTED_RATIO`, so that a fault which affects all executors at once can't remove them
all.
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
STALLED_REASON: Final = "stalled"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of an executor's health; all fields are written to the log."""

    executor_id: str
    health: ExecutorHealth
    reason: str


def record_success(executor: ExecutorEntry, latency_ms: float, now_ms: int) -> HealthChange | None:
    """Records a complete answer; returns an executor on trial to service."""
    executor.consecutive_failures = 0
    executor.last_reply_ms = now_ms
    executor.observe_latency(latency_ms)
    if executor.health is not ExecutorHealth.TRIAL:
        return None
    executor.health = ExecutorHealth.HEALTHY
    executor.latency_samples = 0
    return HealthChange(executor.executor_id, executor.health, "trial succeeded")


def record_failure(
    tables: Tables, executor: ExecutorEntry, rng: random.Random, now_ms: int
) -> HealthChange | None:
    """Records a failed attempt (`NotSent` or `Lost`) and ejects the executor if required."""
    executor.consecutive_failures += 1
    if executor.health is ExecutorHealth.TRIAL:
        return _eject(executor, "trial failed", rng, now_ms)
    if executor.health is ExecutorHealth.EJECTED:
        return None
    if executor.consecutive_failures < FAILURES_TO_EJECT or not _may_eject(tables):
        return None
    return _eject(executor, "consecutive failures", rng, now_ms)


def update_health(tables: Tables, rng: random.Random, now_ms: int) -> list[HealthChange]:
    """Ejects slow and stalled executors, and starts the trial of those whose ejection expired."""
    changes: list[HealthChange] = []
    median_ms = median_latency_ms(tables)
    for executor in tables.executors_by_id.values():
        if executor.health is ExecutorHealth.EJECTED and now_ms >= executor.ejected_until_ms:
            executor.health = ExecutorHealth.TRIAL
            executor.trial_attempt_id = None
            changes.append(HealthChange(executor.executor_id, executor.health, "ejection expired"))
            continue
        if executor.health is not ExecutorHealth.HEALTHY or median_ms is None:
            continue
        reason = _find_ejection_reason(tables, executor, median_ms, now_ms)
        if reason is None or not _may_eject(tables):
            continue
        changes.append(_eject(executor, reason, rng, now_ms))
    return changes


def median_latency_ms(tables: Tables) -> float | None:
    """Returns the median of the executors' average latencies, or None if there are no samples."""
    averages = [
        executor.latency_ms
        for executor in tables.executors_by_id.values()
        if executor.latency_samples > 0
    ]
    return statistics.median(averages) if averages else None


def _find_ejection_reason(
    tables: Tables, executor: ExecutorEntry, median_ms: float, now_ms: int
) -> str | None:
    has_enough_samples = executor.latency_samples >= MIN_OUTLIER_SAMPLES
    if has_enough_samples and executor.latency_ms > OUTLIER_FACTOR * median_ms:
        return "latency outlier"
    oldest_ms = tables.oldest_sent_ms(executor.executor_id)
    if oldest_ms is None:
        return None
    last_progress_ms = max(oldest_ms, executor.last_reply_ms)
    if now_ms - last_progress_ms > max(MIN_STALL_MS, STALL_FACTOR * median_ms):
        return STALLED_REASON
    return None


def _may_eject(tables: Tables) -> bool:
    listed = [executor for executor in tables.executors_by_id.values() if executor.listed]
    unhealthy_count = sum(executor.health is not ExecutorHealth.HEALTHY for executor in listed)
    return unhealthy_count + 1 <= MAX_EJECTED_RATIO * len(listed)


def _eject(executor: ExecutorEntry, reason: str, rng: random.Random, now_ms: int) -> HealthChange:
    executor.health = ExecutorHealth.EJECTED
    duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2 ** min(executor.ejections, 10))
    executor.ejected_until_ms = now_ms + int(duration_ms * rng.uniform(1.0, 1.5))
    executor.ejections += 1
    executor.consecutive_failures = 0
    executor.trial_attempt_id = None
    return HealthChange(executor.executor_id, executor.health, reason)
