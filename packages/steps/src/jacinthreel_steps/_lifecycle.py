"""How runs end, what that means for their tasks and jobs, and how runs are stopped.

A run leaves the tables only when it can hold no room any more: its end was listed, its executor
started a new life or its lease has lapsed, the order to start it was refused, or a stop was
confirmed.  The next run of the task is placed after that, so that no task runs twice at once.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context, StopOrder, run_name
from jacinthreel_steps._executor_health import note_done, note_failure
from jacinthreel_steps._executor_speed import note_end
from jacinthreel_steps._model import EndReason, JobState
from jacinthreel_steps._order import objective_ms
from jacinthreel_steps._tables import Job, Run, RunState, Step, Task


def begin_run(context: Context, task: Task, run: Run) -> None:
    """Gives a task its run and the run its room."""
    task.run = run
    task.run_number = run.run_id.number
    context.tables.executors_by_id[run.executor_id].add_run(run)


def release_run(context: Context, task: Task, run: Run) -> None:
    """Gives the room of a run back; the task may be placed again."""
    executor = context.tables.executors_by_id.get(run.executor_id)
    if executor is not None:
        executor.remove_run(run)
    if task.run is run:
        task.run = None


def end_run(context: Context, run: Run, reason: EndReason, checkpoint: str, now_ms: int) -> None:
    """Takes note that a run has ended."""
    task = context.tables.task(run.run_id.task)
    if task is None:
        return
    job = context.tables.jobs_by_id[run.run_id.task.job_id]
    step = job.steps[run.run_id.task.step_index]
    release_run(context, task, run)
    context.log(
        "run_ended",
        {
            "job_id": job.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
            "reason": reason.name.lower(),
            "ran_ms": now_ms - run.placed_ms,
        },
    )
    _keep_checkpoint(step, task, checkpoint or run.checkpoint)
    match reason:
        case EndReason.DONE:
            mark_done(context, job, step, task, now_ms)
            executor = context.tables.executors_by_id.get(run.executor_id)
            note_done(executor, run)
            note_end(context, executor, run, now_ms)
        case EndReason.FAILED:
            executor = context.tables.executors_by_id.get(run.executor_id)
            note_failure(executor, now_ms, context.log)
            task.failed_on = run.executor_id
            _count_failure(context, job, step, task, run, now_ms)
        case _:
            pass
    if step.spec.is_gang and reason is not EndReason.DONE:
        stop_gang(context, step, run.run_id.number, now_ms)
    context.tables.touch(job)


def mark_done(context: Context, job: Job, step: Step, task: Task, now_ms: int) -> None:
    """Marks a task done, or all tasks of a gang, and the job with its last task."""
    for done in step.tasks if step.spec.is_gang else [task]:
        done.is_done = True
        done.checkpoint = ""
    if not job.state.is_final and all(other.is_done for other in job.steps):
        finish_job(context, job, JobState.COMPLETED, now_ms)


def finish_job(context: Context, job: Job, state: JobState, now_ms: int) -> None:
    """Gives a job its final state and stops what still runs for it."""
    job.state = state
    job.ended_ms = now_ms
    context.tables.open_jobs_by_id.pop(job.job_id, None)
    context.log(
        "job_ended",
        {
            "job_id": job.job_id,
            "state": state.name.lower(),
            "queue": job.record.queue.name,
            "workspace": job.record.workspace,
            "age_ms": now_ms - job.accepted_ms,
            "objective_ms": round(objective_ms(job.record.spec, job.record.queue)),
        },
    )
    for step in job.steps:
        for task in step.tasks:
            if task.run is not None and not task.is_done:
                stop_run(context, task.run, now_ms)
    context.tables.touch(job)


def stop_gang(context: Context, step: Step, run_number: int, now_ms: int) -> None:
    """Stops the runs of a gang that can't go on, because one of its runs has ended."""
    if step.is_done:
        return
    for task in step.tasks:
        if task.run is not None and task.run.run_id.number == run_number:
            stop_run(context, task.run, now_ms)


def stop_run(context: Context, run: Run, now_ms: int) -> None:
    """Ends a run: at once if no order was sent, else by an order to its executor."""
    task = context.tables.task(run.run_id.task)
    if task is None:
        return
    match run.state:
        case RunState.CLAIMED | RunState.PLACED:
            release_run(context, task, run)
            context.tables.touch(context.tables.jobs_by_id[run.run_id.task.job_id])
        case RunState.STARTING | RunState.RUNNING:
            run.state = RunState.STOPPING
            run.stopping_since_ms = now_ms
            send_stop(context, run, now_ms)
        case RunState.STOPPING:
            pass


def send_stop(context: Context, run: Run, now_ms: int) -> None:
    """Orders the executor to end a run."""
    run.stop_sent_ms = now_ms
    context.orders.stops.append(StopOrder(run.executor_id, run.incarnation, run.run_id))


def _keep_checkpoint(step: Step, task: Task, checkpoint: str) -> None:
    """A checkpoint of one member serves the whole gang."""
    if not checkpoint or not step.spec.saves_progress:
        return
    for kept in step.tasks if step.spec.is_gang else [task]:
        kept.checkpoint = checkpoint


def _count_failure(
    context: Context, job: Job, step: Step, task: Task, run: Run, now_ms: int
) -> None:
    if step.spec.is_gang:
        if step.counted_failure_run >= run.run_id.number:
            return
        step.counted_failure_run = run.run_id.number
    for failed in step.tasks if step.spec.is_gang else [task]:
        failed.failures += 1
    if not job.state.is_final and task.failures >= job.record.queue.max_attempts:
        finish_job(context, job, JobState.FAILED, now_ms)
