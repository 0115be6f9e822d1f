"""Guests: overdue jobs on room that is reserved for other jobs.

A mostly idle service doesn't keep an overdue job from reserved room (`_overdue`).  So that a series
of guests doesn't make the job wait that the room is reserved for, the holder, it may preempt them
once all else that it needs is free: it then runs within a stop.  Urgent guests are preempted only
for urgent holders.

Guests are known to the owner that has placed them; a next owner lets them run.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources, StopCause, StopReason
from jacinthreel_steps._planning._pass_state import PassState, Reach
from jacinthreel_steps._planning._placement import Placement
from jacinthreel_steps._planning._reservation_choice import predicted_end_ms
from jacinthreel_steps._planning._reservation_table import Reservation
from jacinthreel_steps._runs._lifecycle import stop_gang, stop_run
from jacinthreel_steps._tables import Isolation, Job, Run, RunState, Step

EVICTION_MARGIN_MS: Final = 600  # Beyond a stop; the room is then open to guests again.
EVICTION_PERIOD_MS: Final = 5_000
MIN_WAIT_FOR_GUESTS_MS: Final = 1_000  # Guests that are predicted to end sooner are not stopped.


def mark_guests(state: PassState, job: Job, placement: Placement) -> None:
    """Records which runs of a placement that was just made are on room reserved for other jobs."""
    held = state.context.reservations.held_by_executor(job.queue.service, {job.job_id})
    for task, executor_id in placement:
        if task.run is not None and executor_id in held:
            task.run.is_guest = True


def open_shared_executors(state: PassState, job: Job, placement: Placement) -> None:
    """Records that suspects are not alone any more on executors of a placement just made."""
    tables = state.context.tables
    for _, executor_id in placement:
        executor = tables.executors_by_id[executor_id]
        if not executor.is_closed:
            continue
        for run in executor.runs_by_task.values():
            if run.isolation is Isolation.EXCLUSIVE and run.run_id.task.job_id != job.job_id:
                run.isolation = Isolation.CLOSED


def find_evictable(
    state: PassState, job: Job, reservation: Reservation
) -> dict[str, Sequence[Run]]:
    """Returns the guests that a holder may preempt now, by executor.

    There are none for a while after some were preempted, and if all of them end soon.
    """
    now_ms, tables = state.now_ms, state.context.tables
    if now_ms < reservation.evict_again_ms:
        return {}
    guests: dict[str, Sequence[Run]] = {}
    for executor in state.executors_within(reservation.service, Reach.SLOW):
        runs = [run for run in executor.runs_by_task.values() if _is_evictable(state, job, run)]
        if runs:
            guests[executor.executor_id] = runs
    limit_ms = now_ms + MIN_WAIT_FOR_GUESTS_MS
    for guest_runs in guests.values():
        if any(predicted_end_ms(tables, run, now_ms) > limit_ms for run in guest_runs):
            return guests
    return {}


def _is_evictable(state: PassState, job: Job, run: Run) -> bool:
    if not run.is_guest or run.state not in (RunState.STARTING, RunState.RUNNING):
        return False
    guest = state.context.tables.jobs_by_id.get(run.run_id.task.job_id)
    return guest is not None and guest.queue.priority >= job.queue.priority


def sum_by_executor(guests: Mapping[str, Sequence[Run]]) -> dict[str, Resources]:
    """Returns what guests use on each executor."""
    used: dict[str, Resources] = {}
    for executor_id, runs in guests.items():
        for run in runs:
            used[executor_id] = used.get(executor_id, NO_RESOURCES).plus(run.shape)
    return used


def evict_guests(
    state: PassState,
    job: Job,
    step: Step,
    guests: Mapping[str, Sequence[Run]],
    placement: Placement,
) -> None:
    """Stops the guests in the way of a holder's placement, and keeps others out meanwhile.

    Its room is then reserved on the executors of the placement.
    """
    context = state.context
    counts: dict[str, int] = {}
    for _, executor_id in placement:
        counts[executor_id] = counts.get(executor_id, 0) + 1
    reason = StopReason(StopCause.PREEMPTED, job.job_id)
    stopped: list[Run] = []
    for executor_id, count in counts.items():
        free = context.tables.executors_by_id[executor_id].free_resources
        for run in sorted(guests.get(executor_id, ()), key=_has_saved, reverse=True):
            if step.spec.shape.count_fitting_into(free) >= count:
                break
            free = free.plus(run.shape)
            stopped.append(run)
            _stop_guest(state, run, reason)
    reservation = context.reservations.by_job[job.job_id]
    reservation.count_by_executor = counts
    reservation.evict_again_ms = state.now_ms + EVICTION_PERIOD_MS
    reservation.closed_until_ms = state.now_ms + context.stop_limit_ms + EVICTION_MARGIN_MS
    state.record_changes(run.executor_id for run in stopped)
    fields = {"job_id": job.job_id, "step": step.index, "stopped": len(stopped)}
    context.log("guests_evicted", fields)


def _has_saved(run: Run) -> bool:
    """Whether a run has saved progress, so that stopping it costs little."""
    return bool(run.checkpoint)


def _stop_guest(state: PassState, run: Run, reason: StopReason) -> None:
    task_id = run.run_id.task
    step = state.context.tables.jobs_by_id[task_id.job_id].steps[task_id.step_index]
    if step.spec.is_gang:
        stop_gang(state.context, step, run.run_id.number, reason, state.now_ms)
    else:
        stop_run(state.context, run, reason, state.now_ms)
