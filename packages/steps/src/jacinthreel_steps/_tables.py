"""The tables of the scheduler: jobs, steps, tasks, runs and executors.

Invariants: a task has at most one `Run`; a run stays in its executor's `runs_by_task` for as long
as it may use capacity there; an executor's `free_resources` are its capacity less the shapes of
these runs and of the untracked ones.  A job's `revision` increases with each change that has to be
stored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from jacinthreel_steps._model import (
    NO_RESOURCES,
    ExecutorListing,
    JobRecord,
    JobState,
    Policy,
    QueueTerms,
    Resources,
    RunId,
    StepSpec,
    StopReason,
    TaskId,
)

# Starts must respect a lower capacity a few seconds after the executor's registry entry changed.
MAX_REGISTRY_AGE_MS: Final = 3_000
ANNOUNCEMENT_KEEP_MS: Final = 4_000  # Callers wait 3 s for the answer to a submission.


class RunState(IntEnum):
    """The state of a run.

    `CLAIMED`: reserves capacity that preempted runs have not released yet.  `PLACED`: placed, but
    the placement is not known to be stored.  `STARTING`: the start order was issued and is not
    confirmed.  `STOPPING`: a stop order was issued.  `ENDED`: detached from its task; orders that
    still refer to it must not be sent.
    """

    CLAIMED = 1
    PLACED = 2
    STARTING = 3
    RUNNING = 4
    STOPPING = 5
    ENDED = 6


class Isolation(IntEnum):
    """Whether a run shares its executor with runs of other jobs.

    `NONE`: it may.  `CLOSED`: no run of another job is placed there, but some ran there before.
    `EXCLUSIVE`: none did.  `SHARED`: it is on trial, and others may be placed there.
    """

    NONE = 0
    CLOSED = 1
    EXCLUSIVE = 2
    SHARED = 3


@dataclass(slots=True)
class Run:
    """A run of a task on an executor.

    `needed_revision` is the job revision that must be stored before the start is ordered.
    `is_start_sent` is set before a start is sent by this owner.
    `has_unanswered_start` is set once a start order got no answer in time: the executor may then
    still start the run until it has confirmed a stop.  `is_recovered` is set for a run that an
    earlier owner placed and that the executor has not reported yet, `is_from_zero` for one that
    this owner placed without a checkpoint.  `is_executor_leaving` is set once the executor has
    announced its shutdown.  `is_guest` is set if it was placed on room that is reserved for another
    job (`_guests`).  `reported_incarnation` is the executor's incarnation that last reported
    the run, None before the first report.

    `placed_ms` is when the run was claimed or placed, set again when its start is ordered.
    `start_confirmed_ms` is when the start was confirmed, by an answer or a report.
    `stop_reason` is why the first stop order was issued, `stopping_since_ms` when; `stop_sent_ms`
    is when the last one was, `stop_confirmed_ms` when the executor first confirmed a stop.
    `percent` is the reported progress, and `progress_changed_ms` when it last changed.
    `span_start_ms` and `span_start_percent` are the time and the progress at the start of the span
    over which the current pace is measured; 0 before the first report.
    `checkpoint_changed_ms` is when this run's newest checkpoint was first reported, 0 before that.
    """

    run_id: RunId
    executor_id: str
    incarnation: int
    shape: Resources
    state: RunState
    placed_ms: int
    needed_revision: int = 0
    is_start_sent: bool = False
    has_unanswered_start: bool = False
    is_recovered: bool = False
    is_from_zero: bool = False
    is_executor_leaving: bool = False
    is_guest: bool = False
    isolation: Isolation = Isolation.NONE
    reported_incarnation: int | None = None
    start_confirmed_ms: int | None = None
    stop_reason: StopReason | None = None
    stopping_since_ms: int | None = None
    stop_sent_ms: int | None = None
    stop_confirmed_ms: int | None = None
    percent: int = 0
    progress_changed_ms: int = 0
    span_start_ms: int = 0
    span_start_percent: int = 0
    checkpoint: str = ""
    checkpoint_changed_ms: int = 0


@dataclass(slots=True)
class CrashRecord:
    """The executors that were lost under a task, since one of its runs last outlived them.

    Executors that were lost under another member of the same gang don't count.  `crashes` counts
    them.  `addresses` are the different ones of executors that were lost outside an outage, and
    `solo` tells how many of these ran nothing but the task, or its gang.
    `longest_ms` is the longest time after a start until an executor was lost, `crashed_ms` when one
    was last counted.  `last_run` is the number of the last run that may be started, 0 for no limit.
    """

    crashes: int = 0
    addresses: list[str] = field(default_factory=list)
    solo: int = 0
    longest_ms: int = 0
    crashed_ms: int = 0
    last_run: int = 0

    @property
    def unexplained(self) -> int:
        """How many different executors were lost outside an outage."""
        return len(self.addresses)


@dataclass(slots=True)
class GangLosses:
    """The executors that were lost outside an outage under any member of a gang.

    `addresses` are the different ones, at most one for each run, and `counted_run` is the newest
    run that was considered for them.  They make the gang suspect, but don't count against any of
    its members.
    """

    addresses: list[str] = field(default_factory=list)
    counted_run: int = 0


@dataclass(slots=True)
class Task:
    """A task.

    `run_number` is the number of its newest run, 0 before the first.  `last_failed_executor_id` is
    the executor on which the task last failed, "" if it has not failed.  `crash_record` is None if
    no executor was lost under it.
    """

    task_id: TaskId
    run_number: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    last_failed_executor_id: str = ""
    crash_record: CrashRecord | None = None
    run: Run | None = None


@dataclass(slots=True)
class GangMove:
    """The stop of a gang because of one lagging member, to place the gang on other executors.

    `task_index`, `executor_id` and `run_number` are those of the lagging member, and `moved_ms` is
    when the gang was stopped.  `is_resolved` is set once the same task has run on another executor
    long enough to tell whether it lags there too.
    """

    task_index: int
    executor_id: str
    run_number: int
    moved_ms: int
    is_resolved: bool = False


@dataclass(slots=True)
class Step:
    """A step with its tasks.

    The members of a gang run under the same run number, and a gang counts at most one failure for
    each; `counted_failure_run` is the newest run number whose failure was counted.  `move` is set
    once a gang was stopped because of a lagging member.  `has_survivor` is set once a task under
    which an executor was lost has outlived that.  `gang_losses` is None if no executor was lost
    under the gang.

    `done_count` is the number of tasks that are done, `checkpoint` the newest checkpoint of any
    member of a gang, which applies to all of them.  `stopped_run` is the newest run number of a
    gang whose runs were all stopped.
    """

    spec: StepSpec
    tasks: list[Task]
    counted_failure_run: int = 0
    move: GangMove | None = None
    has_survivor: bool = False
    gang_losses: GangLosses | None = None
    done_count: int = 0
    checkpoint: str = ""
    stopped_run: int = 0

    @property
    def index(self) -> int:
        """The position of the step in its job."""
        return self.tasks[0].task_id.step_index

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)

    def mark_done(self, task: Task) -> None:
        """Marks a task done; a no-op if it is."""
        if not task.is_done:
            task.is_done = True
            self.done_count += 1

    def checkpoint_of(self, task: Task) -> str:
        """Returns the checkpoint from which the task resumes, "" for none."""
        return self.checkpoint if self.spec.is_gang else task.checkpoint

    def lost_addresses(self) -> set[str]:
        """Returns the addresses of executors that were lost under tasks that are not done."""
        if self.gang_losses is not None:
            return set(self.gang_losses.addresses)
        return {
            address
            for task in self.tasks
            if task.crash_record is not None and not task.is_done
            for address in task.crash_record.addresses
        }

    def avoids_executors(self) -> bool:
        """Whether earlier runs of the step make it avoid some executors."""
        if self.move is not None or self.lost_addresses():
            return True
        return any(
            task.failures or task.last_failed_executor_id for task in self.tasks if not task.is_done
        )

    def tasks_ending_with(self, task: Task) -> list[Task]:
        """Returns the tasks that end together with `task`: all of a gang, or itself."""
        return self.tasks if self.spec.is_gang else [task]


@dataclass(slots=True)
class Job:
    """A job.

    `queue` holds the terms of its queue that are in force for the job (`_queue_terms`), and
    `queue_version` is the version of the configuration that they are from.

    `has_begun` is set once a task has started, as an answer or a report of its executor showed;
    only `mark_begun` sets it.  `was_placed` is set once tasks are placed, whether they start or
    not.  `final_state` is None until the job ends.  `visible_state` is the stored state, which is
    reported to callers.  `stored_version` is the version of the stored row, 0 for none.

    `chain_ms` is the predicted run time of the longest chain of steps, and `objective_ms` the
    latency objective that follows from it.  `announced_ms` is when a job was announced whose
    acceptance is not stored yet, None once it is: until then nothing of it may start.
    `done_steps` is the number of steps that are done.
    """

    record: JobRecord
    steps: list[Step]
    queue: QueueTerms
    queue_version: int = 0
    has_begun: bool = False
    was_placed: bool = False
    final_state: JobState | None = None
    visible_state: JobState = JobState.QUEUED
    revision: int = 0
    stored_revision: int = 0
    stored_version: int = 0
    ended_ms: int = 0
    accepted_ms: int = 0
    chain_ms: float = 0.0
    objective_ms: float = 0.0
    announced_ms: int | None = None
    done_steps: int = 0

    @property
    def job_id(self) -> str:
        """The id chosen by the caller."""
        return self.record.job_id

    @property
    def state(self) -> JobState:
        """The newest state, which may not be stored yet."""
        if self.final_state is not None:
            return self.final_state
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    @property
    def is_done(self) -> bool:
        """Whether every step is done."""
        return self.done_steps == len(self.steps)

    def mark_done(self, step: Step, task: Task) -> None:
        """Marks a task done, with all of its gang."""
        was_done = step.is_done
        for done_task in step.tasks_ending_with(task):
            step.mark_done(done_task)
            done_task.checkpoint = ""
        self.done_steps += step.is_done and not was_done

    def may_be_planned(self, now_ms: int) -> bool:
        """Whether tasks may be placed: the job is accepted or was announced a short time ago."""
        return self.announced_ms is None or now_ms - self.announced_ms <= ANNOUNCEMENT_KEEP_MS

    def live_runs(self) -> list[Run]:
        """Returns all runs that may use capacity on an executor."""
        return [task.run for step in self.steps for task in step.tasks if task.run is not None]

    def is_step_ready(self, step: Step) -> bool:
        """Whether all steps that `step` depends on are done."""
        return all(self.steps[index].is_done for index in step.spec.after)

    def pending_tasks(self, step: Step) -> list[Task]:
        """Returns the tasks to place; those of a gang only when no run of the gang is left."""
        pending = [task for task in step.tasks if not task.is_done and task.run is None]
        if not pending or not self.is_step_ready(step):
            return []
        if step.spec.is_gang and len(pending) < len(step.tasks):
            return []
        return pending


@dataclass(slots=True)
class PendingEnd:
    """An applied end that may be acknowledged once `revision` of the job is stored."""

    sequence: int
    job_id: str
    revision: int


@dataclass(slots=True)
class PaceVerdict:
    """Whether a run on an executor lags behind the expected rate; it is normal otherwise.

    `is_pace` is set if this was measured since an earlier report, and not since the start of the
    run.  `seen_ms` is when the verdict was last measured.  `is_confirmed` is set if the same task
    was normal on another executor.
    """

    run_number: int
    is_lagging: bool
    is_pace: bool
    seen_ms: int
    is_confirmed: bool = False


@dataclass(slots=True)
class ExecutorHealth:
    """An executor's health, derived from recent runs.

    `failures` counts the failed runs since the last successful one, and `failed_ms` is the time of
    the last failure, `unreachable_ms` that of the last failed exchange with the executor after a
    successful one.  The executor gets no new tasks before `avoid_until_ms`, nor before
    `slow_until_ms`, which is set to 0 when later runs are normal; `avoided_ms` is when it last gave
    a reason to avoid it.  `verdict_by_task` holds the
    verdicts on recent runs, the one that changed last at the end, and `has_new_verdict` is set
    until they are applied.  `proven_ms` is the latest start time among the runs that made progress
    or succeeded there.  `speed_class` is its speed in steps of `CLASS_FACTOR`: 0 is average,
    higher is faster.
    """

    failures: int = 0
    avoid_until_ms: int = 0
    avoided_ms: int = 0
    slow_until_ms: int = 0
    has_new_verdict: bool = False
    verdict_by_task: dict[TaskId, PaceVerdict] = field(default_factory=dict)
    failed_ms: int = 0
    unreachable_ms: int | None = None
    proven_ms: int | None = None
    speed_class: int = 0

    @property
    def excluded_until_ms(self) -> int:
        """The time until which the executor gets no new tasks, for any reason."""
        return max(self.avoid_until_ms, self.slow_until_ms)


@dataclass(slots=True)
class ExecutorLife:
    """What is known of one process that runs under an executor's id.

    A restarted executor holds and knows nothing of before, so this is replaced whole once a report
    shows another incarnation, and once the executor was lost.  `has_reported` is false before the
    first report, and `seen_ms` is when the last one arrived.  `applied_end_sequence` is the highest
    sequence number of a run's end that was applied, `acknowledged_upto` the highest one that may be
    acknowledged.  `has_more_ends` is set while its reports may omit ends.  `untracked` is what the
    reported runs use that are not in the executor's `runs_by_task`, until they have stopped.
    `start_answered_ms` is when it last answered an order to start a run, whatever the answer.
    """

    incarnation: int = 0
    has_reported: bool = False
    seen_ms: int = 0
    applied_end_sequence: int = 0
    acknowledged_upto: int = 0
    pending_ends: list[PendingEnd] = field(default_factory=list)
    has_more_ends: bool = False
    untracked: Resources = NO_RESOURCES
    start_answered_ms: int = 0


@dataclass(slots=True)
class Executor:
    """An executor id, its registry entry, and the runs that may use its capacity.

    `listing` is the newest entry, which may be of another process than `life`.

    `is_listed` is false once the registry has no usable entry for it; `has_unreadable_entry` is
    true while its entry can't be decoded.  `last_report_ms` is when the last report arrived, or
    when the executor was first listed.
    `last_incarnation` is that of the last report, also after the executor was lost, None before the
    first one.
    `earliest_shutdown_ms` is the earliest time at which a draining executor may shut down.
    `claimed` is the part of `used` that claims hold, which wait for runs to end.
    `is_closed` is set while an isolated run keeps runs of other jobs away, `has_trial` while a run
    is on trial there, isolated or not.
    `awaits_grant` is set while no lease may be granted there: it is not stored yet that one may be.
    """

    listing: ExecutorListing
    runs_by_task: dict[TaskId, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    claimed: Resources = NO_RESOURCES
    is_listed: bool = True
    has_unreadable_entry: bool = False
    life: ExecutorLife = field(default_factory=ExecutorLife)
    last_incarnation: int | None = None
    last_report_ms: int = 0
    health: ExecutorHealth = field(default_factory=ExecutorHealth)
    earliest_shutdown_ms: int | None = None
    is_closed: bool = False
    has_trial: bool = False
    awaits_grant: bool = False

    @property
    def executor_id(self) -> str:
        """The executor's id in the registry."""
        return self.listing.executor_id

    @property
    def free_resources(self) -> Resources:
        """Free capacity; negative while claims wait for preempted runs to end."""
        free = self.listing.capacity.minus(self.used)
        untracked = self.life.untracked
        return free if untracked is NO_RESOURCES else free.minus(untracked)

    @property
    def is_entry_current(self) -> bool:
        """Whether the registry entry is of the process that has sent the last report."""
        return self.life.has_reported and self.listing.incarnation == self.life.incarnation

    def is_start_doubtful(self, run: Run) -> bool:
        """Whether another process than the one of the last report may have started the run.

        An answer to a start doesn't tell which process has sent it, and a lease that was meant for
        an earlier process lasts for the longest lease at the next one.  An order that got no answer
        may be carried out by a later process even if another order for the run was answered.
        """
        is_listed = self.life.has_reported and run.reported_incarnation == self.life.incarnation
        return run.is_start_sent and (run.has_unanswered_start or not is_listed)

    def forget_life(self) -> None:
        """Forgets all that belongs to the process that has sent the last report.

        Its runs must have ended, or be reconciled with the reports of the next one.
        """
        self.life = ExecutorLife()
        for run in self.runs_by_task.values():
            run.reported_incarnation = None

    def exceeds_capacity(self) -> bool:
        """Whether the runs that are placed or running need more than the executor's capacity.

        That happens when the capacity shrinks.  Claims don't count: they wait for runs to end.
        """
        free = self.free_resources.plus(self.claimed)
        return min(free.cpu_milli, free.memory_mb, free.accelerators) < 0

    def add_run(self, run: Run) -> None:
        """Adds a run and allocates its shape."""
        self.runs_by_task[run.run_id.task] = run
        self.used = self.used.plus(run.shape)
        if run.state is RunState.CLAIMED:
            self.claimed = self.claimed.plus(run.shape)

    def remove_run(self, run: Run) -> None:
        """Removes a run and releases its capacity; a no-op if it is not the task's current run."""
        if self.runs_by_task.get(run.run_id.task) is run:
            del self.runs_by_task[run.run_id.task]
            self.used = self.used.minus(run.shape)
            if run.state is RunState.CLAIMED:
                self.claimed = self.claimed.minus(run.shape)


