"""Finds the jobs that could run and don't, and logs once for each what holds it.

A job counts if it is accepted, tasks of it are ready, none of its runs is at work, most capacity of
its service is unused, and at least `ROOM_FACTOR` times what it needs is free.  After
`HELD_AFTER_MS` the log names what the scheduling passes found to hold it, the states of its runs,
and why executors take no tasks.  After `PREFERENCE_LIMIT_MS` it no longer waits for executors that
it only prefers.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from jacinthreel_steps._model import Resources, StepSpec, weighted_cores
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS, exclusion_of
from jacinthreel_steps._tables import Executor, Job, RunState, Step, Tables

Log = Callable[[str, dict[str, Any]], None]

HELD_AFTER_MS: Final = 2_000
PREFERENCE_LIMIT_MS: Final = 10_000
CHECK_PERIOD_MS: Final = 1_000
ROOM_FACTOR: Final = 2
MAX_BUSY_SHARE: Final = 0.5
MAX_LOGGED_RUNS: Final = 8
MAX_LOGGED_JOBS: Final = 20  # For each check; others are logged by the next ones.


class Hold(StrEnum):
    """What kept a step from being placed in a scheduling pass."""

    PASS_ENDED = "pass ended early"
    START_LIMIT = "too many starts wait"
    QUOTA = "quota"
    NO_EXECUTOR = "no usable executor"
    NO_ROOM = "no room"
    TRIAL_OF_OTHERS = "another task of the step is tried first"
    OUTAGE = "outage"
    NO_EMPTY_EXECUTOR = "no empty executor for a suspect"
    NO_SOUND_EXECUTOR = "no sound executor for a suspect"


@dataclass(slots=True)
class _Wait:
    """A job that could run since `since_ms`; `is_logged` is set once that was logged."""

    since_ms: int
    is_logged: bool = False


class WaitingJobs:
    """The jobs that could run and don't; passes tell what holds them with `note`."""

    def __init__(self) -> None:
        self._hold_by_job: dict[str, Hold] = {}
        self._wait_by_job: dict[str, _Wait] = {}
        self._checked_ms = 0

    def begin_pass(self) -> None:
        """Forgets what held jobs in the last pass."""
        self._hold_by_job.clear()

    def note(self, job: Job, hold: Hold) -> None:
        """Records what held a step of the job in the current pass; the first step counts."""
        self._hold_by_job.setdefault(job.job_id, hold)

    def is_overdue(self, job: Job, now_ms: int) -> bool:
        """Whether the job is to be placed even where it runs less well than elsewhere."""
        wait = self._wait_by_job.get(job.job_id)
        return wait is not None and now_ms - wait.since_ms >= PREFERENCE_LIMIT_MS

    def check(self, tables: Tables, log: Log, now_ms: int) -> None:
        """Logs the jobs that have been held for `HELD_AFTER_MS`, each once; if a check is due."""
        if now_ms - self._checked_ms < CHECK_PERIOD_MS:
            return
        self._checked_ms = now_ms
        waits: dict[str, _Wait] = {}
        room = _IdleRoom(tables)
        overdue: list[tuple[Job, Step, _Wait]] = []
        for job in tables.open_jobs_by_id.values():
            step = _find_waiting_step(job)
            if step is None:
                continue
            needed = len(step.tasks) if step.spec.is_gang else 1
            if room.count_slots(job.record.queue.service, step.spec) < ROOM_FACTOR * needed:
                continue
            wait = self._wait_by_job.get(job.job_id) or _Wait(now_ms)
            waits[job.job_id] = wait
            if now_ms - wait.since_ms >= HELD_AFTER_MS and not wait.is_logged:
                overdue.append((job, step, wait))
        self._wait_by_job = waits
        if not overdue:
            return
        exclusions = _count_exclusions(tables, now_ms)
        for job, step, wait in overdue[:MAX_LOGGED_JOBS]:
            wait.is_logged = True
            self._log_held(job, step, exclusions[job.record.queue.service], log, now_ms)

    def _log_held(
        self, job: Job, step: Step, exclusions: Counter[str], log: Log, now_ms: int
    ) -> None:
        runs = [
            f"{run.state.name.lower()} on {run.executor_id} for {now_ms - run.placed_ms} ms"
            for run in job.live_runs()
        ]
        log(
            "job_held",
            {
                "job_id": job.job_id,
                "step": step.index,
                "tasks": len(step.tasks),
                "held_by": self._hold_by_job.get(job.job_id, ""),
                "age_ms": now_ms - job.accepted_ms,
                "gang": step.spec.is_gang,
                "one_rack": step.spec.wants_one_rack,
                "accelerators": step.spec.shape.accelerators,
                "cpu_milli": step.spec.shape.cpu_milli,
                "runs": runs[:MAX_LOGGED_RUNS],
                "executors": dict(exclusions),
            },
        )


def _count_exclusions(tables: Tables, now_ms: int) -> dict[str, Counter[str]]:
    """Returns how many executors of each service take no tasks, by the reason, and how many do."""
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for executor in tables.executors_by_id.values():
        reason = exclusion_of(tables, executor, now_ms, MAX_REPORT_AGE_MS) or "none"
        counts[executor.listing.service][reason] += 1
    return counts


def _find_waiting_step(job: Job) -> Step | None:
    """Returns a ready step with tasks to run if no run of the job is at work, else None."""
    if job.announced_ms is not None:
        return None
    waiting: Step | None = None
    for step in job.steps:
        if step.is_done:
            continue
        for task in step.tasks:
            if task.run is not None and task.run.state is RunState.RUNNING:
                return None
        if waiting is None and job.is_step_ready(step):
            waiting = step
    return waiting


def _idle_executors(tables: Tables, service: str) -> list[Executor]:
    """Returns the executors of a service that stay, none if most of their capacity is in use."""
    executors = [
        executor
        for executor in tables.executors_by_id.values()
        if executor.listing.service == service
        and executor.is_listed
        and not executor.listing.is_draining
        and executor.listing.zone not in tables.policy.zones_out_of_service
    ]
    used = sum(weighted_cores(executor.used) for executor in executors)
    capacity = sum(weighted_cores(executor.listing.capacity) for executor in executors)
    return executors if used <= MAX_BUSY_SHARE * capacity else []


class _IdleRoom:
    """The free capacity of services that are mostly unused, counted once for each kind of task."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._executors_by_service: dict[str, list[Executor]] = {}
        self._slots_by_kind: dict[tuple[str, str, Resources, int], int] = {}

    def count_slots(self, service: str, spec: StepSpec) -> int:
        """Returns how many tasks of a step fit, 0 if most capacity of the service is in use."""
        kind = (service, spec.required_label, spec.shape, spec.max_per_executor)
        slots = self._slots_by_kind.get(kind)
        if slots is None:
            slots = self._slots_by_kind[kind] = self._count(service, spec)
        return slots

    def _count(self, service: str, spec: StepSpec) -> int:
        executors = self._executors_by_service.get(service)
        if executors is None:
            executors = self._executors_by_service[service] = _idle_executors(self._tables, service)
        total = 0
        for executor in executors:
            if spec.required_label and spec.required_label not in executor.listing.labels:
                continue
            count = spec.shape.count_fitting_into(executor.free_resources)
            total += min(count, spec.max_per_executor) if spec.max_per_executor else count
        return total
