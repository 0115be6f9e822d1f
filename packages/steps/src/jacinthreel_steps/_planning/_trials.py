"""Trials of the tasks under which executors were lost: which may start, and where.

A suspect task is placed on an executor without runs of other jobs, which is then closed to them, so
that its loss harms no other job and shows that the task is the cause.  If there is none for
`TRIAL_WAIT_MS`, the task is placed beside as few runs of other jobs as possible.  A task with a
limited number of starts waits for the end of an outage, in which a start would show nothing, and
executors that were lost recently are the last choice: they may crash by themselves.  So are those
that were lost under the step, because losing them again would show nothing new.

An overdue job (`_waiting_jobs`) waits for the end of an outage, but not for other executors.

If several tasks of a step have lost executors and none is known to survive, only one of them runs
at a time and the rest of the step waits: otherwise a wide step that crashes executors would take
down as many at once as it has tasks.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from enum import IntEnum
from typing import Final

from jacinthreel_steps._executors._crash_evidence import has_limited_starts, is_suspect
from jacinthreel_steps._model import UNBOUNDED_FIT, Resources
from jacinthreel_steps._planning._pass_state import PassState, Reach, ServiceSlots
from jacinthreel_steps._planning._placement import (
    Placement,
    find_candidates,
    place_gang,
    place_independent_tasks,
)
from jacinthreel_steps._planning._run_creation import commit_placement, create_runs
from jacinthreel_steps._planning._waiting_jobs import Hold
from jacinthreel_steps._tables import (
    Executor,
    Isolation,
    Job,
    Run,
    RunState,
    Step,
    Tables,
    Task,
)
from jacinthreel_steps._workspaces._quotas import count_admitted

TRIAL_WAIT_MS: Final = 2_000  # Waiting for an empty executor must not starve a sound job.
OUTAGE_WAIT_MS: Final = 30_000
MAX_CLOSED_SHARE: Final = 0.5
OTHER_RUNS_LIMITS: Final = (0, 1, 2, 4, UNBOUNDED_FIT)


class TrialScope(IntEnum):
    """Where suspects may be placed.

    `NONE`: nowhere yet.  `EMPTY`: on executors without runs of other jobs that were neither lost
    singly and recently nor under the step.  `SOUND`: beside other runs too.  `ANY`: on all
    executors.
    """

    NONE = 0
    EMPTY = 1
    SOUND = 2
    ANY = 3


def update_closed_executors(tables: Tables) -> None:
    """Closes the executors with isolated runs to other jobs, and opens the others."""
    for executor_id in tables.trial_executor_ids:
        if executor_id in tables.executors_by_id:
            executor = tables.executors_by_id[executor_id]
            executor.is_closed = executor.has_trial = False
    tables.trial_executor_ids.clear()
    tables.closed_executor_ids.clear()
    tables.isolated_runs = [
        run
        for run in tables.isolated_runs
        if run.isolation is not Isolation.NONE and run.state is not RunState.ENDED
    ]
    for run in tables.isolated_runs:
        _mark_executor(tables, run)


def _mark_executor(tables: Tables, run: Run) -> None:
    """Marks the executor of a run on trial, and closes it if the run is isolated."""
    executor = tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return
    executor.has_trial = True
    tables.trial_executor_ids.add(run.executor_id)
    if run.isolation is not Isolation.SHARED:
        executor.is_closed = True
        tables.closed_executor_ids.add(run.executor_id)


def schedule_trials(state: PassState, job: Job, step: Step, pending: list[Task]) -> list[Task]:
    """Places suspect tasks where they may be tried; returns the tasks to schedule as usual."""
    if not state.context.tables.crashed_task_ids:
        return pending
    if step.gang_losses is None and all(task.crash_record is None for task in step.tasks):
        return pending
    allowed = _select_allowed(step, pending)
    suspects = [task for task in allowed if is_suspect(step, task)]
    if step.spec.is_gang and suspects:
        suspects = allowed
    if pending and not allowed:
        state.context.waiting_jobs.note(job, Hold.TRIAL_OF_OTHERS)
    if not suspects:
        return allowed
    others = [task for task in allowed if task not in suspects]
    return others + _try_suspects(state, job, step, suspects)


def _select_allowed(step: Step, pending: list[Task]) -> list[Task]:
    """Returns the tasks that may start now; one at a time while a wide step is under suspicion."""
    if step.spec.is_gang or step.has_survivor or any(task.is_done for task in step.tasks):
        return pending
    crashed = [
        task
        for task in step.tasks
        if task.crash_record is not None and task.crash_record.unexplained
    ]
    if len(crashed) < 2:
        return pending
    if any(task.run is not None for task in crashed):
        return []
    return [max(crashed, key=_unexplained)]


def _unexplained(task: Task) -> int:
    return task.crash_record.unexplained if task.crash_record is not None else 0


def _try_suspects(state: PassState, job: Job, step: Step, suspects: list[Task]) -> list[Task]:
    """Places the suspects; returns those that have waited too long to be placed apart."""
    slots = state.slots_for(job)
    scope = _choose_scope(state, job, step, suspects, slots)
    if scope is TrialScope.NONE:
        state.context.waiting_jobs.note(job, Hold.OUTAGE)
        return []
    admitted = count_admitted(state.context, job.record.workspace, step.spec.shape)
    tasks = suspects[:admitted]
    if tasks and not (step.spec.is_gang and len(tasks) < len(suspects)):
        placement = _find_placement(state, job, step, tasks, slots, scope)
        if not placement and state.is_overdue(job):
            return _place_overdue(state, job, step, tasks)
        if placement:
            _start_trial(state, job, step, placement)
            placed = {task.task_id for task, _ in placement}
            suspects = [task for task in suspects if task.task_id not in placed]
    if suspects and scope is not TrialScope.ANY:
        is_empty = scope is TrialScope.EMPTY
        hold = Hold.NO_EMPTY_EXECUTOR if is_empty else Hold.NO_SOUND_EXECUTOR
        state.context.waiting_jobs.note(job, hold)
    return suspects if scope is TrialScope.ANY else []


def _place_overdue(state: PassState, job: Job, step: Step, tasks: list[Task]) -> list[Task]:
    """Places suspects of an overdue job where they may be tried, else returns them."""
    slots = state.slots_within(job.queue.service, Reach.USABLE)
    placement = _find_placement(state, job, step, tasks, slots, TrialScope.ANY)
    if not placement:
        return tasks  # Scheduled like other tasks: `_overdue` says where.
    _start_trial(state, job, step, placement)
    placed = {task.task_id for task, _ in placement}
    return [task for task in tasks if task.task_id not in placed]


def _choose_scope(
    state: PassState, job: Job, step: Step, suspects: list[Task], slots: ServiceSlots
) -> TrialScope:
    """Returns where the suspects may be placed now, by the time that they have waited."""
    context = state.context
    records = [task.crash_record for task in suspects if task.crash_record is not None]
    waited_ms = state.now_ms - max((record.crashed_ms for record in records), default=0)
    may_wait = waited_ms <= OUTAGE_WAIT_MS and any(has_limited_starts(task) for task in suspects)
    if may_wait and context.executor_losses.is_outage_current(context.tables, state.now_ms):
        return TrialScope.NONE
    if state.is_overdue(job):
        return TrialScope.ANY  # No rack may ever hold a gang on sound executors.
    if waited_ms <= TRIAL_WAIT_MS:
        return TrialScope.EMPTY
    sound = _sound_executors(state, step, slots.free.executors)
    if may_wait and _could_hold(step, sound, len(suspects) if step.spec.is_gang else 1):
        return TrialScope.SOUND  # They are only busy.
    return TrialScope.ANY


def _sound_executors(state: PassState, step: Step, executors: Sequence[Executor]) -> list[Executor]:
    """Returns the executors that were neither lost singly and recently nor under the step."""
    avoided = state.suspect_addresses | step.lost_addresses()
    return [item for item in executors if item.listing.address not in avoided]


def _could_hold(step: Step, executors: list[Executor], count: int) -> bool:
    """Whether the executors could hold `count` tasks of the step if nothing else ran there."""
    spec = step.spec
    slots = sum(
        spec.shape.count_fitting_into(executor.listing.capacity)
        for executor in executors
        if not spec.required_label or spec.required_label in executor.listing.labels
    )
    return slots >= count


def _find_placement(
    state: PassState,
    job: Job,
    step: Step,
    tasks: list[Task],
    slots: ServiceSlots,
    scope: TrialScope,
) -> Placement | None:
    """Returns executors for the tasks, with as few runs of other jobs as possible."""
    fitting = slots.free.fitting_executors(step.spec.required_label, step.spec.shape)
    if not state.is_overdue(job):  # A trial would keep other jobs away from reserved room.
        fitting = [executor for executor in fitting if executor.executor_id not in slots.held]
    sound = _sound_executors(state, step, fitting)
    searches = [(step, [item for item in sound if not item.runs_by_task], 0), (step, sound, 0)]
    if scope >= TrialScope.SOUND:
        searches += [(step, sound, limit) for limit in OTHER_RUNS_LIMITS]
    if state.is_overdue(job):
        on_any_racks = Step(replace(step.spec, wants_one_rack=False), step.tasks)
        searches.append((on_any_racks, sound, UNBOUNDED_FIT))
    if scope >= TrialScope.ANY:
        searches += [(step, fitting, limit) for limit in OTHER_RUNS_LIMITS]
    for searched_step, eligible, limit in searches:
        executors = [item for item in eligible if _count_runs_of_others(item, job) <= limit]
        placement = _place_among(state, job, searched_step, tasks, executors, slots.held)
        if placement:
            return placement
    return None


def _place_among(
    state: PassState,
    job: Job,
    step: Step,
    tasks: list[Task],
    executors: list[Executor],
    held: Mapping[str, Resources],
) -> Placement | None:
    """Places the tasks on these executors, those of a gang all or none."""
    max_attempts = job.queue.max_attempts
    candidates = find_candidates(
        step, executors, max_attempts, state.now_ms, state.suspect_addresses, held
    )
    is_urgent = job.queue.priority == 0
    if step.spec.is_gang:
        return place_gang(step, tasks, candidates, is_urgent)
    return place_independent_tasks(step, tasks, candidates, is_urgent)


def _start_trial(state: PassState, job: Job, step: Step, placement: Placement) -> None:
    """Places suspects and closes their executors to other jobs.

    At most `MAX_CLOSED_SHARE` of a service is closed, or one executor: a loss among these shows as
    much, and a gang may be as wide as the service.
    """
    tables = state.context.tables
    runs = create_runs(state, job, step, placement, RunState.PLACED)
    closable = _count_closable(state, job.queue.service)
    for run in runs:
        executor = tables.executors_by_id[run.executor_id]
        if executor.is_closed or closable > 0:
            closable -= not executor.is_closed
            has_others = _count_runs_of_others(executor, job) > 0
            run.isolation = Isolation.CLOSED if has_others else Isolation.EXCLUSIVE
        else:
            run.isolation = Isolation.SHARED
        tables.isolated_runs.append(run)
        _mark_executor(tables, run)
        state.record_change(run.executor_id)
    commit_placement(state.context, job, step, runs, state.now_ms)
    state.context.log(
        "trial_placed",
        {
            "job_id": job.job_id,
            "step": step.index,
            "tasks": [run.run_id.task.task_index for run in runs],
            "executors": [run.executor_id for run in runs],
            "exclusive": all(run.isolation is Isolation.EXCLUSIVE for run in runs),
            "unexplained": max(_unexplained(task) for task, _ in placement),
            "lost_under_step": len(step.lost_addresses()),
        },
    )


def _count_closable(state: PassState, service: str) -> int:
    """Returns how many more executors of a service trials may close to other jobs."""
    count = closed = 0
    for executor in state.context.tables.executors_by_id.values():
        if executor.listing.service != service or not executor.is_listed:
            continue
        count += 1
        closed += executor.is_closed
    return max(1, int(MAX_CLOSED_SHARE * count)) - closed


def _count_runs_of_others(executor: Executor, job: Job) -> int:
    return sum(task_id.job_id != job.job_id for task_id in executor.runs_by_task)
