"""Records the task runs of worker models, and checks made on these records alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from jacinthreel_common import CommandBatch, CommandReply, TaskState
from jacinthreel_standins import WorkerModel

TaskKey = tuple[str, int, int]


@dataclass(slots=True)
class TaskRun:
    """One run of a task on a worker.

    `saved_work_s` is the finished or checkpointed work of this run, in seconds, without the work
    of the checkpoint that it resumed from.
    """

    worker_id: str
    job_id: str
    attempt: int
    task_index: int
    start_ms: int
    end_ms: int = -1
    state: TaskState = TaskState.RUNNING
    saved_work_s: float = 0.0


@dataclass(slots=True)
class RecordedWorker:
    """A worker model whose task runs are recorded; no messages reach it if `is_unreachable`."""

    model: WorkerModel
    zone: str
    is_unreachable: bool = False
    runs: list[TaskRun] = field(default_factory=list)
    running_by_key: dict[TaskKey, TaskRun] = field(default_factory=dict)
    _recorded_start_count: int = 0
    _last_reply_ms: int = 0

    def handle(self, batch: CommandBatch, now_ms: int) -> CommandReply:
        """Passes a batch to the model and records the task runs that started or ended."""
        reply = self.model.handle(batch, now_ms)
        self._last_reply_ms = now_ms
        self.record_runs(now_ms)
        return reply

    def advance(self, now_ms: int) -> None:
        """Advances the model to `now_ms` and records the task runs that started or ended."""
        self.model.advance(now_ms)
        self.record_runs(now_ms)

    def restart(self, now_ms: int) -> None:
        """Restarts the model, which loses all tasks.

        A run that finished after the last reply was never reported to the owner, so it counts as
        lost.
        """
        self.advance(now_ms)
        for run in self.runs:
            if run.state is TaskState.FINISHED and run.end_ms > self._last_reply_ms:
                run.state = TaskState.LAPSED
                run.saved_work_s = 0.0
        self.model.restart()
        self.record_runs(now_ms)

    def record_runs(self, now_ms: int) -> None:
        """Records the task runs that started or ended since the last call."""
        for start in self.model.starts[self._recorded_start_count :]:
            key = (start.job_id, start.attempt, start.task_index)
            run = TaskRun(self.model.worker_id, *key, start_ms=start.at_ms)
            self.runs.append(run)
            self.running_by_key[key] = run
        self._recorded_start_count = len(self.model.starts)
        for key, run in list(self.running_by_key.items()):
            task = self.model.tasks_by_key.get(key)
            if task is not None and task.state is TaskState.RUNNING:
                continue
            run.end_ms = now_ms
            run.state = task.state if task is not None else TaskState.LAPSED
            if task is not None:
                worked_s = task.run_s if run.state is TaskState.FINISHED else task.kept_s
                run.saved_work_s = worked_s - task.command.resume_s
            del self.running_by_key[key]


def count_duplicate_runs(runs: list[TaskRun], end_ms: int) -> int:
    """Counts runs that overlap another run of their task, and repeated finishes of whole jobs."""
    runs_by_task: dict[tuple[str, int], list[TaskRun]] = {}
    for run in runs:
        runs_by_task.setdefault((run.job_id, run.task_index), []).append(run)
    overlaps = 0
    finishes_by_job: dict[str, int] = {}
    for (job_id, _), task_runs in runs_by_task.items():
        task_runs.sort(key=lambda run: run.start_ms)
        busy_until_ms = -1
        for run in task_runs:
            overlaps += run.start_ms < busy_until_ms
            busy_until_ms = max(busy_until_ms, run.end_ms if run.end_ms >= 0 else end_ms)
        finishes = sum(run.state is TaskState.FINISHED for run in task_runs)
        finishes_by_job[job_id] = min(finishes, finishes_by_job.get(job_id, finishes))
    return overlaps + sum(finishes - 1 for finishes in finishes_by_job.values() if finishes > 1)


@dataclass(slots=True)
class PartialGangCounter:
    """Counts gangs of which only some tasks run for longer than `limit_ms`.

    If a worker crashes, the other tasks of its gangs run on until the owner detects the failure
    and stops them.  `limit_ms` allows for this time.
    """

    limit_ms: int
    count: int = 0
    _partial_since_ms_by_attempt: dict[tuple[str, int], int] = field(default_factory=dict)
    _counted_attempts: set[tuple[str, int]] = field(default_factory=set)

    def sample(
        self, workers: list[RecordedWorker], tasks_by_job: dict[str, int], now_ms: int
    ) -> None:
        """Checks the tasks that run now; `tasks_by_job` has the number of tasks of each gang."""
        task_counts_by_attempt: dict[tuple[str, int], int] = {}
        for worker in workers:
            for key, task in worker.model.tasks_by_key.items():
                if task.state in (TaskState.RUNNING, TaskState.FINISHED):
                    attempt = (key[0], key[1])
                    task_counts_by_attempt[attempt] = task_counts_by_attempt.get(attempt, 0) + 1
        partial_attempts = {
            attempt
            for attempt, count in task_counts_by_attempt.items()
            if count < tasks_by_job[attempt[0]]
        }
        running_attempts = {(key[0], key[1]) for worker in workers for key in worker.running_by_key}
        for attempt in list(self._partial_since_ms_by_attempt):
            if attempt not in partial_attempts:
                del self._partial_since_ms_by_attempt[attempt]
        for attempt in partial_attempts & running_attempts:
            partial_since_ms = self._partial_since_ms_by_attempt.setdefault(attempt, now_ms)
            if now_ms - partial_since_ms > self.limit_ms and attempt not in self._counted_attempts:
                self._counted_attempts.add(attempt)
                self.count += 1
