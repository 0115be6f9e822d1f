"""Telling executors that fail, hang or crawl from jobs that do.

A single failure may be the task's own fault, so it only makes an executor a second choice.  Two
failures without a run done in between take it out of use for a while that doubles with each
further failure; after that it is tried again.  An executor on which nothing that runs makes
progress is taken out of use as well.

A task that has failed on all attempts but the last goes to executors that have proven to work: a
run that began there within `PROVEN_MS` has made progress or was done.

Answers the load of executors that look healthy and fail or hang all that they start: without
this, the room that their failures free draws the next tasks in and uses their attempts up.
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
WORKING_MS: Final = 500
WORKING_PERCENT: Final = 3
NO_ROOM_AVOID_MS: Final = 300
UNHEALTHY_AVOID_MS: Final = 1_500


def note_done(executor: Executor | None, run: Run) -> None:
    """A run was done there."""
    if executor is not None:
        executor.health.failures = 0
        _note_proof(executor, run)


def note_working(executor: Executor, run: Run, percent: int, now_ms: int) -> None:
    """A run has made progress there."""
    if percent >= WORKING_PERCENT and now_ms - run.placed_ms >= WORKING_MS:
        _note_proof(executor, run)


def note_failure(executor: Executor | None, now_ms: int, log: DecisionLog) -> None:
    """A run failed there."""
    if executor is None:
        return
    health = executor.health
    health.failures += 1
    health.failed_ms = now_ms
    if health.failures < 2:
        return
    pause_ms = min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (health.failures - 2))
    avoid(executor, pause_ms, "failures", now_ms, log)


def avoid(executor: Executor, pause_ms: int, reason: str, now_ms: int, log: DecisionLog) -> None:
    """Places nothing there for a while."""
    until_ms = now_ms + pause_ms
    if until_ms <= executor.health.avoid_until_ms:
        return
    executor.health.avoid_until_ms = until_ms
    log(
        "executor_avoided",
        {
            "executor": executor.executor_id,
            "reason": reason,
            "failures": executor.health.failures,
            "for_ms": pause_ms,
        },
    )


def is_proven(executor: Executor, now_ms: int) -> bool:
    """Whether a run that began there lately was seen to work."""
    proven_ms = executor.health.proven_ms
    return proven_ms is not None and now_ms - proven_ms <= PROVEN_MS


def _note_proof(executor: Executor, run: Run) -> None:
    """The beginning of a run that resumed or was adopted isn't known."""
    if run.is_from_zero:
        executor.health.proven_ms = max(executor.health.proven_ms or 0, run.placed_ms)


def is_suspect(executor: Executor, now_ms: int) -> bool:
    """Whether other executors are preferred."""
    health = executor.health
    return health.failures > 0 and now_ms - health.failed_ms < SUSPECT_MS
