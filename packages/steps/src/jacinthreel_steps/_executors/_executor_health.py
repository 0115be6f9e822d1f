"""Distinguishes executors that fail, hang or are slow from jobs that do.

A single failure may be caused by the task, so it only makes an executor less preferred for
`SUSPECT_MS`.  After two failures without a success in between, the executor is avoided, for a time
that doubles with each further failure; then it is used again.  An executor on which no run makes
progress is avoided as well.

A task on its last attempt prefers proven executors: those where a run that started within
`PROVEN_MS` has made progress or succeeded.

An executor that was out of reach is less preferred for `SUSPECT_MS` too: it may be lost again, and
a start that it doesn't answer keeps a whole gang waiting until its stop is confirmed.

Targets executors that seem healthy but fail or hang every run: without this, the capacity that is
freed by the failures attracts further tasks and uses up their attempts.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import DecisionLog
from jacinthreel_steps._tables import Executor, Run

SUSPECT_MS: Final = 6_000
FIRST_AVOID_MS: Final = 3_000
MAX_AVOID_MS: Final = 12_000
STALLED_AVOID_MS: Final = 6_000
PROVEN_MS: Final = 4_000
MIN_PROOF_AGE_MS: Final = 500
MIN_PROOF_PERCENT: Final = 3
NO_ROOM_AVOID_MS: Final = 300
UNHEALTHY_AVOID_MS: Final = 1_500
UNREACHABLE_AVOID_MS: Final = 300  # More than the time until the next request to the executor.


def record_success(executor: Executor | None, run: Run) -> None:
    """Records that a run succeeded on the executor."""
    if executor is not None:
        executor.health.failures = 0
        _mark_proven(executor, run)


def record_progress(executor: Executor, run: Run, percent: int, now_ms: int) -> None:
    """Records that a run makes progress on the executor."""
    if percent >= MIN_PROOF_PERCENT and now_ms - run.placed_ms >= MIN_PROOF_AGE_MS:
        _mark_proven(executor, run)


def record_failure(executor: Executor | None, now_ms: int, log: DecisionLog) -> None:
    """Records that a run failed on the executor, which is avoided from the second failure on."""
    if executor is None:
        return
    health = executor.health
    health.failures += 1
    health.failed_ms = now_ms
    if health.failures < 2:
        return
    duration_ms = min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (health.failures - 2))
    avoid_executor(executor, duration_ms, "failures", now_ms, log)


def avoid_executor(
    executor: Executor, duration_ms: int, reason: str, now_ms: int, log: DecisionLog
) -> None:
    """Places no tasks on the executor for a while; never shortens an earlier period."""
    executor.health.avoided_ms = now_ms
    until_ms = now_ms + duration_ms
    if until_ms <= executor.health.avoid_until_ms:
        return
    executor.health.avoid_until_ms = until_ms
    log(
        "executor_avoided",
        {
            "executor": executor.executor_id,
            "reason": reason,
            "failures": executor.health.failures,
            "for_ms": duration_ms,
        },
    )


def is_proven(executor: Executor, now_ms: int) -> bool:
    """Whether a run that started there within `PROVEN_MS` made progress or succeeded."""
    proven_ms = executor.health.proven_ms
    return proven_ms is not None and now_ms - proven_ms <= PROVEN_MS


def _mark_proven(executor: Executor, run: Run) -> None:
    """Marks the executor proven, unless the run resumed or was adopted: its start is unknown."""
    if run.is_from_zero:
        executor.health.proven_ms = max(executor.health.proven_ms or 0, run.placed_ms)


def is_suspect(executor: Executor, now_ms: int) -> bool:
    """Whether a recent failure, or a time out of reach, makes other executors preferred."""
    health = executor.health
    if health.unreachable_ms is not None and now_ms - health.unreachable_ms < SUSPECT_MS:
        return True
    return health.failures > 0 and now_ms - health.failed_ms < SUSPECT_MS
