"""Transitions of runs, tasks and jobs: ending and stopping runs, finishing jobs.

A run is removed from the tables only when it can't use capacity any more: its end was reported, its
executor restarted, its lease expired, its start order was refused, or a stop was confirmed.  The
task's next run is placed only after that, so that no task runs twice at the same time.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context, StopOrder, run_name
from jacinthreel_steps._executors._crash_evidence import (
    has_starts_left,
    is_crashing,
    record_crash,
    refund_start,
)
from jacinthreel_steps._executors._executor_health import record_failure, record_success
from jacinthreel_steps._executors._executor_speed import observe_completed_run
from jacinthreel_steps._executors._run_times import observe_run_time
from jacinthreel_steps._model import EndReason, JobState, StopCause, StopReason
from jacinthreel_steps._runs._run_log import log_run_end
from jacinthreel_steps._tables import Job, Run, RunState, Step, Task


def attach_run(context: Context, task: Task, run: Run) -> None:
    """Makes `run` the task's current run and allocates its capacity on the executor."""
    task.run = run
    task.run_number = run.run_id.number
    count_attached_run(context, run)
    context.tables.executors_by_id[run.executor_id].add_run(run)


def count_attached_run(context: Context, run: Run) -> None:
    """Counts a run that was attached to its task in the usage of its workspace."""
    workspace = context.tables.jobs_by_id[run.run_id.task.job_id].record.workspace
    context.usage.add(workspace, run.shape, run.state is RunState.CLAIMED)


def release_run(context: Context, task: Task, run: Run) -> None:
    """Releases a run's capacity and detaches it from its task, which may then be placed again."""
    executor = context.tables.executors_by_id.get(run.executor_id)
    if executor is not None:
        executor.remove_run(run)
    if task.run is run:
        if run.state in (RunState.CLAIMED, RunState.PLACED):
            refund_start(task)
        task.run = None
        workspace = context.tables.jobs_by_id[run.run_id.task.job_id].record.workspace
        context.usage.remove(workspace, run.shape, run.state is RunState.CLAIMED)
        run.state = RunState.ENDED


def end_run(
    context: Context,
    run: Run,
    reason: EndReason,
    checkpoint: str,
    now_ms: int,
    is_executor_lost: bool | None = None,
) -> None:
    """Applies the end of a run to its task, job and executor.

    `is_executor_lost` tells whether the executor was lost; None if the caller can't tell.
    """
    task = context.tables.task(run.run_id.task)
    if task is None:
        return
    job = context.tables.jobs_by_id[run.run_id.task.job_id]
    step = job.steps[run.run_id.task.step_index]
    if is_executor_lost is None:
        is_executor_lost = has_restarted(context, run)
    has_lost_executor = is_executor_lost and has_started(run)
    release_run(context, task, run)
    log_run_end(context, step, run, reason, checkpoint, has_lost_executor, now_ms)
    _record_checkpoint(step, task, checkpoint or run.checkpoint)
    match reason:
        case EndReason.DONE:
            if not task.is_done:
                observe_run_time(context, job, step, run, now_ms)
            mark_task_done(context, job, step, task, now_ms)
            executor = context.tables.executors_by_id.get(run.executor_id)
            record_success(executor, run)
            observe_completed_run(context, executor, run, now_ms)
        case EndReason.FAILED:
            executor = context.tables.executors_by_id.get(run.executor_id)
            record_failure(executor, now_ms, context.log)
            task.last_failed_executor_id = run.executor_id
            _count_failure(context, job, step, task, run, now_ms)
        case _:
            if has_lost_executor and not job.state.is_final:
                record_crash(context, job, step, task, run, now_ms)
    _fail_job_if_crashing(context, job, task, run, has_lost_executor, now_ms)
    if step.spec.is_gang and reason is not EndReason.DONE:
        ended = StopReason(StopCause.GANG_ENDED, f"{run_name(run.run_id)} {reason.name.lower()}")
        stop_gang(context, step, run.run_id.number, ended, now_ms)
    context.tables.bump_revision(job)


def _fail_job_if_crashing(
    context: Context, job: Job, task: Task, run: Run, has_lost_executor: bool, now_ms: int
) -> None:
    """Fails the job if a task crashes executors, or has no starts left after losing several."""
    record = task.crash_record
    if record is None or job.state.is_final or task.is_done:
        return
    if has_starts_left(task) and not (has_lost_executor and is_crashing(task)):
        return
    context.log(
        "job_given_up",
        {
            "job_id": job.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
            "crashes": record.crashes,
            "unexplained": record.unexplained,
            "solo": record.solo,
            "lost_under_step": len(job.steps[task.task_id.step_index].lost_addresses()),
            "isolation": run.isolation.name.lower(),
        },
    )
    finish_job(context, job, JobState.FAILED, now_ms)


