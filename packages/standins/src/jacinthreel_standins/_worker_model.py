"""A model of a worker without I/O: tasks under leases, fencing checks and delayed reports.

The actual behaviour of a task is given in its command by `key=value` words: `run` is its work in
seconds, `fail` the work in seconds after which the task fails, `memory` the memory use in gigabytes
and `checkpoint` the duration of a checkpoint in seconds.  The scheduler does not read these words.

Invariants: the resources of all reserved or running tasks never exceed those of the worker; a task
is stopped at the time at which its lease expires.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from jacinthreel_common import (
    ENDED_TASK_STATES,
    RESERVATION_TTL_MS,
    CommandBatch,
    CommandKind,
    CommandReply,
    ResultCode,
    TaskCommand,
    TaskReport,
    TaskState,
)

DEFAULT_RUN_S = 5.0
DEFAULT_CHECKPOINT_S = 1.0
FAULTY_WORKER_FAILS_AFTER_S = 1.0
THROTTLED_SPEED = 0.5
USAGE_REPORT_PERIOD_MS = 5_000

TaskKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """The scripted behaviour of a task; times are in seconds.  `fail_s` is None if it succeeds."""

    run_s: float = DEFAULT_RUN_S
    fail_s: float | None = None
    memory_gb: float = 0.0
    checkpoint_s: float = DEFAULT_CHECKPOINT_S


def parse_behaviour(command: str) -> TaskBehaviour:
    """Parses the words of a task's command; ignores unknown words.

    >>> parse_behaviour("validate run=30 memory=2").run_s
    30.0
    """
    numbers: dict[str, float] = {}
    for word in command.split():
        key, separator, value = word.partition("=")
        if not separator:
            continue
        try:
            numbers[key] = float(value)
        except ValueError:
            continue
    return TaskBehaviour(
        run_s=numbers.get("run", DEFAULT_RUN_S),
        fail_s=numbers.get("fail"),
        memory_gb=numbers.get("memory", 0.0),
        checkpoint_s=numbers.get("checkpoint", DEFAULT_CHECKPOINT_S),
    )


@dataclass(slots=True)
class _Task:
    """A task on the worker.

    `run_s` is the work done up to `run_updated_ms` and `kept_s` the work stored by checkpoints, in
    seconds.  `granted_ms` is when the reservation was granted.  `checkpoint_done_ms` is when the
    requested checkpoint completes, or None if none was requested.
    """

    command: TaskCommand
    behaviour: TaskBehaviour
    state: TaskState
    granted_ms: int
    lease_until_ms: int
    run_updated_ms: int
    shard: str
    run_s: float = 0.0
    kept_s: float = 0.0
    speed: float = 1.0
    checkpoint_done_ms: int | None = None
    code: ResultCode = ResultCode.OK


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A task start that took effect, recorded for test assertions."""

    at_ms: int
    worker_id: str
    job_id: str
    attempt: int
    task_index: int


