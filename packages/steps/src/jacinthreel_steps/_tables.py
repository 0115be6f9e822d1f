"""The tables of the scheduler: jobs, steps, tasks, runs and executors.

Invariants: a task has at most one `Run`; the run is listed at its executor for as long as it may
hold room there; the room of an executor is its capacity without the runs listed at it.  A job's
`revision` grows with each change that has to be stored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from jacinthreel_steps._model import (
    NOTHING,
    ExecutorListing,
    JobRecord,
    JobState,
    Policy,
    Resources,
    RunId,
    StepSpec,
    TaskId,
)


class RunState(IntEnum):
    """Where a run stands.

    `CLAIMED` holds room that others have still to leave.  `PLACED` is decided but not known to be
    stored.  `STARTING` has an order under way.  `STOPPING` has been told to stop.
    """

    CLAIMED = 1
    PLACED = 2
    STARTING = 3
    RUNNING = 4
    STOPPING = 5


@dataclass(slots=True)
class Run:
    """A run of a task on an executor.

    `is_doubtful` is set once an order to start it got no answer: the executor may then still
    start it until it has confirmed a stop.  `is_recovered` is set for a run that an earlier owner
    placed and the executor has not reported yet, `is_from_zero` for one that this owner placed
    without a checkpoint.  `seen_incarnation` is the life of the executor that last reported it, 0
    before.  `stopping_since_ms` is when it was first told to stop, `stop_sent_ms` when it was
    last.  `changed_ms` is when `percent` last changed.  `span_ms` is the time, and
    `span_percent` the progress, from which its present pace is measured; 0 before a report.
    """

    run_id: RunId
    executor_id: str
    incarnation: int
    shape: Resources
    state: RunState
    placed_ms: int
    needed_revision: int = 0
    is_doubtful: bool = False
    is_recovered: bool = False
    is_from_zero: bool = False
    seen_incarnation: int = 0
    confirmed_ms: int | None = None
    stopping_since_ms: int | None = None
    stop_sent_ms: int | None = None
    stop_confirmed_ms: int | None = None
    percent: int = 0
    changed_ms: int = 0
    span_ms: int = 0
    span_percent: int = 0
    checkpoint: str = ""


@dataclass(slots=True)
class Task:
    """A task; `run_number` is that of its newest run, 0 before the first."""

    task_id: TaskId
    run_number: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    failed_on: str = ""
    run: Run | None = None


@dataclass(slots=True)
class Step:
    """A step with its tasks; a gang counts a failure once for each run number.

    `was_moved` is set once a gang was stopped because of a slow executor.
    """

    spec: StepSpec
    tasks: list[Task]
    counted_failure_run: int = 0
    was_moved: bool = False

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return all(task.is_done for task in self.tasks)


@dataclass(slots=True)
class Job:
    """A job.  `state` is the newest decision, `visible_state` what has been stored."""

    record: JobRecord
    steps: list[Step]
    state: JobState = JobState.QUEUED
    visible_state: JobState = JobState.QUEUED
    revision: int = 0
    stored_revision: int = 0
    stored_version: int = 0
    ended_ms: int = 0
    accepted_ms: int = 0
    has_begun: bool = False

    @property
    def job_id(self) -> str:
        """The id that the caller chose."""
        return self.record.job_id

    def live_runs(self) -> list[Run]:
        """All runs that may hold room."""
        return [task.run for step in self.steps for task in step.tasks if task.run is not None]

    def is_step_ready(self, step: Step) -> bool:
        """Whether all steps before `step` are done."""
        return all(self.steps[index].is_done for index in step.spec.after)


@dataclass(slots=True)
class PendingEnd:
    """An end that was applied and may be acknowledged once `revision` of the job is stored."""

    sequence: int
    job_id: str
    revision: int


@dataclass(slots=True)
class ExecutorHealth:
    """What recent runs tell of an executor.

    `failures` counts runs that failed since the last one that was done; it takes no work before
    `avoid_until_ms`.  `proven_ms` is when the newest run began that was seen to work there.
    `speed_class` is its speed on a coarse scale: 0 is usual, more is faster.
    """

    failures: int = 0
    avoid_until_ms: int = 0
    failed_ms: int = 0
    proven_ms: int | None = None
    speed_class: int = 0


@dataclass(slots=True)
class Executor:
    """An executor and the runs that may hold room there.

    `is_listed` is false once the registry no longer has it.  `leave_ms` is until when a
    draining executor stays at least.
    """

    listing: ExecutorListing
    runs_by_task: dict[TaskId, Run] = field(default_factory=dict)
    used: Resources = NOTHING
    is_listed: bool = True
    is_reported: bool = False
    seen_upto: int = 0
    acknowledged_upto: int = 0
    pending_ends: list[PendingEnd] = field(default_factory=list)
    heard_ms: int = 0
    health: ExecutorHealth = field(default_factory=ExecutorHealth)
    leave_ms: int | None = None

    @property
    def executor_id(self) -> str:
        """The registry's id."""
        return self.listing.executor_id

    @property
    def room(self) -> Resources:
        """Free capacity; negative while claims wait for others to leave."""
        return self.listing.capacity.minus(self.used)

    def add_run(self, run: Run) -> None:
        """Lists a run."""
        self.runs_by_task[run.run_id.task] = run
        self.used = self.used.plus(run.shape)

    def remove_run(self, run: Run) -> None:
        """Takes a run off the list."""
        if self.runs_by_task.get(run.run_id.task) is run:
            del self.runs_by_task[run.run_id.task]
            self.used = self.used.minus(run.shape)


@dataclass(slots=True)
class Tables:
    """Everything that the scheduler knows.

    `open_jobs_by_id` are those without a final state.
    """

    policy: Policy = field(default_factory=lambda: Policy(0))
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    open_jobs_by_id: dict[str, Job] = field(default_factory=dict)
    executors_by_id: dict[str, Executor] = field(default_factory=dict)
    unstored_job_ids: dict[str, None] = field(default_factory=dict)

    def touch(self, job: Job) -> None:
        """Notes that a job has to be stored."""
        job.revision += 1
        self.unstored_job_ids[job.job_id] = None

    def task(self, task_id: TaskId) -> Task | None:
        """The task of that name, if there is one."""
        job = self.jobs_by_id.get(task_id.job_id)
        if job is None or not 0 <= task_id.step_index < len(job.steps):
            return None
        tasks = job.steps[task_id.step_index].tasks
        if not 0 <= task_id.task_index < len(tasks):
            return None
        return tasks[task_id.task_index]


def make_job(record: JobRecord, accepted_ms: int) -> Job:
    """A job that nothing has been done for."""
    steps: list[Step] = []
    for step_index, spec in enumerate(record.spec.steps):
        tasks = [Task(TaskId(record.job_id, step_index, index)) for index in range(spec.count)]
        steps.append(Step(spec, tasks))
    return Job(record, steps, accepted_ms=accepted_ms)
