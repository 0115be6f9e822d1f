"""Finds the jobs that could run and don't, and logs once for each what holds it.

A job counts if it is accepted, tasks of it are ready, none of its runs is at work, most capacity of
its service is unused, and at least `ROOM_FACTOR` times what it needs is free.  After
`HELD_AFTER_MS` the log names what the scheduling passes found to hold it, the states of its runs,
and why executors take no tasks; one more line tells for how long it was held.  Claimed capacity
counts as free, because nothing runs there for the claim yet.  After `DUE_AFTER_MS` a task of the
job is placed before those of jobs that run; after `PREFERENCE_LIMIT_MS` the job is overdue and no
longer waits for executors that it only prefers.

All open jobs are checked each `CHECK_PERIOD_MS`.  Those that a preference holds, and those known to
wait, are checked more often, so that the limit is kept without reading all jobs so often.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from jacinthreel_steps._model import (
    NO_RESOURCES,
    Resources,
    StepSpec,
    sum_resources,
    weighted_cores,
)
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS, exclusion_of
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables

Log = Callable[[str, dict[str, Any]], None]

HELD_AFTER_MS: Final = 2_000
DUE_AFTER_MS: Final = 500
# With a check, storing and starting, an overdue job runs within 3 s of when it could run.
PREFERENCE_LIMIT_MS: Final = 1_500
LAST_ATTEMPT_LIMIT_MS: Final = 1_800  # The same, for executors that would probably fail the job.
FIRST_REPORTS_MS: Final = 300
CHECK_PERIOD_MS: Final = 1_000
PREFERENCE_CHECK_PERIOD_MS: Final = 250
MAX_BREAK_MS: Final = 500  # Room that is missing for less time does not begin a wait anew.
ROOM_FACTOR: Final = 2
MAX_BUSY_SHARE: Final = 0.5
MAX_UNCLEAR_SHARE: Final = 0.75  # Above this, runs that wait for their start don't count.
MAX_LOGGED_RUNS: Final = 8
MAX_LOGGED_JOBS: Final = 20  # For each check; others are logged by the next ones.


class Hold(StrEnum):
    """What kept a step from being placed in a scheduling pass."""

    PASS_ENDED = "pass ended early"
    START_LIMIT = "too many starts wait"
    QUOTA = "quota"
    NO_EXECUTOR = "no usable executor"
    NO_ROOM = "no room"
    NO_RACK = "no rack"
    RESERVED = "reserved for urgent jobs"
    RESERVED_FOR_OTHERS = "reserved for jobs that have waited longer"
    EXCLUDED = "executors slow or avoided"
    CLOSED = "executors closed for trials"
    TRIAL_OF_OTHERS = "another task of the step is tried first"
    OUTAGE = "outage"
    NO_EMPTY_EXECUTOR = "no empty executor for a suspect"
    NO_SOUND_EXECUTOR = "no sound executor for a suspect"


PREFERENCES: Final = frozenset(
    {
        Hold.START_LIMIT,
        Hold.NO_RACK,
        Hold.RESERVED,
        Hold.RESERVED_FOR_OTHERS,
        Hold.EXCLUDED,
        Hold.CLOSED,
        Hold.NO_EMPTY_EXECUTOR,
        Hold.NO_SOUND_EXECUTOR,
    }
)
"""The holds that end once a job is due or overdue."""


@dataclass(slots=True)
class _Wait:
    """A job that could run since `since_ms`; `is_logged` is set once that was logged.

    `room_ms` is when there was last room for it.
    """

    since_ms: int
    room_ms: int
    is_logged: bool = False


class WaitingJobs:
    """The jobs that could run and don't; passes tell what holds them with `note`."""

    def __init__(self) -> None:
        self._hold_by_job: dict[str, Hold] = {}
        self._wait_by_job: dict[str, _Wait] = {}
        self._reserved_by_service: dict[str, int] = {}
        self._checked_ms = 0
        self._all_checked_ms = 0

    def begin_pass(self) -> None:
        """Forgets what held jobs in the last pass."""
        self._hold_by_job.clear()
        self._reserved_by_service.clear()

    def note(self, job: Job, hold: Hold) -> None:
        """Records what held a step of the job in the current pass.

        The first step counts, or the first one that a preference holds.
        """
        known = self._hold_by_job.get(job.job_id)
        if known is None or (hold in PREFERENCES and known not in PREFERENCES):
            self._hold_by_job[job.job_id] = hold

    def hold_of(self, job: Job) -> Hold | None:
        """Returns what held the job in the current pass, None if nothing was recorded."""
        return self._hold_by_job.get(job.job_id)

    def note_reserved(self, service: str, count: int) -> None:
        """Records how many executors of a service the current pass reserves for urgent jobs."""
        self._reserved_by_service[service] = count

    def is_overdue(self, job: Job, now_ms: int) -> bool:
        """Whether the job is to be placed even where it runs less well than elsewhere."""
        wait = self._wait_by_job.get(job.job_id)
        return wait is not None and now_ms - wait.since_ms >= PREFERENCE_LIMIT_MS

    def may_risk_last_attempt(self, job: Job, now_ms: int) -> bool:
        """Whether the job is to be placed even where it would probably fail, for the last time."""
        wait = self._wait_by_job.get(job.job_id)
        return wait is not None and now_ms - wait.since_ms >= LAST_ATTEMPT_LIMIT_MS

    def is_due(self, job: Job, now_ms: int) -> bool:
        """Whether a task of the job is to be placed before those of jobs that run."""
        wait = self._wait_by_job.get(job.job_id)
        return wait is not None and now_ms - wait.since_ms >= DUE_AFTER_MS

    def check(self, tables: Tables, log: Log, now_ms: int) -> None:
        """Logs the jobs that have been held for `HELD_AFTER_MS`, each once; if a check is due."""
        jobs = self._select_jobs(tables, now_ms)
        if jobs is None:
            return
        is_first_check, self._checked_ms = not self._checked_ms, now_ms
        waits: dict[str, _Wait] = {}
        room = _IdleRoom(tables, now_ms)
        overdue: list[tuple[Job, Step, _Wait]] = []
        for job in jobs:
            steps = _find_waiting_steps(job)
            if not steps:
                continue
            step = next((each for each in steps if room.fits_twice(job, each)), None)
            wait = self._wait_by_job.get(job.job_id)
            if step is not None:
                if wait is None:
                    known_ms = room.known_since_ms(job.queue.service)
                    wait = _Wait(self._since_ms(job, is_first_check, known_ms, now_ms), now_ms)
                wait.room_ms = now_ms
            elif wait is None or now_ms - wait.room_ms > MAX_BREAK_MS:
                continue
            waits[job.job_id] = wait
            if now_ms - wait.since_ms >= HELD_AFTER_MS and not wait.is_logged:
                overdue.append((job, step or steps[0], wait))
        self._log_ended(tables, waits, log, now_ms)
        self._wait_by_job = waits
        if not overdue:
            return
        exclusions = _count_exclusions(tables, now_ms)
        for job, step, wait in overdue[:MAX_LOGGED_JOBS]:
            wait.is_logged = True
            counts = dict(exclusions[job.queue.service])
            self._log_held(tables, job, step, wait, counts, log, now_ms)

    @staticmethod
    def _since_ms(job: Job, is_first_check: bool, known_ms: int, now_ms: int) -> int:
        """Returns since when a job has waited that is found to wait now.

        `known_ms` is since when there may have been room for it.  A job that an owner finds at its
        takeover may have waited for long, and then without an owner; it becomes overdue once
        executors had the time to report.
        """
        if is_first_check and now_ms - job.accepted_ms >= PREFERENCE_LIMIT_MS:
            return now_ms - PREFERENCE_LIMIT_MS + FIRST_REPORTS_MS
        return max(known_ms, job.accepted_ms)

    def _select_jobs(self, tables: Tables, now_ms: int) -> list[Job] | None:
        """Returns the open jobs to check now, None if no check is due."""
        if now_ms - self._all_checked_ms >= CHECK_PERIOD_MS:
            self._all_checked_ms = now_ms
            return list(tables.open_jobs_by_id.values())
        if now_ms - self._checked_ms < PREFERENCE_CHECK_PERIOD_MS:
            return None
        job_ids = dict.fromkeys(self._wait_by_job)
        for job_id, hold in self._hold_by_job.items():
            if hold in PREFERENCES:
                job_ids[job_id] = None
        jobs = [tables.open_jobs_by_id.get(job_id) for job_id in job_ids]
        return [job for job in jobs if job is not None]

    def _log_ended(self, tables: Tables, waits: dict[str, _Wait], log: Log, now_ms: int) -> None:
        """Logs the end of each logged wait that is not in `waits` any more."""
        for job_id, wait in self._wait_by_job.items():
            if not wait.is_logged or job_id in waits:
                continue
            fields = {
                "job_id": job_id,
                "held_ms": now_ms - wait.since_ms,
                "ended_by": _describe_end(tables.open_jobs_by_id.get(job_id)),
            }
            log("job_held_ended", fields)

    def _log_held(
        self,
        tables: Tables,
        job: Job,
        step: Step,
        wait: _Wait,
        exclusions: dict[str, int],
        log: Log,
        now_ms: int,
    ) -> None:
        runs = [_describe_run(tables, run, now_ms) for run in job.live_runs()]
        log(
            "job_held",
            {
                "job_id": job.job_id,
                "step": step.index,
                "tasks": len(step.tasks),
                "held_by": self._hold_by_job.get(job.job_id, ""),
                "age_ms": now_ms - job.accepted_ms,
                "held_ms": now_ms - wait.since_ms,
                "priority": job.queue.priority,
                "gang": step.spec.is_gang,
                "one_rack": step.spec.wants_one_rack,
                "accelerators": step.spec.shape.accelerators,
                "cpu_milli": step.spec.shape.cpu_milli,
                "runs": runs[:MAX_LOGGED_RUNS],
                "executors": exclusions,
                "reserved": self._reserved_by_service.get(job.queue.service, 0),
            },
        )