def has_started(run: Run) -> bool:
    """Whether the run has started on its executor, or may have."""
    if run.state in (RunState.CLAIMED, RunState.PLACED):
        return False
    return run.start_confirmed_ms is not None or run.has_unanswered_start or run.is_recovered


def has_restarted(context: Context, run: Run) -> bool:
    """Whether the executor's incarnation that was to execute the run has ended."""
    executor = context.tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return True
    reported = run.reported_incarnation
    return executor.life.incarnation != (run.incarnation if reported is None else reported)


def mark_task_done(context: Context, job: Job, step: Step, task: Task, now_ms: int) -> None:
    """Marks a task, or all tasks of its gang, done; completes the job if all its steps are done."""
    if task.is_done:
        return
    job.mark_done(step, task)
    if not job.state.is_final and job.is_done:
        finish_job(context, job, JobState.COMPLETED, now_ms)


def finish_job(context: Context, job: Job, state: JobState, now_ms: int) -> None:
    """Sets a job's final state and stops its runs."""
    job.final_state = state
    job.ended_ms = now_ms
    context.tables.open_jobs_by_id.pop(job.job_id, None)
    context.log(
        "job_ended",
        {
            "job_id": job.job_id,
            "state": state.name.lower(),
            "queue": job.queue.name,
            "workspace": job.record.workspace,
            "age_ms": now_ms - job.accepted_ms,
            "objective_ms": round(job.objective_ms),
            "chain_ms": round(job.chain_ms),
        },
    )
    reason = StopReason(StopCause.JOB_ENDED, state.name.lower())
    for step in job.steps:
        for task in step.tasks:
            if task.run is not None and not task.is_done:
                stop_run(context, task.run, reason, now_ms)
    context.tables.bump_revision(job)


def stop_gang(
    context: Context, step: Step, run_number: int, reason: StopReason, now_ms: int
) -> None:
    """Stops all runs of a gang that have this run number; a no-op if the step is done.

    A gang can't continue once one of its runs has ended.  Later ends of the same gang find all of
    its runs stopped, so they don't go through its members again.
    """
    if step.is_done or run_number <= step.stopped_run:
        return
    step.stopped_run = run_number
    for task in step.tasks:
        if task.run is not None and task.run.run_id.number == run_number:
            stop_run(context, task.run, reason, now_ms)


def stop_run(context: Context, run: Run, reason: StopReason, now_ms: int) -> None:
    """Stops a run: ends it at once if its start was not ordered yet, else orders its executor to.

    A no-op if the run is already stopping or has ended.
    """
    task = context.tables.task(run.run_id.task)
    if task is None:
        return
    match run.state:
        case RunState.CLAIMED | RunState.PLACED:
            release_run(context, task, run)
            context.tables.bump_revision(context.tables.jobs_by_id[run.run_id.task.job_id])
        case RunState.STARTING | RunState.RUNNING:
            run.state = RunState.STOPPING
            run.stop_reason = reason
            run.stopping_since_ms = now_ms
            send_stop(context, run, now_ms)
        case RunState.STOPPING | RunState.ENDED:
            pass


def send_stop(context: Context, run: Run, now_ms: int) -> None:
    """Queues an order to the executor to stop a run."""
    run.stop_sent_ms = now_ms
    context.orders.stops.append(StopOrder(run.executor_id, run.incarnation, run.run_id))


def _record_checkpoint(step: Step, task: Task, checkpoint: str) -> None:
    """Records a checkpoint for the task; one of a gang member applies to the whole gang."""
    if not checkpoint or not step.spec.saves_progress:
        return
    if step.spec.is_gang:
        step.checkpoint = checkpoint
    else:
        task.checkpoint = checkpoint


def _count_failure(
    context: Context, job: Job, step: Step, task: Task, run: Run, now_ms: int
) -> None:
    """Counts a failed run, once per run number of a gang; fails the job after the last attempt."""
    if step.spec.is_gang:
        if step.counted_failure_run >= run.run_id.number:
            return
        step.counted_failure_run = run.run_id.number
    for failed_task in step.tasks_ending_with(task):
        failed_task.failures += 1
    if not job.state.is_final and task.failures >= job.queue.max_attempts:
        finish_job(context, job, JobState.FAILED, now_ms)
