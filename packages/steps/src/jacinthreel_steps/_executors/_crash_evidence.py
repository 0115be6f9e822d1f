"""Finds the tasks that crash the executors that start them, and clears those that don't.

A lost executor says little about the tasks that ran there: it may have crashed by itself, in an
outage with others, or because of any one of them.  Evidence against a task is therefore counted
only outside outages and once for each address, and a task that has lost `SUSPECT_LOSSES`
executors is tried on an executor of its own (`_trials`).  If that is lost too, the task is taken to
crash its executors, and its job fails.  A task with a run that lasts much longer than those that
lost their executor is cleared.

The members of a gang run and end together.  What was lost under any of them makes the whole gang
suspect, and they are cleared together; but each is given up only for executors that it lost itself.

Whatever the evidence, a task is started at most `STARTS_AFTER_LIMIT` times more once it has lost
`CRASH_LIMIT` executors: each start of a crashing task takes down an executor with all runs on it.

Targets jobs that crash executor after executor, in clusters that also lose executors for other
reasons, one by one or many at once.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._executor_losses import SILENT_AFTER_MS
from jacinthreel_steps._tables import (
    CrashRecord,
    GangLosses,
    Isolation,
    Job,
    Run,
    RunState,
    Step,
    Task,
)

SUSPECT_LOSSES: Final = 2
CRASHING_LOSSES: Final = ((3, 3), (4, 2))  # How many in all, and how many of these solo.
CRASH_LIMIT: Final = 3
STARTS_AFTER_LIMIT: Final = 2
CLEARED_AGE_FACTOR: Final = 2  # An executor may be this much slower than the one that was lost.
CLEARED_AGE_MS: Final = 600_000
MAX_ISOLATION_MS: Final = 60_000


def record_crash(context: Context, job: Job, step: Step, task: Task, run: Run, now_ms: int) -> None:
    """Records that the executor of a run was lost while the run was, or may have been, there."""
    record = task.crash_record
    if record is None:
        record = task.crash_record = CrashRecord()
    context.tables.crashed_task_ids[task.task_id] = None
    loss = context.executor_losses.last_loss(run.executor_id)
    lost_ms = loss.lost_ms if loss is not None else now_ms
    record.crashes += 1
    record.crashed_ms = now_ms
    lasted_ms = max(0, lost_ms - run.placed_ms) + SILENT_AFTER_MS
    record.longest_ms = max(record.longest_ms, lasted_ms)
    if record.crashes == CRASH_LIMIT:
        record.last_run = run.run_id.number + STARTS_AFTER_LIMIT
    is_outage = context.executor_losses.is_outage(
        context.tables, run.executor_id, job.job_id, now_ms
    )
    address = loss.address if loss is not None and not is_outage else None
    if loss is not None and address is not None and address not in record.addresses:
        record.addresses.append(address)
        record.solo += loss.is_solo
    if step.spec.is_gang:
        _record_gang_loss(context, step, run, address)


def _record_gang_loss(context: Context, step: Step, run: Run, address: str | None) -> None:
    """Records a loss under a gang; `address` is None if it is no evidence against its tasks."""
    if step.gang_losses is None:
        step.gang_losses = GangLosses()
    losses = step.gang_losses
    context.tables.crashed_gangs.add((run.run_id.task.job_id, run.run_id.task.step_index))
    if address is None or losses.counted_run >= run.run_id.number:
        return
    losses.counted_run = run.run_id.number
    if address not in losses.addresses:
        losses.addresses.append(address)


def is_suspect(step: Step, task: Task) -> bool:
    """Whether the task is to be tried on an executor of its own."""
    if step.gang_losses is not None and len(step.gang_losses.addresses) >= SUSPECT_LOSSES:
        return True
    record = task.crash_record
    if record is None:
        return False
    return record.unexplained >= SUSPECT_LOSSES or record.crashes >= CRASH_LIMIT


def has_suspects(step: Step) -> bool:
    """Whether a task of the step that is not done is to be tried on an executor of its own."""
    if step.gang_losses is None and not any(task.crash_record for task in step.tasks):
        return False
    return any(is_suspect(step, task) for task in step.tasks if not task.is_done)


def is_crashing(task: Task) -> bool:
    """Whether the losses of executors show that the task crashes them.

    Only executors that were lost under this very task count, and some of them must have run nothing
    else: of a wide step or gang that runs on many executors, some tasks lose several by chance.
    """
    record = task.crash_record
    if record is None:
        return False
    return any(
        record.unexplained >= losses and record.solo >= solo for losses, solo in CRASHING_LOSSES
    )


def has_limited_starts(task: Task) -> bool:
    """Whether the number of further starts is limited."""
    return task.crash_record is not None and task.crash_record.last_run > 0


def has_starts_left(task: Task) -> bool:
    """Whether the task may be started again."""
    record = task.crash_record
    return record is None or not record.last_run or task.run_number < record.last_run


def refund_start(task: Task) -> None:
    """Allows one more run, in place of one that has certainly not started."""
    record = task.crash_record
    if record is not None and record.last_run:
        record.last_run += 1


def clear_survivors(context: Context) -> None:
    """Clears the tasks that have outlived the loss of their executors, and ends long isolations."""
    tables = context.tables
    for task_id in list(tables.crashed_task_ids):
        task = tables.task(task_id)
        job = tables.open_jobs_by_id.get(task_id.job_id)
        if task is None or job is None or task.is_done or task.crash_record is None:
            del tables.crashed_task_ids[task_id]
            continue
        step = job.steps[task_id.step_index]
        if step.spec.is_gang:
            continue
        age_ms = _proven_age_ms(context, task)
        _end_long_isolation([task], age_ms)
        if age_ms >= _clearing_age_ms(task.crash_record.longest_ms):
            _clear(context, job, step, task, age_ms)
    for job_id, step_index in list(tables.crashed_gangs):
        job = tables.open_jobs_by_id.get(job_id)
        if job is None or job.steps[step_index].is_done:
            tables.crashed_gangs.discard((job_id, step_index))
            continue
        _clear_gang(context, job, job.steps[step_index])


def _clear_gang(context: Context, job: Job, step: Step) -> None:
    """Clears a gang as a whole, once all of its members have outlived the losses under it."""
    crashed = [task for task in step.tasks if task.crash_record is not None]
    records = [task.crash_record for task in crashed if task.crash_record is not None]
    age_ms = min(_proven_age_ms(context, member) for member in step.tasks)
    _end_long_isolation(step.tasks, age_ms)
    longest_ms = max((record.longest_ms for record in records), default=SILENT_AFTER_MS)
    if age_ms < _clearing_age_ms(longest_ms):
        return
    for task in crashed:
        _clear(context, job, step, task, age_ms)
    for task in step.tasks:
        if task.run is not None:
            task.run.isolation = Isolation.NONE
    step.gang_losses = None
    context.tables.crashed_gangs.discard((job.job_id, step.index))


def _end_long_isolation(tasks: list[Task], age_ms: int) -> None:
    if age_ms < MAX_ISOLATION_MS:
        return
    for task in tasks:
        if task.run is not None:
            task.run.isolation = Isolation.NONE


def _clearing_age_ms(longest_ms: int) -> int:
    """Returns the age at which a run has certainly outlived what lost its task an executor."""
    return min(CLEARED_AGE_MS, CLEARED_AGE_FACTOR * longest_ms)


def _proven_age_ms(context: Context, task: Task) -> int:
    """Returns how long the task's run has certainly run, 0 if it is not running."""
    run = task.run
    if run is None or run.state is not RunState.RUNNING or run.start_confirmed_ms is None:
        return 0
    executor = context.tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return 0
    return max(0, executor.last_report_ms - run.start_confirmed_ms)


def _clear(context: Context, job: Job, step: Step, task: Task, age_ms: int) -> None:
    record, run = task.crash_record, task.run
    assert record is not None
    assert run is not None
    context.log(
        "task_cleared",
        {
            "job_id": job.job_id,
            "step": task.task_id.step_index,
            "task": task.task_id.task_index,
            "executor": run.executor_id,
            "crashes": record.crashes,
            "unexplained": record.unexplained,
            "age_ms": age_ms,
        },
    )
    task.crash_record = None
    run.isolation = Isolation.NONE
    step.has_survivor = True
    del context.tables.crashed_task_ids[task.task_id]
    context.tables.bump_revision(job)
