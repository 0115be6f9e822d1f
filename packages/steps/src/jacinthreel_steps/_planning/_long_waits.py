"""Logs each job that has waited long, with how often it was passed and the room that is there.

A job waits while it is accepted, a step of it is ready, and none of its runs is placed or at work.
The wait of a job that has not begun counts from when it was accepted, that of another one from when
a check has first found it to wait.  A line follows as each of `LINE_AFTER_MS` is reached, and one
more when a job with such a line is placed or ends.

Targets a full cluster: the lines tell jobs that are passed by others of their queue from those that
reserved or excluded executors, a rack, a quota or passes that end early keep out.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._planning._job_order import job_sort_key
from jacinthreel_steps._planning._pass_state import PassState, Reach
from jacinthreel_steps._planning._passed_jobs import LongWait
from jacinthreel_steps._planning._service_use import ServiceUse, find_use_by_service
from jacinthreel_steps._tables import Job, RunState, Step, Task

LINE_AFTER_MS: Final = (5_000, 10_000, 20_000, 40_000, 80_000)
CHECK_PERIOD_MS: Final = 1_000
MAX_LOGGED_JOBS: Final = 20  # For each check; others are logged by the next ones.


def log_long_waits(state: PassState) -> None:
    """Logs the jobs whose wait has reached a limit, at the end of a pass; if a check is due."""
    context, now_ms = state.context, state.now_ms
    passed_jobs = context.passed_jobs
    if now_ms - passed_jobs.checked_ms < CHECK_PERIOD_MS:
        return
    passed_jobs.checked_ms = now_ms
    oldest_by_queue: dict[str, int] = {}
    overdue: list[tuple[Job, Step, LongWait]] = []
    waits: dict[str, LongWait] = {}
    for job in context.tables.open_jobs_by_id.values():
        if job.announced_ms is not None:
            continue
        step = _find_waiting_step(job)
        if step is not None or not job.has_begun:
            queue = job.queue.name
            oldest = oldest_by_queue.get(queue, job.accepted_ms)
            oldest_by_queue[queue] = min(oldest, job.accepted_ms)
        if step is None:
            continue
        wait = passed_jobs.wait_by_job.get(job.job_id)
        if wait is None:
            wait = LongWait(job.accepted_ms)
            if job.has_begun:
                wait = LongWait(now_ms, passed_jobs.count_passes(job))
        waits[job.job_id] = wait
        if bisect_right(LINE_AFTER_MS, now_ms - wait.since_ms) > wait.logged_lines:
            overdue.append((job, step, wait))
    _remove_ended_waits(state, waits)
    passed_jobs.wait_by_job = waits
    passed_jobs.forget_placements(oldest_by_queue)
    if not overdue:
        return
    use_by_service = find_use_by_service(context.tables)
    percent_by_service = {service: use.percent_used() for service, use in use_by_service.items()}
    for job, step, wait in overdue[:MAX_LOGGED_JOBS]:
        wait.logged_lines = bisect_right(LINE_AFTER_MS, now_ms - wait.since_ms)
        service = job.queue.service
        use = use_by_service.get(service, ServiceUse())
        percent = percent_by_service.get(service, NO_RESOURCES)
        _log_wait(state, job, step, wait, use, percent)


def _remove_ended_waits(state: PassState, waits: dict[str, LongWait]) -> None:
    """Ends the waits that are not in `waits` any more and did not end by a placement."""
    context = state.context
    for job_id in list(context.passed_jobs.wait_by_job):
        if job_id in waits:
            continue
        job = context.tables.jobs_by_id.get(job_id)
        if job is not None:
            ended_by = "job ended" if job.state.is_final else "no task to place"
            context.passed_jobs.end_wait(job, ended_by, context.log, state.now_ms)


def _find_waiting_step(job: Job) -> Step | None:
    """Returns a ready step with tasks to place if no run of the job is placed or at work."""
    waiting: Step | None = None
    for step in job.steps:
        if step.is_done:
            continue
        if job.was_placed and _has_active_run(step):
            return None
        if waiting is None and job.is_step_ready(step):
            waiting = step
    return waiting


def _has_active_run(step: Step) -> bool:
    for task in step.tasks:
        if task.run is None:
            continue
        if task.run.state not in (RunState.CLAIMED, RunState.STOPPING):
            return True
    return False


def _log_wait(
    state: PassState, job: Job, step: Step, wait: LongWait, use: ServiceUse, percent: Resources
) -> None:
    context, spec, queue = state.context, step.spec, job.queue
    is_useless, _, is_late, *_ = job_sort_key(job, state.now_ms)
    free = state.slots_for(job).free.slots(spec.required_label, spec.shape)
    usable = state.slots_within(queue.service, Reach.USABLE)
    excluded = state.excluded_slots(queue.service)
    fields = {
        "job_id": job.job_id,
        "queue": queue.name,
        "priority": queue.priority,
        "workspace": job.record.workspace,
        "step": step.index,
        "tasks": len(step.tasks),
        "gang": spec.is_gang,
        "one_rack": spec.wants_one_rack,
        "accelerators": spec.shape.accelerators,
        "cpu_milli": spec.shape.cpu_milli,
        "memory_mb": spec.shape.memory_mb,
        "waited_ms": state.now_ms - wait.since_ms,
        "has_begun": job.has_begun,
        "late": is_late,
        "useless": is_useless,
        "passed_by": context.passed_jobs.count_passes(job) - wait.passed_before,
        "held_by": context.waiting_jobs.hold_of(job) or "",
        "claimed_tasks": sum(_is_claimed(task) for task in step.tasks),
        "free_slots": free.total,
        "free_slots_of_widest_rack": free.widest_rack,
        "reserved_slots": usable.free.slots(spec.required_label, spec.shape).total - free.total,
        "excluded_slots": excluded.slots(spec.required_label, spec.shape).total,
        "slots_if_empty": use.count_slots_if_empty(spec),
        "used_accelerators_percent": percent.accelerators,
        "used_cores_percent": percent.cpu_milli,
        "used_memory_percent": percent.memory_mb,
    }
    context.log("job_waits", fields)


def _is_claimed(task: Task) -> bool:
    return task.run is not None and task.run.state is RunState.CLAIMED