def _describe_run(tables: Tables, run: Run, now_ms: int) -> str:
    """Returns the state of a run, for how long it has been in it, and its executor's state."""
    executor = tables.executors_by_id.get(run.executor_id)
    usability: str = "unknown"
    if executor is not None:
        usability = exclusion_of(tables, executor, now_ms, MAX_REPORT_AGE_MS) or "usable"
    return (
        f"{run.state.name.lower()} for {now_ms - _state_since_ms(run)} ms, placed"
        f" {now_ms - run.placed_ms} ms ago, on {run.executor_id} ({usability})"
    )


def _state_since_ms(run: Run) -> int:
    match run.state:
        case RunState.STOPPING if run.stopping_since_ms is not None:
            return run.stopping_since_ms
        case RunState.RUNNING if run.start_confirmed_ms is not None:
            return run.start_confirmed_ms
        case _:
            return run.placed_ms


def _describe_end(job: Job | None) -> str:
    """Returns why a job is no longer held; `job` is None if it has ended."""
    if job is None:
        return "job ended"
    states = {run.state for run in job.live_runs()}
    if RunState.RUNNING in states:
        return "run at work"
    if states & {RunState.PLACED, RunState.STARTING}:
        return "run placed"
    return "no room to spare"


def _count_exclusions(tables: Tables, now_ms: int) -> dict[str, Counter[str]]:
    """Returns how many executors of each service take no tasks, by the reason, and how many do."""
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for executor in tables.executors_by_id.values():
        reason = exclusion_of(tables, executor, now_ms, MAX_REPORT_AGE_MS) or "none"
        counts[executor.listing.service][reason] += 1
    return counts