@dataclass(slots=True)
class WorkerModel:
    """One worker.  `guarded` enables the fencing checks for epochs and reservations.

    `fails_everything` makes every task fail soon after its start.  `starts` records all task
    starts.
    """

    worker_id: str
    accelerators: int
    cores: int
    memory_gb: int
    guarded: bool = True
    fails_everything: bool = False
    version: int = 1
    epochs_by_shard: dict[str, int] = field(default_factory=dict)
    tasks_by_key: dict[TaskKey, _Task] = field(default_factory=dict)
    starts: list[TaskStart] = field(default_factory=list)
    _usage_reported_ms: int = 0

    def handle(self, batch: CommandBatch, now_ms: int) -> CommandReply:
        """Executes a batch of commands and returns the reply."""
        self.advance(now_ms)
        highest_epoch = self.epochs_by_shard.get(batch.shard, 0)
        if self.guarded and batch.epoch < highest_epoch:
            return CommandReply(self.worker_id, ResultCode.STALE_EPOCH, highest_epoch, self.version)
        self.epochs_by_shard[batch.shard] = max(highest_epoch, batch.epoch)
        for task in self.tasks_by_key.values():
            if task.shard == batch.shard and task.state not in ENDED_TASK_STATES:
                task.lease_until_ms = now_ms + batch.lease_ms
        results = [self._execute(command, batch, now_ms) for command in batch.commands]
        reports: list[TaskReport] = []
        if batch.seen_version != self.version:
            reports = self._build_reports(batch.shard)
        return CommandReply(
            self.worker_id, ResultCode.OK, batch.epoch, self.version, results, reports
        )

    def advance(self, now_ms: int) -> None:
        """Updates all tasks to `now_ms`: work done, completions, failures and expired leases."""
        for task in self.tasks_by_key.values():
            self._advance_task(task, now_ms)
        if now_ms - self._usage_reported_ms >= USAGE_REPORT_PERIOD_MS:
            self._usage_reported_ms = now_ms
            if any(task.state is TaskState.RUNNING for task in self.tasks_by_key.values()):
                self.version += 1

    def restart(self) -> None:
        """Discards all tasks, as a reboot does; the highest epoch of each shard is kept."""
        self.tasks_by_key.clear()
        self.version += 1

    def running(self) -> list[TaskKey]:
        """Returns the keys of the running tasks."""
        return [k for k, task in self.tasks_by_key.items() if task.state is TaskState.RUNNING]

    def _remaining_work_s(self, task: _Task) -> float:
        limit_s = task.behaviour.run_s
        if task.behaviour.fail_s is not None:
            limit_s = min(limit_s, task.behaviour.fail_s)
        if self.fails_everything:
            limit_s = min(limit_s, task.command.resume_s + FAULTY_WORKER_FAILS_AFTER_S)
        return max(0.0, limit_s - task.run_s)

    def _advance_task(self, task: _Task, now_ms: int) -> None:
        if task.state not in (TaskState.RESERVED, TaskState.RUNNING):
            return
        until_ms = min(now_ms, task.lease_until_ms)
        if task.state is TaskState.RUNNING:
            self._advance_work(task, until_ms)
        is_lease_expired = now_ms >= task.lease_until_ms
        if is_lease_expired and task.state in (TaskState.RESERVED, TaskState.RUNNING):
            self._end_task(task, TaskState.LAPSED)

    def _advance_work(self, task: _Task, until_ms: int) -> None:
        remaining_s = self._remaining_work_s(task)
        end_ms = task.run_updated_ms + remaining_s / task.speed * 1000
        checkpoint_ms = task.checkpoint_done_ms
        if checkpoint_ms is not None and checkpoint_ms <= min(until_ms, end_ms):
            task.run_s += max(0, checkpoint_ms - task.run_updated_ms) / 1000 * task.speed
            task.kept_s = task.run_s
            self._end_task(task, TaskState.CHECKPOINTED)
            return
        if end_ms <= until_ms:
            task.run_s += remaining_s
            is_finished = task.run_s >= task.behaviour.run_s and not self.fails_everything
            if not is_finished:
                task.code = ResultCode.TASK_FAILED
            self._end_task(task, TaskState.FINISHED if is_finished else TaskState.FAILED)
            return
        task.run_s += max(0, until_ms - task.run_updated_ms) / 1000 * task.speed
        task.run_updated_ms = max(until_ms, task.run_updated_ms)

    def _end_task(self, task: _Task, state: TaskState) -> None:
        task.state = state
        self.version += 1

    def _execute(self, command: TaskCommand, batch: CommandBatch, now_ms: int) -> ResultCode:
        key = (command.job_id, command.attempt, command.task_index)
        task = self.tasks_by_key.get(key)
        match command.kind:
            case CommandKind.RESERVE:
                return self._reserve(key, command, batch, now_ms)
            case CommandKind.RELEASE:
                if task is not None and task.state in ENDED_TASK_STATES:
                    del self.tasks_by_key[key]
                    self.version += 1
                return ResultCode.OK
            case CommandKind.STOP:
                if task is not None and task.state not in ENDED_TASK_STATES:
                    self._end_task(task, TaskState.STOPPED)
                return ResultCode.OK
        if task is None or task.state in ENDED_TASK_STATES:
            return ResultCode.UNKNOWN_TASK
        match command.kind:
            case CommandKind.START:
                return self._start(key, task, now_ms)
            case CommandKind.CHECKPOINT:
                if task.checkpoint_done_ms is None:
                    duration_ms = int(task.behaviour.checkpoint_s * 1000)
                    task.checkpoint_done_ms = now_ms + duration_ms
            case CommandKind.THROTTLE:
                task.speed = THROTTLED_SPEED
        return ResultCode.OK

    def _reserve(
        self, key: TaskKey, command: TaskCommand, batch: CommandBatch, now_ms: int
    ) -> ResultCode:
        if key in self.tasks_by_key:
            return ResultCode.TASK_EXISTS
        live_tasks = [t for t in self.tasks_by_key.values() if t.state not in ENDED_TASK_STATES]
        if any(
            (t.command.job_id, t.command.task_index) == (command.job_id, command.task_index)
            for t in live_tasks
        ):
            return ResultCode.TASK_EXISTS
        has_capacity = (
            sum(t.command.accelerators for t in live_tasks) + command.accelerators
            <= self.accelerators
            and sum(t.command.cores for t in live_tasks) + command.cores <= self.cores
            and sum(t.command.memory_gb for t in live_tasks) + command.memory_gb <= self.memory_gb
        )
        if not has_capacity:
            return ResultCode.NO_CAPACITY
        self.tasks_by_key[key] = _Task(
            command,
            parse_behaviour(command.command),
            TaskState.RESERVED,
            granted_ms=now_ms,
            lease_until_ms=now_ms + batch.lease_ms,
            run_updated_ms=now_ms,
            shard=batch.shard,
            run_s=command.resume_s,
            kept_s=command.resume_s,
        )
        self.version += 1
        return ResultCode.OK

    def _start(self, key: TaskKey, task: _Task, now_ms: int) -> ResultCode:
        if task.state is TaskState.RUNNING:
            return ResultCode.OK
        if self.guarded and now_ms - task.granted_ms > RESERVATION_TTL_MS:
            self._end_task(task, TaskState.LAPSED)
            return ResultCode.RESERVATION_EXPIRED
        task.state = TaskState.RUNNING
        task.run_updated_ms = now_ms
        self.version += 1
        self.starts.append(TaskStart(now_ms, self.worker_id, *key))
        return ResultCode.OK

    def _build_reports(self, shard: str) -> list[TaskReport]:
        return [
            TaskReport(
                *key,
                state=task.state,
                run_s=round(task.run_s, 3),
                checkpoint_s=round(task.kept_s, 3),
                used_memory_gb=task.behaviour.memory_gb,
                code=task.code,
            )
            for key, task in self.tasks_by_key.items()
            if task.shard == shard
        ]
