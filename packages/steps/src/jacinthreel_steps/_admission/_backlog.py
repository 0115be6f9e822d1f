"""The work that a new job would wait for: running and waiting tasks, in accelerator-milliseconds.

Only work that is certainly ahead is counted.  Steps that require a label or limit their tasks per
executor are left out, because a job behind them may start on capacity that they can't use.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from jacinthreel_steps._admission._forecast import accelerators_at_once, needs_one_rack, rank_of
from jacinthreel_steps._context import Context
from jacinthreel_steps._model import NO_RESOURCES, StepSpec
from jacinthreel_steps._planning._job_order import (
    USELESS_AFTER_OBJECTIVES,
    job_sort_key,
    objective_ms,
)
from jacinthreel_steps._planning._placement import find_usable_executors
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables

LENGTH_UNIT_MS: Final = 128  # Run times are grouped, so that thousands of runs need no sorting.
CAPACITY_REPORT_AGE_MS: Final = 10_000  # Interruptions of executors last up to 6.5 s.


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """The pending tasks of a ready step.

    `accelerators` and `work` are those of all pending tasks together.  `useless_in_ms` is the time
    until the result of the job becomes useless, negative if it already is.
    """

    rank: int
    estimate_ms: int
    accelerators_at_once: int
    needs_one_rack: bool
    accelerators: int
    work: int
    useless_in_ms: float


@dataclass(slots=True)
class RunningLoad:
    """The work left in a set of runs.

    `accelerators_by_length` holds the number of accelerators by the remaining run time, in units of
    `LENGTH_UNIT_MS` and rounded up.
    """

    work: float = 0.0
    accelerators_by_length: dict[int, int] = field(default_factory=dict)

    def add(self, remaining_ms: float, accelerators: int) -> None:
        """Adds a run."""
        self.work += remaining_ms * accelerators
        length = int(remaining_ms) // LENGTH_UNIT_MS + 1
        by_length = self.accelerators_by_length
        by_length[length] = by_length.get(length, 0) + accelerators


@dataclass(slots=True)
class ServiceBacklog:
    """The backlog of one service.

    `capacity` counts all accelerators that may be used in the next seconds.  `urgent` is the load
    of runs of priority 0, `other` that of all other runs.  `free_urgent` is the number of
    accelerators that jobs of priority 0 could use now, by preemption if necessary; `free` is the
    number that jobs of other priorities could use now.
    """

    waiting: list[WaitingStep]
    capacity: int = 0
    urgent: RunningLoad = field(default_factory=RunningLoad)
    other: RunningLoad = field(default_factory=RunningLoad)
    free_urgent: int = 0
    free: int = 0


def collect_backlogs(
    context: Context, over_share: frozenset[str], min_wait_ms: float, now_ms: int
) -> dict[str, ServiceBacklog]:
    """Returns the backlog of each service that has executors and enough waiting work.

    Services whose waiting work would take less than `min_wait_ms` on the whole capacity are left
    out, without reading their runs.
    """
    tables = context.tables
    backlogs = _collect_waiting_steps(tables, over_share, now_ms)
    executors_by_service: dict[str, list[Executor]] = {}
    if backlogs:
        executors_by_service = _find_capacity(tables, now_ms)
        usable = find_usable_executors(tables, now_ms, MAX_REPORT_AGE_MS)
    relevant: dict[str, ServiceBacklog] = {}
    for service, backlog in backlogs.items():
        executors = executors_by_service.get(service, [])
        backlog.capacity = sum(executor.listing.capacity.accelerators for executor in executors)
        if sum(step.work for step in backlog.waiting) < min_wait_ms * backlog.capacity:
            continue
        if backlog.capacity > 0:
            _add_runs(tables, backlog, executors, now_ms)
            _count_free(context, backlog, usable.by_service.get(service, []), now_ms)
            relevant[service] = backlog
    return relevant


def _collect_waiting_steps(
    tables: Tables, over_share: frozenset[str], now_ms: int
) -> dict[str, ServiceBacklog]:
    """Returns the waiting steps by service, in the order in which they are scheduled."""
    waiting: list[tuple[tuple[object, ...], str, WaitingStep]] = []
    for job in tables.open_jobs_by_id.values():
        counted = [(step.spec, _count_pending_tasks(job, step)) for step in job.steps]
        pending_steps = [(spec, pending) for spec, pending in counted if pending]
        if not pending_steps:
            continue
        useless_in_ms = _useless_in_ms(job, now_ms)
        if useless_in_ms < 0:
            continue
        rank = rank_of(job.queue, job.record.workspace in over_share)
        order = (rank, job_sort_key(job, now_ms))
        for spec, pending in pending_steps:
            waiting_step = _make_waiting_step(rank, spec, pending, useless_in_ms)
            waiting.append((order, job.queue.service, waiting_step))
    waiting.sort(key=lambda entry: entry[0])
    backlogs: dict[str, ServiceBacklog] = {}
    for _, service, waiting_step in waiting:
        backlogs.setdefault(service, ServiceBacklog([])).waiting.append(waiting_step)
    return backlogs


def _useless_in_ms(job: Job, now_ms: int) -> float:
    limit_ms = USELESS_AFTER_OBJECTIVES * objective_ms(job.record.spec, job.queue)
    return job.accepted_ms + limit_ms - now_ms


def _make_waiting_step(
    rank: int, spec: StepSpec, pending: int, useless_in_ms: float
) -> WaitingStep:
    accelerators = pending * spec.shape.accelerators
    return WaitingStep(
        rank,
        spec.estimate_ms,
        accelerators_at_once(spec),
        needs_one_rack(spec),
        accelerators,
        accelerators * spec.estimate_ms,
        useless_in_ms,
    )


def _count_pending_tasks(job: Job, step: Step) -> int:
    """Returns how many tasks of a step certainly wait for capacity that a new job could use."""
    spec = step.spec
    if not spec.shape.accelerators or spec.required_label or spec.max_per_executor:
        return 0
    if spec.is_gang and step.tasks[0].run is not None:
        return 0
    pending = len([task for task in step.tasks if task.run is None and not task.is_done])
    if spec.is_gang and pending < len(step.tasks):
        return 0
    return pending if pending and job.is_step_ready(step) else 0


def _find_capacity(tables: Tables, now_ms: int) -> dict[str, list[Executor]]:
    """Returns the executors that may run new tasks in the next seconds, by service."""
    by_service: dict[str, list[Executor]] = {}
    for executor in tables.executors_by_id.values():
        if _is_capacity(tables, executor, now_ms):
            by_service.setdefault(executor.listing.service, []).append(executor)
    return by_service


def _is_capacity(tables: Tables, executor: Executor, now_ms: int) -> bool:
    if not executor.is_listed or executor.listing.is_draining:
        return False
    if executor.listing.zone in tables.policy.zones_out_of_service:
        return False
    return now_ms - executor.last_report_ms <= CAPACITY_REPORT_AGE_MS


def _add_runs(
    tables: Tables, backlog: ServiceBacklog, executors: list[Executor], now_ms: int
) -> None:
    for executor in executors:
        for task_id, run in executor.runs_by_task.items():
            job = tables.jobs_by_id.get(task_id.job_id)
            if job is None or job.state.is_final or run.state is RunState.STOPPING:
                continue
            estimate_ms = job.steps[task_id.step_index].spec.estimate_ms
            remaining_ms = _remaining_ms(run, estimate_ms, now_ms)
            accelerators = run.shape.accelerators
            if job.queue.priority == 0:
                backlog.urgent.add(remaining_ms, accelerators)
            else:
                backlog.other.add(remaining_ms, accelerators)
                backlog.free_urgent += accelerators


def _remaining_ms(run: Run, estimate_ms: int, now_ms: int) -> float:
    """Returns the remaining run time, by the progress or by the age, whichever gives less."""
    by_progress_ms = estimate_ms * (1 - run.percent / 100)
    if run.start_confirmed_ms is None:
        return by_progress_ms
    return max(0.0, min(by_progress_ms, estimate_ms - (now_ms - run.start_confirmed_ms)))


def _count_free(
    context: Context, backlog: ServiceBacklog, executors: list[Executor], now_ms: int
) -> None:
    """Counts the free accelerators; for others than priority 0, without reserved ones."""
    reserved_ids = context.headroom.select_reserved_ids(executors, now_ms)
    service = executors[0].listing.service if executors else ""
    held = context.reservations.held_by_executor(service)
    for executor in executors:
        used = executor.used.accelerators
        free = max(0, executor.listing.capacity.accelerators - used)
        backlog.free_urgent += free
        if executor.executor_id not in reserved_ids:
            held_here = held.get(executor.executor_id, NO_RESOURCES).accelerators
            backlog.free += max(0, free - held_here)
