"""The stored progress of a job.

A row holds, for each task, the number of its newest run, the executor of its current run, its
failures, whether it is done, its checkpoint, and its crash record if it has one.  Each executor is
stored once per row and referred to by position.  Rows of thousands of tasks are compressed.  A row
is sufficient for a takeover: executors report the rest of what a new owner needs.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from jacinthreel_common import MALFORMED_INPUT, MAX_ROW_BYTES, compress_row, expand_row
from jacinthreel_steps._job_rules import are_terms_usable
from jacinthreel_steps._model import JobState, QueueTerms, RunId
from jacinthreel_steps._queue_terms import restore_terms
from jacinthreel_steps._tables import CrashRecord, GangLosses, Job, Run, RunState, Step, Task

NOT_PLACED = -1

Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]  # Larger ones could not be stored again.


class TaskRow(msgspec.Struct, array_like=True, frozen=True):
    """A task; `executor` is an index into the row's `executors`, or `NOT_PLACED`."""

    run_number: Number
    executor: int
    failures: Number
    is_done: bool
    checkpoint: str


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """The crash record of the task with index `task`.

    In rows of earlier versions, `addresses` are those of all members of a gang, and `counted_run`
    is the newest run that was considered for them; it is unused since.
    """

    task: int
    crashes: Number
    addresses: list[str]
    counted_run: Number
    longest_ms: Number
    last_run: Number
    solo: Number = 0


class GangLossesRow(msgspec.Struct, array_like=True, frozen=True):
    """The executors that were lost under a gang."""

    addresses: list[str]
    counted_run: Number


class StepRow(msgspec.Struct, array_like=True, frozen=True):
    """A step's tasks, in order, and the newest run number whose failure was counted.

    Rows of earlier versions have no `crashes` or no `gang_losses`.
    """

    counted_failure_run: Number
    tasks: list[TaskRow]
    crashes: list[CrashRow] = []
    gang_losses: GangLossesRow | None = None


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """The terms of a job's queue, and the version of the configuration that they are from."""

    policy_version: Number
    terms: QueueTerms


class ProgressRow(msgspec.Struct, array_like=True, frozen=True):
    """The progress of a job.

    `write_id` is unique to each write; `executors` holds pairs of executor id and incarnation, and
    `leaving` the indexes of those that have announced their shutdown, so that a next owner doesn't
    take them for lost.  `has_begun` tells whether a task has started.  Rows of earlier versions
    have no `leaving` or no `has_begun`; their `state` is `RUNNING` once tasks were placed.
    `queue` is None if the terms in force are those of the acceptance, and in such rows.
    """

    write_id: str
    state: int
    executors: list[tuple[str, Number]]
    steps: list[StepRow]
    leaving: list[Number] | None = None
    has_begun: bool | None = None
    queue: QueueRow | None = None

    def is_leaving(self, executor: int) -> bool:
        """Whether the executor at an index may have left as announced."""
        return self.leaving is None or executor in self.leaving

    def shows_start(self) -> bool:
        """Whether a task has certainly started.

        A run number, an executor or a crash record is no proof: these are stored for runs that are
        placed, and for runs that may have started.
        """
        if self.has_begun is not None:
            return self.has_begun
        tasks = [task for step in self.steps for task in step.tasks]
        return any(task.is_done or task.failures or task.checkpoint for task in tasks)


_decoder = msgspec.msgpack.Decoder(ProgressRow)
_encoder = msgspec.msgpack.Encoder()


def encode_progress(job: Job, write_id: str) -> bytes:
    """Encodes the progress of a job as a row.

    Leaves out the checkpoints if the row would be too large with them: a task whose run is lost
    together with the owner then begins anew.
    """
    value = compress_row(_encode(job, write_id, keeps_checkpoints=True))
    if len(value) <= MAX_ROW_BYTES:
        return value
    return compress_row(_encode(job, write_id, keeps_checkpoints=False))


def _encode(job: Job, write_id: str, keeps_checkpoints: bool) -> bytes:
    positions: dict[tuple[str, int], int] = {}
    steps: list[StepRow] = []
    for step in job.steps:
        tasks = [_make_task_row(step, task, positions, keeps_checkpoints) for task in step.tasks]
        steps.append(
            StepRow(
                step.counted_failure_run, tasks, _make_crash_rows(step), _make_gang_losses_row(step)
            )
        )
    leaving = sorted(
        {
            positions[run.executor_id, run.incarnation]
            for run in job.live_runs()
            if run.is_executor_leaving and run.state is not RunState.CLAIMED
        }
    )
    row = ProgressRow(
        write_id,
        int(job.state),
        list(positions),
        steps,
        leaving,
        job.has_begun,
        _make_queue_row(job),
    )
    fields = msgspec.structs.astuple(row)
    return _encoder.encode(fields if row.queue is not None else fields[:-1])


