"""Chooses the executors to reserve for a job: those on which it fits first.

Room that is free now comes before room that is predicted to become free.  Room that the job already
holds is given up only for room that is free now, so that no change of it, and no wrong prediction,
makes the job wait for runs that began later.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources, StepSpec
from jacinthreel_steps._tables import Executor, Run, RunState, Tables

MIN_PERCENT_FOR_PACE: Final = 10


class _Rank(IntEnum):
    """How much slots are preferred; lower values come first."""

    HELD_FREE = 0
    FREE = 1
    HELD = 2
    OTHER = 3


@dataclass(frozen=True, slots=True)
class _Slots:
    """Slots for tasks on an executor, predicted to be free from `free_ms` on."""

    rank: _Rank
    free_ms: int
    executor_id: str
    count: int


@dataclass(frozen=True, slots=True)
class Demand:
    """The tasks of a step that need room, and how much of it they hold by executor."""

    spec: StepSpec
    needed: int
    held_count_by_executor: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Choice:
    """How many tasks to reserve room for on each executor, and when all are predicted to fit."""

    count_by_executor: dict[str, int]
    fit_ms: int


def choose_executors(
    tables: Tables,
    demand: Demand,
    executors: Iterable[Executor],
    held_by_others: Mapping[str, Resources],
    now_ms: int,
) -> Choice | None:
    """Returns the room to reserve, None if the tasks wouldn't fit even if nothing ran there.

    A gang that wants one rack gets room on the one where it fits first, if there is any.  It
    changes the rack only if it does not fit there any more.
    """
    if demand.spec.is_gang and demand.spec.wants_one_rack:
        choice = _choose_rack(tables, demand, executors, held_by_others, now_ms)
        if choice is not None:
            return choice
    return _choose(tables, demand, executors, held_by_others, now_ms)


def _choose_rack(
    tables: Tables,
    demand: Demand,
    executors: Iterable[Executor],
    held_by_others: Mapping[str, Resources],
    now_ms: int,
) -> Choice | None:
    by_rack: dict[str, list[Executor]] = {}
    held_racks: set[str] = set()
    for executor in executors:
        rack = executor.listing.rack
        by_rack.setdefault(rack, []).append(executor)
        if executor.executor_id in demand.held_count_by_executor:
            held_racks.add(rack)
    racks = held_racks if len(held_racks) == 1 else by_rack
    choices = [_choose(tables, demand, by_rack[rack], held_by_others, now_ms) for rack in racks]
    fitting = [choice for choice in choices if choice is not None]
    return min(fitting, key=lambda choice: choice.fit_ms, default=None)


def _choose(
    tables: Tables,
    demand: Demand,
    executors: Iterable[Executor],
    held_by_others: Mapping[str, Resources],
    now_ms: int,
) -> Choice | None:
    slots = [
        item
        for executor in executors
        for item in _find_slots(tables, demand, executor, held_by_others, now_ms)
    ]
    slots.sort(key=lambda item: (item.rank, item.free_ms))
    choice = Choice({}, now_ms)
    left = demand.needed
    fit_ms = now_ms
    for item in slots:
        if left <= 0:
            break
        count = min(item.count, left)
        left -= count
        fit_ms = max(fit_ms, item.free_ms)
        counts = choice.count_by_executor
        counts[item.executor_id] = counts.get(item.executor_id, 0) + count
    return Choice(choice.count_by_executor, fit_ms) if left <= 0 else None


def fits_when_empty(spec: StepSpec, needed: int, executors: Iterable[Executor]) -> bool:
    """Whether the tasks of a step fit on the executors if nothing else runs there."""
    left = needed
    for executor in executors:
        left -= _limit(spec, executor, executor.listing.capacity)
        if left <= 0:
            return True
    return False


def _find_slots(
    tables: Tables,
    demand: Demand,
    executor: Executor,
    held_by_others: Mapping[str, Resources],
    now_ms: int,
) -> Iterator[_Slots]:
    """Yields the slots that are free now, then those that ends of runs are predicted to free."""
    spec = demand.spec
    others = held_by_others.get(executor.executor_id, NO_RESOURCES)
    most = _limit(spec, executor, _capacity(executor, others))
    if most <= 0 or executor.is_closed:
        return
    held = demand.held_count_by_executor.get(executor.executor_id, 0)
    free = executor.free_resources.minus(others)
    count = min(most, _limit(spec, executor, free))
    yield from _split(_Rank.HELD_FREE, _Rank.FREE, now_ms, executor, 0, count, held)
    if count >= most:
        return
    ends = [(predicted_end_ms(tables, run, now_ms), run) for run in executor.runs_by_task.values()]
    ends.sort(key=lambda entry: entry[0])
    for end_ms, run in ends:
        free = free.plus(run.shape)
        fitting = min(most, _limit(spec, executor, free))
        if fitting > count:
            yield from _split(_Rank.HELD, _Rank.OTHER, end_ms, executor, count, fitting, held)
            count = fitting


def _split(
    held_rank: _Rank,
    other_rank: _Rank,
    free_ms: int,
    executor: Executor,
    begin: int,
    end: int,
    held: int,
) -> Iterator[_Slots]:
    """Yields the slots from `begin` to `end`; the first `held` of the executor are held."""
    held_count = min(end, held) - begin
    if held_count > 0:
        yield _Slots(held_rank, free_ms, executor.executor_id, held_count)
        begin += held_count
    if end > begin:
        yield _Slots(other_rank, free_ms, executor.executor_id, end - begin)


def _capacity(executor: Executor, held: Resources) -> Resources:
    return executor.listing.capacity.minus(executor.life.untracked).minus(held)


def _limit(spec: StepSpec, executor: Executor, capacity: Resources) -> int:
    """Returns how many tasks of a step the executor may hold in some capacity."""
    if spec.required_label and spec.required_label not in executor.listing.labels:
        return 0
    count = spec.shape.count_fitting_into(capacity)
    return min(count, spec.max_per_executor or spec.count)


def predicted_end_ms(tables: Tables, run: Run, now_ms: int) -> int:
    """Returns when a run is predicted to end, by its estimate, its age and its progress."""
    if run.state is RunState.STOPPING:
        return now_ms
    task_id = run.run_id.task
    job = tables.jobs_by_id.get(task_id.job_id)
    if job is None:
        return now_ms
    estimate_ms = job.steps[task_id.step_index].spec.estimate_ms
    by_progress_ms = round(estimate_ms * (1 - run.percent / 100))
    age_ms = now_ms - (run.start_confirmed_ms or now_ms)
    if run.percent < MIN_PERCENT_FOR_PACE:
        return now_ms + max(by_progress_ms, estimate_ms - age_ms, 0)
    by_pace_ms = age_ms * (100 - run.percent) // run.percent
    return now_ms + max(by_progress_ms, by_pace_ms)
