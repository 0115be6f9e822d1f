"""Records of what worker models really did, and the checks that are made on them alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from jacinthreel_common import CommandBatch, CommandReply, TaskState
from jacinthreel_standins import WorkerModel

TaskKey = tuple[str, int, int]


@dataclass(slots=True)
class TaskRun:
    """One task's time on a worker.  `kept_s` is work kept beyond what it resumed from."""

    worker_id: str
    job_id: str
    attempt: int
    task_index: int
    start_ms: int
    end_ms: int = -1
    state: TaskState = TaskState.RUNNING
    kept_s: float = 0.0


@dataclass(slots=True)
class RecordedWorker:
    """A worker model whose starts and ends are recorded; `away` swallows all messages."""

    model: WorkerModel
    zone: str
    away: bool = False
    runs: list[TaskRun] = field(default_factory=list)
    running_by_key: dict[TaskKey, TaskRun] = field(default_factory=dict)
    _starts_seen: int = 0
    _replied_ms: int = 0

    def handle(self, batch: CommandBatch, now_ms: int) -> CommandReply:
        """Passes a batch to the model and records what changed."""
        reply = self.model.handle(batch, now_ms)
        self._replied_ms = now_ms
        self.record(now_ms)
        return reply

    def advance(self, now_ms: int) -> None:
        """Brings the model to `now_ms` and records what changed."""
        self.model.advance(now_ms)
        self.record(now_ms)

    def restart(self, now_ms: int) -> None:
        """Loses all tasks, and with them every finish that was not reported yet.

        Nobody can know of such a finish, so its run counts as lost.
        """
        self.advance(now_ms)
        for run in self.runs:
            if run.state is TaskState.FINISHED and run.end_ms > self._replied_ms:
                run.state = TaskState.LAPSED
                run.kept_s = 0.0
        self.model.restart()
        self.record(now_ms)

    def record(self, now_ms: int) -> None:
        """Records starts and ends since the last call."""
        for start in self.model.starts[self._starts_seen :]:
            key = (start.job_id, start.attempt, start.task_index)
            run = TaskRun(self.model.worker_id, *key, start_ms=start.at_ms)
            self.runs.append(run)
            self.running_by_key[key] = run
        self._starts_seen = len(self.model.starts)
        for key, run in list(self.running_by_key.items()):
            task = self.model.tasks_by_key.get(key)
            if task is not None and task.state is TaskState.RUNNING:
                continue
            run.end_ms = now_ms
            run.state = task.state if task is not None else TaskState.LAPSED
            if task is not None:
                worked_s = task.run_s if run.state is TaskState.FINISHED else task.kept_s
                run.kept_s = worked_s - task.command.resume_s
            del self.running_by_key[key]


def count_duplicate_runs(runs: list[TaskRun], end_ms: int) -> int:
    """Tasks that ran twice at a time, and jobs that finished as a whole more than once."""
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
class PartialGangs:
    """Counts gangs of which only some tasks run for longer than a limit.

    A worker that dies leaves the others of its gangs running until its silence is noticed and
    they are stopped; `limit_ms` allows for that.
    """

    limit_ms: int
    count: int = 0
    _since_by_attempt: dict[tuple[str, int], int] = field(default_factory=dict)
    _counted: set[tuple[str, int]] = field(default_factory=set)

    def sample(
        self, workers: list[RecordedWorker], tasks_by_job: dict[str, int], now_ms: int
    ) -> None:
        """Looks at what runs now; `tasks_by_job` has the size of each gang."""
        running: dict[tuple[str, int], int] = {}
        for worker in workers:
            for key, task in worker.model.tasks_by_key.items():
                if task.state in (TaskState.RUNNING, TaskState.FINISHED):
                    attempt = (key[0], key[1])
                    running[attempt] = running.get(attempt, 0) + 1
        partial = {
            attempt for attempt, count in running.items() if count < tasks_by_job[attempt[0]]
        }
        live = {(key[0], key[1]) for worker in workers for key in worker.running_by_key}
        for attempt in list(self._since_by_attempt):
            if attempt not in partial:
                del self._since_by_attempt[attempt]
        for attempt in partial & live:
            since_ms = self._since_by_attempt.setdefault(attempt, now_ms)
            if now_ms - since_ms > self.limit_ms and attempt not in self._counted:
                self._counted.add(attempt)
                self.count += 1