@dataclass(slots=True)
class Tables:
    """The state of the scheduler.

    `open_jobs_by_id` holds the jobs whose state is not final.  `unstored_job_ids` is an ordered set
    of the jobs that have changes to store.  `begun_ms_by_unstored_id` holds when jobs have begun
    whose rows don't say so yet; they are stored with other rows, or soon after.
    `crashed_task_ids` is an ordered set of the tasks that may have a crash record.  `crashed_gangs`
    holds job id and step index of gangs under which executors were lost.  `isolated_runs` holds the
    runs that may be on trial, `trial_executor_ids` the executors with such runs, and
    `closed_executor_ids` those that are closed.  `registry_read_ms` is when the registry of
    executors was last known to be read completely.  `awaited_job_ids` are the jobs with stored
    progress that are not known to be accepted: an earlier owner may have started their tasks.
    """

    policy: Policy = field(default_factory=lambda: Policy(0))
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    open_jobs_by_id: dict[str, Job] = field(default_factory=dict)
    executors_by_id: dict[str, Executor] = field(default_factory=dict)
    unstored_job_ids: dict[str, None] = field(default_factory=dict)
    begun_ms_by_unstored_id: dict[str, int] = field(default_factory=dict)
    crashed_task_ids: dict[TaskId, None] = field(default_factory=dict)
    crashed_gangs: set[tuple[str, int]] = field(default_factory=set)
    isolated_runs: list[Run] = field(default_factory=list)
    trial_executor_ids: set[str] = field(default_factory=set)
    closed_executor_ids: set[str] = field(default_factory=set)
    registry_read_ms: int = 0
    awaited_job_ids: set[str] = field(default_factory=set)

    def has_crashed(self, task_id: TaskId) -> bool:
        """Whether an executor was lost under the task, or under any member of its gang."""
        gang = (task_id.job_id, task_id.step_index)
        return task_id in self.crashed_task_ids or gang in self.crashed_gangs

    def is_capacity_outdated(self, executor: Executor, now_ms: int) -> bool:
        """Whether the executor may have shrunk unnoticed and would start too much."""
        if executor.listing.service not in self.policy.unguarded_services:
            return False
        return now_ms - self.registry_read_ms > MAX_REGISTRY_AGE_MS

    def bump_revision(self, job: Job) -> None:
        """Increases the job's revision and marks the job to be stored."""
        job.revision += 1
        self.unstored_job_ids[job.job_id] = None

    def task(self, task_id: TaskId) -> Task | None:
        """Returns the task with this id, or None if there is none."""
        job = self.jobs_by_id.get(task_id.job_id)
        if job is None or not 0 <= task_id.step_index < len(job.steps):
            return None
        tasks = job.steps[task_id.step_index].tasks
        if not 0 <= task_id.task_index < len(tasks):
            return None
        return tasks[task_id.task_index]


def make_job(record: JobRecord, accepted_ms: int) -> Job:
    """Returns a new job, with no task started."""
    steps: list[Step] = []
    for step_index, spec in enumerate(record.spec.steps):
        tasks = [Task(TaskId(record.job_id, step_index, index)) for index in range(spec.count)]
        steps.append(Step(spec, tasks))
    return Job(record, steps, record.queue, record.policy_version, accepted_ms=accepted_ms)