def _find_waiting_steps(job: Job) -> list[Step]:
    """Returns the ready steps with tasks to run; none if a run of the job is at work."""
    if job.announced_ms is not None:
        return []
    waiting: list[Step] = []
    for step in job.steps:
        if step.is_done:
            continue
        for task in step.tasks:
            if task.run is not None and task.run.state is RunState.RUNNING:
                return []
        if job.is_step_ready(step):
            waiting.append(step)
    return waiting


def _staying_executors(tables: Tables, service: str) -> list[Executor]:
    return [
        executor
        for executor in tables.executors_by_id.values()
        if executor.listing.service == service
        and executor.is_listed
        and not executor.listing.is_draining
        and executor.listing.zone not in tables.policy.zones_out_of_service
    ]


def _is_mostly_idle(executors: list[Executor]) -> bool:
    """Whether at most half of the executors' capacity is in use.

    Runs that wait for their start are in no use yet: executors may refuse them again and again.
    They are looked at only where they may decide, because there are thousands of runs.
    """
    used = sum_resources(executor.used for executor in executors)
    claimed = sum_resources(executor.claimed for executor in executors)
    capacity = weighted_cores(sum_resources(executor.listing.capacity for executor in executors))
    used_cores = weighted_cores(used.minus(claimed))
    if used_cores <= MAX_BUSY_SHARE * capacity or used_cores > MAX_UNCLEAR_SHARE * capacity:
        return used_cores <= MAX_BUSY_SHARE * capacity
    waiting = sum_resources(
        run.shape
        for executor in executors
        for run in executor.runs_by_task.values()
        if run.state in (RunState.PLACED, RunState.STARTING)
    )
    return used_cores - weighted_cores(waiting) <= MAX_BUSY_SHARE * capacity


