"""Excludes executors as slow on the evidence of several runs, and readmits them on later evidence.

A verdict says whether a run of a task on an executor lags behind the expected rate or is normal.
About 3 % of tasks run seven times as long as others, so a single lagging run says little about its
executor.  An executor counts as slow if its newest verdicts, of different tasks, lag, and no run in
progress there is normal: two verdicts, or three if two are not more than half of the runs there.
Each run counts once, however long it is in progress; otherwise long tasks, which are in progress
seven times as long, would have too much weight.

Invariants: the decision is made only when the verdict on a run changes, so that one fact excludes
an executor at most once; at most `MAX_EXCLUDED_SHARE` of a service's capacity, or one executor, is
excluded as slow at once.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._model import RunId, TaskId
from jacinthreel_steps._tables import Executor, PaceVerdict, Run, Step

LAGGING_RATE_RATIO: Final = 0.4  # Of the expected rate.
NORMAL_RATE_RATIO: Final = 0.6
MIN_USUAL_SPEED: Final = 0.6  # Lower measured speeds do not lower the expected rate.
MIN_LAGGING_RUNS: Final = 2
MAX_LAGGING_RUNS: Final = 3  # Not more, because some runs give no verdicts.
EVIDENCE_MS: Final = 15_000
MAX_PROGRESS_AGE_MS: Final = 3_000  # An older verdict on a run in progress may be out of date.
SLOW_EXCLUSION_MS: Final = 6_000
MAX_EXCLUDED_SHARE: Final = 0.2


def expected_speed(context: Context, executor: Executor) -> float:
    """Returns the speed to expect of an executor: the measured one, at least the lowest usual one.

    Without the minimum, an executor that is several times slower would count as normal once the
    speed model has adapted to it.
    """
    return max(MIN_USUAL_SPEED, context.speeds.speed(executor.executor_id))


def record_rate_ratio(
    context: Context, executor: Executor, run: Run, ratio: float, is_pace: bool, now_ms: int
) -> None:
    """Records the verdict on a run from its rate divided by the expected rate.

    `is_pace` is set for the pace since an earlier report.  It is newer than the rate since the
    start of the run, which is ignored once there is a pace.
    """
    if LAGGING_RATE_RATIO <= ratio < NORMAL_RATE_RATIO:
        return
    is_lagging = ratio < LAGGING_RATE_RATIO
    if _is_test_of_moved_task(context, executor, run):
        _resolve_move(context, run, is_lagging, now_ms)
        if is_lagging:
            return
    verdicts = executor.health.verdict_by_task
    task_id = run.run_id.task
    previous = verdicts.get(task_id)
    if previous is not None and previous.run_number == run.run_id.number:
        if previous.is_pace and not is_pace:
            return
        previous.is_pace = is_pace
        previous.seen_ms = now_ms
        if previous.is_lagging == is_lagging:
            return
    _add_verdict(executor, task_id, PaceVerdict(run.run_id.number, is_lagging, is_pace, now_ms))
    executor.health.has_new_verdict = True


def apply_new_verdicts(context: Context, executor: Executor, now_ms: int) -> None:
    """Excludes or readmits the executor if the verdict on a run has changed since the last call.

    Called once for all runs of a report, so that the result does not depend on their order.
    """
    health = executor.health
    if not health.has_new_verdict:
        return
    health.has_new_verdict = False
    _forget_old_verdicts(executor)
    newest = next(reversed(health.verdict_by_task.values()))
    if newest.is_lagging:
        reason = "slowed down" if newest.is_pace else "slower than its gang"
        _exclude_if_slow(context, executor, reason, now_ms)
    else:
        _readmit_if_normal(context, executor, now_ms)


def _add_verdict(executor: Executor, task_id: TaskId, verdict: PaceVerdict) -> None:
    """Adds the newest verdict at the end."""
    verdicts = executor.health.verdict_by_task
    verdicts.pop(task_id, None)
    verdicts[task_id] = verdict


def _forget_old_verdicts(executor: Executor) -> None:
    """Removes the verdicts that do not count any more.

    Once for all new ones, because there may be as many as the executor has runs.
    """
    verdicts = executor.health.verdict_by_task
    newest = next(reversed(verdicts.values()))
    for task_id, verdict in list(verdicts.items()):
        if newest.seen_ms - verdict.seen_ms > EVIDENCE_MS:
            del verdicts[task_id]


def _exclude_if_slow(context: Context, executor: Executor, reason: str, now_ms: int) -> None:
    if not _is_slow(executor, now_ms):
        return
    health = executor.health
    is_excluded = health.slow_until_ms > now_ms
    newest = list(health.verdict_by_task.items())[-MIN_LAGGING_RUNS:]
    fields = {
        "executor": executor.executor_id,
        "reason": reason,
        "failures": health.failures,
        "for_ms": SLOW_EXCLUSION_MS,
        "runs": [run_name(RunId(task_id, verdict.run_number)) for task_id, verdict in newest],
        "is_confirmed": newest[-1][1].is_confirmed,
    }
    if not is_excluded:
        excluded_share, is_only_one = _excluded_share_with(context, executor, now_ms)
        fields["excluded_share"] = round(excluded_share, 3)
        if excluded_share > MAX_EXCLUDED_SHARE and not is_only_one:
            context.log("slow_executor_kept", fields)
            return
        context.log("executor_avoided", fields)
    health.slow_until_ms = now_ms + SLOW_EXCLUSION_MS


def _is_slow(executor: Executor, now_ms: int) -> bool:
    """Whether the newest verdicts lag, or a confirmed newest one, and no run in progress is normal.

    Called when the newest verdict lags.
    """
    verdicts = executor.health.verdict_by_task
    for task_id, verdict in verdicts.items():
        is_current = now_ms - verdict.seen_ms <= MAX_PROGRESS_AGE_MS
        if not verdict.is_lagging and is_current and _is_in_progress(executor, task_id, verdict):
            return False
    newest_first = list(reversed(verdicts.values()))
    if newest_first[0].is_confirmed:
        return True
    more_than_half = len(executor.runs_by_task) // 2 + 1
    needed = min(MAX_LAGGING_RUNS, max(MIN_LAGGING_RUNS, more_than_half))
    newest = newest_first[:needed]
    return len(newest) == needed and all(verdict.is_lagging for verdict in newest)


def _readmit_if_normal(context: Context, executor: Executor, now_ms: int) -> None:
    """Ends the exclusion if the two newest verdicts are normal, or no run in progress lags."""
    health = executor.health
    if health.slow_until_ms <= now_ms:
        return
    newest = list(health.verdict_by_task.values())[-2:]
    has_lagging_run = any(
        verdict.is_lagging and _is_in_progress(executor, task_id, verdict)
        for task_id, verdict in health.verdict_by_task.items()
    )
    if has_lagging_run and any(verdict.is_lagging for verdict in newest):
        return
    fields = {
        "executor": executor.executor_id,
        "reason": "later runs are normal",
        "early_ms": health.slow_until_ms - now_ms,
    }
    context.log("executor_readmitted", fields)
    health.slow_until_ms = 0


def _excluded_share_with(context: Context, executor: Executor, now_ms: int) -> tuple[float, bool]:
    """Returns the share of its service that is excluded as slow if the executor is excluded too.

    The second value is whether no other executor of the service is excluded as slow.  Capacity is
    counted in accelerators, or in CPU if the service has none.
    """
    listed = [
        other
        for other in context.tables.executors_by_id.values()
        if other.is_listed and other.listing.service == executor.listing.service
    ]
    excluded = [
        other for other in listed if other.health.slow_until_ms > now_ms and other is not executor
    ]
    has_accelerators = any(other.listing.capacity.accelerators for other in listed)

    def amount(executors: list[Executor]) -> int:
        capacities = [other.listing.capacity for other in executors]
        if has_accelerators:
            return sum(capacity.accelerators for capacity in capacities)
        return sum(capacity.cpu_milli for capacity in capacities)

    return amount([*excluded, executor]) / max(1, amount(listed)), not excluded


def _is_in_progress(executor: Executor, task_id: TaskId, verdict: PaceVerdict) -> bool:
    run = executor.runs_by_task.get(task_id)
    return run is not None and run.run_id.number == verdict.run_number


def _step_of(context: Context, run: Run) -> Step:
    task_id = run.run_id.task
    return context.tables.jobs_by_id[task_id.job_id].steps[task_id.step_index]


def _is_test_of_moved_task(context: Context, executor: Executor, run: Run) -> bool:
    """Whether the run repeats, on another executor, the task because of which a gang was moved."""
    move = _step_of(context, run).move
    return (
        move is not None
        and move.task_index == run.run_id.task.task_index
        and move.run_number < run.run_id.number
        and move.executor_id != executor.executor_id
    )


def _resolve_move(context: Context, run: Run, is_lagging: bool, now_ms: int) -> None:
    """Applies the verdict on a moved task to the executor on which it lagged before.

    If the task lags again, the task itself is long, and its verdict is dropped.  If it is normal,
    its former executor is slow, unless that executor has newer verdicts.
    """
    move = _step_of(context, run).move
    if move is None or move.is_resolved:
        return
    move.is_resolved = True
    former = context.tables.executors_by_id.get(move.executor_id)
    verdict = former.health.verdict_by_task.get(run.run_id.task) if former is not None else None
    if former is None or verdict is None or not verdict.is_lagging:
        return
    if is_lagging:
        del former.health.verdict_by_task[run.run_id.task]
    elif next(reversed(former.health.verdict_by_task)) == run.run_id.task:
        verdict.is_confirmed = True
        verdict.seen_ms = now_ms
        _forget_old_verdicts(former)
        _exclude_if_slow(context, former, "slower than its gang", now_ms)
