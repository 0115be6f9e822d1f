"""Room reserved for jobs that have waited long, so that later jobs don't pass them for ever.

A pass places whatever fits.  A gang that needs many executors at once then waits for as long as
narrower jobs arrive that take each executor as it becomes free.  A job that has waited for
`RESERVE_AFTER_MS` with no run, and was passed by one that was accepted later, therefore gets a
reservation: room for its tasks on executors on which they fit once runs there have ended
(`_reservation_choice`).  Other jobs get new tasks there only beside it, except that

- urgent jobs that have to wait otherwise use it in the first `SHARED_WITH_URGENT_MS`,
- urgent jobs within the guarantee of their workspace always do, and
- overdue jobs of a mostly idle service do in the first `SHARED_WITH_OVERDUE_MS`.

Reservations are made in the order in which the jobs began to wait, one for each workspace of a
service, and a further one only while they are on at most `MAX_RESERVED_SHARE` of the executors.

Targets a stream of narrow jobs on a busy cluster, with a few gangs that need a large part of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._planning._reservation_choice import (
    Choice,
    Demand,
    choose_executors,
    fits_when_empty,
)
from jacinthreel_steps._planning._reservation_table import Reservation
from jacinthreel_steps._tables import Executor, Job, Step
from jacinthreel_steps._workspaces._quotas import count_admitted

RESERVE_AFTER_MS: Final = 5_000
MAX_RESERVED_SHARE: Final = 0.4
CHECK_PERIOD_MS: Final = 250
RETRY_MS: Final = 5_000  # For a job that fits on no executors.
FULL_RETRY_MS: Final = 1_000  # For a service without enough room beside other reservations.
MAX_COMPARED: Final = 1_500  # Executors to compare in a check; at least those of one service.


@dataclass(frozen=True, slots=True)
class _Starved:
    """A job that has waited too long, with the step to place and since when it has waited."""

    since_ms: int
    job: Job
    step: Step

    @property
    def needed(self) -> int:
        """How many tasks have to fit: all of a gang, one of another step."""
        return len(self.step.tasks) if self.step.spec.is_gang else 1

    @property
    def service(self) -> str:
        """The service on whose executors the job runs."""
        return self.job.record.queue.service


def update_reservations(context: Context, usable: UsableExecutors, now_ms: int) -> None:
    """Makes, changes and releases reservations; a no-op unless a check is due."""
    table = context.reservations
    if now_ms - table.checked_ms < CHECK_PERIOD_MS:
        return
    table.checked_ms = now_ms
    starved = {item.job.job_id: item for item in _find_starved(context, now_ms)}
    for times in (table.first_made_by_job, table.retry_by_job):
        for job_id in [job_id for job_id in times if job_id not in starved]:
            del times[job_id]
    _renew_reservations(context, usable, starved, now_ms)
    _make_reservations(context, usable, starved.values(), now_ms)


def release_reservation(context: Context, job_id: str, now_ms: int) -> None:
    """Lets other jobs use the room that was reserved for a job; a no-op if there is none."""
    reservation = context.reservations.by_job.pop(job_id, None)
    if reservation is not None:
        context.reservations.retry_by_service.pop(reservation.service, None)
        fields = {"job_id": job_id, "held_ms": now_ms - reservation.made_ms}
        context.log("executors_released", fields)


def _find_starved(context: Context, now_ms: int) -> list[_Starved]:
    """Returns the jobs that have waited too long with no run, the longest wait first.

    Those that wait only for jobs that were accepted earlier are left out.
    """
    table = context.reservations
    jobs = context.tables.open_jobs_by_id.values()
    for job in jobs:
        if job.has_begun:
            table.note_placed(job.record.queue.service, job.accepted_ms)
    starved: list[_Starved] = []
    since_by_job: dict[str, int] = {}
    for job in jobs:
        if job.announced_ms is not None or now_ms - job.accepted_ms < RESERVE_AFTER_MS:
            continue
        step = _find_waiting_step(job)
        if step is None:
            continue
        since_ms = table.since_by_job.get(job.job_id, now_ms if job.has_begun else job.accepted_ms)
        since_by_job[job.job_id] = since_ms
        is_passed = job.accepted_ms < table.newest_placed_by_service.get(
            job.record.queue.service, 0
        )
        if is_passed and now_ms - since_ms >= RESERVE_AFTER_MS:
            starved.append(_Starved(since_ms, job, step))
    table.since_by_job = since_by_job
    starved.sort(key=lambda item: (item.since_ms, item.job.job_id))
    return starved


def _find_waiting_step(job: Job) -> Step | None:
    """Returns the first step to place of a job without runs, None if it has some or none is ready.

    Steps under which executors were lost are left out: trials decide where they run.
    """
    open_steps = [step for step in job.steps if not step.is_done]
    for step in open_steps:
        if any(task.run is not None for task in step.tasks):
            return None
    for step in open_steps:
        if not job.is_step_ready(step) or step.gang_losses is not None:
            continue
        if not any(task.crash_record for task in step.tasks):
            return step
    return None


def _renew_reservations(
    context: Context, usable: UsableExecutors, starved: dict[str, _Starved], now_ms: int
) -> None:
    """Releases reservations that are of no use, and replaces room that is gone.

    One of them also takes room that is free now for room that isn't; each has its turn.
    """
    table = context.reservations
    order = list(table.by_job)
    turn = order.index(table.improved_job) + 1 if table.improved_job in table.by_job else 0
    table.improved_job = order[turn % len(order)] if order else ""
    for job_id in order:
        item = starved.get(job_id)
        if item is None or not _renew(context, usable, item, now_ms):
            release_reservation(context, job_id, now_ms)


def _renew(context: Context, usable: UsableExecutors, item: _Starved, now_ms: int) -> bool:
    """Replaces the room of a reservation as needed; returns whether there is enough."""
    table = context.reservations
    reservation = table.by_job[item.job.job_id]
    if reservation.step_index != item.step.index or not _is_admitted(context, item):
        return False
    executors = _usable_executors(usable, item.service)
    usable_ids = {executor.executor_id for executor in executors}
    is_whole = all(key in usable_ids for key in reservation.count_by_executor)
    if is_whole and table.improved_job != item.job.job_id:
        return True
    choice = _choose(context, item, executors, now_ms)
    if choice is None:
        return False
    reservation.count_by_executor = choice.count_by_executor
    return True


def _make_reservations(
    context: Context, usable: UsableExecutors, starved: Iterable[_Starved], now_ms: int
) -> None:
    """Makes reservations, the longest wait first.

    A job for which there is not enough room beside other reservations keeps later ones from getting
    any in its service, for `FULL_RETRY_MS` or until one is released.
    """
    table = context.reservations
    holders = {(each.service, each.workspace) for each in table.by_job.values()}
    compared = 0
    for item in starved:
        holder = (item.service, item.job.record.workspace)
        if holder in holders or now_ms < table.retry_by_service.get(item.service, 0):
            continue
        if now_ms < table.retry_by_job.get(item.job.job_id, 0) or not _is_admitted(context, item):
            continue
        if compared >= MAX_COMPARED:
            return
        executors = _usable_executors(usable, item.service)
        compared += len(executors)
        choice = _choose(context, item, executors, now_ms)
        if choice is not None and _is_within_share(context, item, executors, choice):
            holders.add(holder)
            _reserve(context, item, choice, now_ms)
        elif choice is not None or fits_when_empty(item.step.spec, item.needed, executors):
            table.retry_by_service[item.service] = now_ms + FULL_RETRY_MS
        else:
            table.retry_by_job[item.job.job_id] = now_ms + RETRY_MS


def _is_admitted(context: Context, item: _Starved) -> bool:
    workspace = item.job.record.workspace
    return count_admitted(context, workspace, item.step.spec.shape) >= item.needed


def _usable_executors(usable: UsableExecutors, service: str) -> list[Executor]:
    return usable.by_service.get(service, []) + usable.slow_by_service.get(service, [])


def _choose(
    context: Context, item: _Starved, executors: list[Executor], now_ms: int
) -> Choice | None:
    job_id = item.job.job_id
    reservation = context.reservations.by_job.get(job_id)
    held = {} if reservation is None else reservation.count_by_executor
    held_by_others = context.reservations.held_by_executor(item.service, job_id)
    demand = Demand(item.step.spec, item.needed, held)
    return choose_executors(context.tables, demand, executors, held_by_others, now_ms)


def _is_within_share(
    context: Context, item: _Starved, executors: list[Executor], choice: Choice
) -> bool:
    """Whether a further reservation leaves enough executors without any; the first one may."""
    reserved_ids = set(context.reservations.held_by_executor(item.service))
    if not reserved_ids:
        return True
    reserved_ids.update(choice.count_by_executor)
    return len(reserved_ids) <= MAX_RESERVED_SHARE * len(executors)


def _reserve(context: Context, item: _Starved, choice: Choice, now_ms: int) -> None:
    table = context.reservations
    job_id = item.job.job_id
    table.by_job[job_id] = Reservation(
        item.service,
        item.job.record.workspace,
        item.step.index,
        item.step.spec.shape,
        table.first_made_by_job.setdefault(job_id, now_ms),
        choice.count_by_executor,
    )
    context.log(
        "executors_reserved",
        {
            "job_id": job_id,
            "step": item.step.index,
            "tasks": item.needed,
            "waited_ms": now_ms - item.since_ms,
            "executors": len(choice.count_by_executor),
            "fits_in_ms": choice.fit_ms - now_ms,
            "priority": item.job.record.queue.priority,
        },
    )