@dataclass(slots=True)
class _SlotCount:
    """The slots of one kind of task that were counted so far, and the executors to go on with."""

    remaining: Iterator[_FreeExecutor]
    total: int = 0


class _IdleRoom:
    """The free capacity of services that are mostly unused.

    Counts only as many executors as it takes to find enough room, and each once for a kind of task.
    """

    def __init__(self, tables: Tables, now_ms: int) -> None:
        self._tables = tables
        self._now_ms = now_ms
        self._partly_silent: set[str] = set()
        self._executors_by_service: dict[str, list[_FreeExecutor]] = {}
        self._count_by_kind: dict[tuple[str, str, Resources, int], _SlotCount] = {}

    def fits_twice(self, job: Job, step: Step) -> bool:
        """Whether there is room for a task of a step, or its whole gang, `ROOM_FACTOR` times."""
        needed = len(step.tasks) if step.spec.is_gang else 1
        return self._has_slots(job.queue.service, step.spec, ROOM_FACTOR * needed)

    def known_since_ms(self, service: str) -> int:
        """Returns since when a service may have been mostly unused.

        That was not noticed before some executors were silent for so long that they may be lost.
        """
        return self._now_ms - (MAX_REPORT_AGE_MS if service in self._partly_silent else 0)

    def _has_slots(self, service: str, spec: StepSpec, needed: int) -> bool:
        """Whether `needed` tasks of a step fit; no if most capacity of the service is in use."""
        kind = (service, spec.required_label, spec.shape, spec.max_per_executor)
        count = self._count_by_kind.get(kind)
        if count is None:
            count = self._count_by_kind[kind] = _SlotCount(iter(self._executors(service)))
        while count.total < needed:
            free = next(count.remaining, None)
            if free is None:
                return False
            count.total += free.count_slots(spec)
        return True

    def _is_silent(self, executor: Executor) -> bool:
        """Whether the executor may be lost, with all that is taken to run there."""
        return self._now_ms - executor.last_report_ms > MAX_REPORT_AGE_MS

    def _executors(self, service: str) -> list[_FreeExecutor]:
        executors = self._executors_by_service.get(service)
        if executors is None:
            staying = _staying_executors(self._tables, service)
            if not _is_mostly_idle(staying):
                staying = [item for item in staying if not self._is_silent(item)]
                self._partly_silent.add(service)
            idle = staying if _is_mostly_idle(staying) else []
            executors = [_FreeExecutor(executor) for executor in idle]
            self._executors_by_service[service] = executors
        return executors


class _FreeExecutor:
    """An executor with its free capacity, which is computed once it is asked for."""

    __slots__ = ("_executor", "_free")

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._free: Resources | None = None

    def count_slots(self, spec: StepSpec) -> int:
        """Returns how many tasks of a step fit; claimed capacity counts as free."""
        executor = self._executor
        if spec.required_label and spec.required_label not in executor.listing.labels:
            return 0
        if self._free is None:
            free = executor.free_resources
            has_claims = executor.claimed is not NO_RESOURCES
            self._free = free.plus(executor.claimed) if has_claims else free
        count = spec.shape.count_fitting_into(self._free)
        return min(count, spec.max_per_executor) if spec.max_per_executor else count