def decode_progress(value: bytes) -> ProgressRow | None:
    """Decodes a row; returns None if it is malformed."""
    try:
        row = _decoder.decode(expand_row(value))
        JobState(row.state)
    except (*MALFORMED_INPUT, ValueError):
        return None
    return row


def progress_write_id(value: bytes) -> str | None:
    """Returns the write id of a stored row, or None if the row is malformed."""
    row = decode_progress(value)
    return row.write_id if row is not None else None


def decode_progress_state(value: bytes) -> JobState | None:
    """Returns the job state in a stored row, or None if the row is malformed."""
    row = decode_progress(value)
    return JobState(row.state) if row is not None else None


def restore_progress(job: Job, row: ProgressRow, now_ms: int) -> bool:
    """Applies stored progress to a new job; returns false if the row doesn't match its steps."""
    if len(row.steps) != len(job.steps):
        return False
    if any(
        len(stored.tasks) != len(step.tasks)
        for stored, step in zip(row.steps, job.steps, strict=True)
    ):
        return False
    if row.queue is not None and are_terms_usable(row.queue.terms):
        restore_terms(job, row.queue.terms, row.queue.policy_version)
    stored_state = JobState(row.state)
    job.has_begun = row.shows_start()
    job.final_state = stored_state if stored_state.is_final else None
    job.visible_state = job.state
    job.ended_ms = now_ms  # The retention time of an ended job starts at the takeover.
    for stored, step in zip(row.steps, job.steps, strict=True):
        step.counted_failure_run = stored.counted_failure_run
        for task_row, task in zip(stored.tasks, step.tasks, strict=True):
            job.was_placed |= task_row.run_number > 0
            _restore_task(step, task, task_row, row, now_ms)
        job.done_steps += step.is_done
        for crash in stored.crashes:
            if 0 <= crash.task < len(step.tasks):
                step.tasks[crash.task].crash_record = _restore_crash_record(crash, now_ms)
        if step.spec.is_gang:
            step.gang_losses = _restore_gang_losses(stored)
    return True


def _make_queue_row(job: Job) -> QueueRow | None:
    if job.queue == job.record.queue:
        return None
    return QueueRow(job.queue_version, job.queue)


def _make_crash_rows(step: Step) -> list[CrashRow]:
    rows: list[CrashRow] = []
    for index, task in enumerate(step.tasks):
        record = task.crash_record
        if record is None or task.is_done:
            continue
        rows.append(
            CrashRow(
                index,
                record.crashes,
                record.addresses,
                0,
                record.longest_ms,
                record.last_run,
                record.solo,
            )
        )
    return rows


def _make_gang_losses_row(step: Step) -> GangLossesRow | None:
    losses = step.gang_losses
    if losses is None or step.is_done:
        return None
    return GangLossesRow(losses.addresses, losses.counted_run)


def _restore_crash_record(row: CrashRow, now_ms: int) -> CrashRecord:
    # An earlier version stored the addresses of the whole gang: no more of them were the task's.
    addresses = row.addresses[: row.crashes]
    return CrashRecord(row.crashes, addresses, row.solo, row.longest_ms, now_ms, row.last_run)


def _restore_gang_losses(row: StepRow) -> GangLosses | None:
    if row.gang_losses is not None:
        return GangLosses(list(row.gang_losses.addresses), row.gang_losses.counted_run)
    if not row.crashes:
        return None
    newest = max(row.crashes, key=lambda crash: crash.counted_run)
    return GangLosses(list(newest.addresses), newest.counted_run)


def _make_task_row(
    step: Step, task: Task, positions: dict[tuple[str, int], int], keeps_checkpoint: bool
) -> TaskRow:
    executor = NOT_PLACED
    run = task.run
    if run is not None and run.state is not RunState.CLAIMED:
        executor_incarnation = (run.executor_id, run.incarnation)
        executor = positions.setdefault(executor_incarnation, len(positions))
    checkpoint = step.checkpoint_of(task) if keeps_checkpoint and not task.is_done else ""
    return TaskRow(task.run_number, executor, task.failures, task.is_done, checkpoint)


def _restore_task(step: Step, task: Task, row: TaskRow, progress: ProgressRow, now_ms: int) -> None:
    task.run_number = row.run_number
    task.failures = row.failures
    if row.is_done:
        step.mark_done(task)
    task.checkpoint = row.checkpoint
    if step.spec.is_gang and row.checkpoint:
        step.checkpoint = row.checkpoint
    if row.executor == NOT_PLACED or not 0 <= row.executor < len(progress.executors):
        return
    executor_id, incarnation = progress.executors[row.executor]
    task.run = Run(
        RunId(task.task_id, row.run_number),
        executor_id,
        incarnation,
        step.spec.shape,
        RunState.STARTING,
        now_ms,
        is_recovered=True,
        is_executor_leaving=progress.is_leaving(row.executor),
        progress_changed_ms=now_ms,
        checkpoint=row.checkpoint,
    )
