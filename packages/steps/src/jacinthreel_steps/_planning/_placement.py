"""Candidate executors for a step, and best-fit placement of its tasks.

A task goes to the executor with the least capacity left over, so that whole executors stay free
for tasks that need one.  A gang that wants one rack goes to the rack on which it leaves the fewest
free slots.  This targets workloads with many small tasks and a few that fill executors or racks:
if the small ones were spread out, no executor would stay empty.

Speeds: the slowest member determines when a gang is done, so an urgent gang takes the fastest
executors that can hold all of it, and the rack that has them.  If the slowest member has to be of
some speed class, an urgent gang prefers this class for all members, because faster ones would wait
and are missing for the next urgent gang.  Other tasks take slow executors first, and gangs that are
not urgent prefer executors of a single speed class.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from enum import IntEnum
from types import MappingProxyType

from jacinthreel_steps._executors._executor_health import is_proven, is_suspect
from jacinthreel_steps._model import Resources, StepSpec
from jacinthreel_steps._planning._usability import (
    Exclusion,
    exclusion_of,
    may_be_tried,
    may_be_tried_in_need,
)
from jacinthreel_steps._tables import Executor, GangMove, Isolation, Step, Tables, Task

MOVED_GANG_AVOID_MS = 6_000  # How long a gang avoids the executor that it was moved from.
MAX_LOSSES_BESIDE_TRIALS = 2  # With three, the number of starts of a task is limited.
LEFTOVER_CPU_WEIGHT = 0.5  # Weight of leftover CPU, relative to leftover accelerators.

Placement = list[tuple[Task, str]]
"""Each task with the id of the executor that it is placed on."""


class Trust(IntEnum):
    """How likely an executor is to run a step successfully; lower values are preferred."""

    HEALTHY = 0
    UNPROVEN = 1  # Used only if a task of the step is on its last attempt.
    SUSPECT = 2


@dataclass(slots=True)
class Candidate:
    """An executor that may run a step.

    `slots_left` is how many more tasks of the step it may run at most, whatever its free capacity.
    """

    executor: Executor
    free_resources: Resources
    slots_left: int
    trust: Trust
    speed_class: int

    def count_fitting(self, shape: Resources) -> int:
        """Returns how many more tasks of this shape fit."""
        return min(self.slots_left, shape.count_fitting_into(self.free_resources))

    def reserve(self, shape: Resources) -> None:
        """Reserves the capacity of one task."""
        self.free_resources = self.free_resources.minus(shape)
        self.slots_left -= 1


@dataclass(slots=True)
class UsableExecutors:
    """The executors that currently accept new tasks, by service.

    Only overdue jobs use those that are taken for slow or avoided, or closed for a trial.
    `failed_by_service` holds those that failed too recently to be tried again without need, and
    `services_with_failures` have others that are not to be tried for a moment.
    """

    by_service: dict[str, list[Executor]] = field(default_factory=dict)
    slow_by_service: dict[str, list[Executor]] = field(default_factory=dict)
    avoided_by_service: dict[str, list[Executor]] = field(default_factory=dict)
    closed_by_service: dict[str, list[Executor]] = field(default_factory=dict)
    failed_by_service: dict[str, list[Executor]] = field(default_factory=dict)
    services_with_failures: set[str] = field(default_factory=set)

    def excluded(self, service: str) -> list[Executor]:
        """Returns the executors of a service that are taken for slow or avoided."""
        return self.slow_by_service.get(service, []) + self.avoided_by_service.get(service, [])


def find_usable_executors(tables: Tables, now_ms: int, max_report_age_ms: int) -> UsableExecutors:
    """Returns all executors that accept new tasks now."""
    usable = UsableExecutors()
    for executor in tables.executors_by_id.values():
        match exclusion_of(tables, executor, now_ms, max_report_age_ms):
            case None:
                by_service = usable.by_service
            case Exclusion.SLOW:
                by_service = usable.slow_by_service
            case Exclusion.AVOIDED if may_be_tried(executor, now_ms):
                by_service = usable.avoided_by_service
            case Exclusion.AVOIDED if may_be_tried_in_need(executor, now_ms):
                by_service = usable.failed_by_service
            case Exclusion.AVOIDED:
                usable.services_with_failures.add(executor.listing.service)
                continue
            case Exclusion.CLOSED:
                by_service = usable.closed_by_service
            case _:
                continue
        by_service.setdefault(executor.listing.service, []).append(executor)
    return usable


def find_candidates(
    step: Step,
    executors: Sequence[Executor],
    max_attempts: int,
    now_ms: int,
    suspect_addresses: Set[str] = frozenset(),
    held: Mapping[str, Resources] = MappingProxyType({}),
    is_overdue: bool = False,
    includes_closed: bool = False,
) -> list[Candidate]:
    """Returns a candidate for each of `executors` that has the label required by the step.

    Executors at `suspect_addresses`, and those lost under the step, are less preferred.  `held` is
    the room on executors that is reserved for other jobs.  Only an overdue gang returns to an
    executor that it was just moved from.  Executors that are closed for a trial are left out unless
    `includes_closed` is set; those with a trial always, for a step that has lost some executors.
    """
    spec = step.spec
    placed_count_by_executor = _count_tasks_by_executor(step) if spec.max_per_executor else {}
    failed_executor_ids = {
        task.last_failed_executor_id
        for task in step.tasks
        if task.last_failed_executor_id and not task.is_done
    }
    suspect_addresses = suspect_addresses | step.lost_addresses()
    is_last_attempt = any(0 < max_attempts - 1 <= task.failures for task in step.tasks)
    move = step.move if not is_overdue else None
    candidates: list[Candidate] = []
    avoids_trials = _has_lost_several(step)
    for executor in executors:
        if executor.is_closed and not includes_closed:
            continue
        if executor.has_trial and avoids_trials and _has_trial_of_others(executor, step):
            continue
        if spec.required_label and spec.required_label not in executor.listing.labels:
            continue
        if move is not None and _was_just_moved_from(move, executor, now_ms):
            continue
        slots_left = spec.count
        if spec.max_per_executor:
            placed_count = placed_count_by_executor.get(executor.executor_id, 0)
            slots_left = spec.max_per_executor - placed_count
        trust = Trust.HEALTHY
        if (
            executor.executor_id in failed_executor_ids
            or executor.listing.address in suspect_addresses
            or is_suspect(executor, now_ms)
        ):
            trust = Trust.SUSPECT
        elif is_last_attempt and not is_proven(executor, now_ms):
            trust = Trust.UNPROVEN
        speed_class = executor.health.speed_class
        free = executor.free_resources
        if executor.executor_id in held:
            free = free.minus(held[executor.executor_id])
        candidates.append(Candidate(executor, free, slots_left, trust, speed_class))
    return candidates


def _has_lost_several(step: Step) -> bool:
    """Whether a further loss beside a suspect could bring a sound task of the step near its end."""
    return any(
        task.crash_record is not None and task.crash_record.crashes >= MAX_LOSSES_BESIDE_TRIALS
        for task in step.tasks
        if not task.is_done
    )


def _has_trial_of_others(executor: Executor, step: Step) -> bool:
    job_id = step.tasks[0].task_id.job_id
    return any(
        run.isolation is not Isolation.NONE and run.run_id.task.job_id != job_id
        for run in executor.runs_by_task.values()
    )


def place_independent_tasks(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement:
    """Places as many of the tasks as fit, each independently of the others.

    Only the chosen candidate changes with each task, so the others are not compared again.
    """
    spec = step.spec
    heap = [
        (_fit_key(spec, candidate, is_urgent), index)
        for index, candidate in enumerate(candidates)
        if candidate.count_fitting(spec.shape) >= 1
    ]
    heapq.heapify(heap)
    placement: Placement = []
    for task in tasks:
        if not heap:
            break
        _, index = heap[0]
        best = candidates[index]
        best.reserve(spec.shape)
        placement.append((task, best.executor.executor_id))
        if best.count_fitting(spec.shape) >= 1:
            heapq.heapreplace(heap, (_fit_key(spec, best, is_urgent), index))
        else:
            heapq.heappop(heap)
    return placement


def place_gang(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    """Places all tasks, on one rack if the step wants that; returns None if they don't fit."""
    if sum(candidate.count_fitting(step.spec.shape) for candidate in candidates) < len(tasks):
        return None
    for trusted in widen_by_trust(candidates):
        for nearby in _group_by_nearness(step, trusted):
            placement = _place_gang_among(step, tasks, nearby, is_urgent)
            if placement is not None:
                return placement
    return None


def _group_by_nearness(step: Step, candidates: list[Candidate]) -> list[list[Candidate]]:
    """Returns the candidates on the rack of the step's data, if it names one, then all of them."""
    data_rack = step.spec.rack_near_data
    if not data_rack:
        return [candidates]
    return [
        [candidate for candidate in candidates if candidate.executor.listing.rack == data_rack],
        candidates,
    ]


def widen_by_trust(candidates: list[Candidate]) -> list[list[Candidate]]:
    """Returns the candidates of the best trust level, then those up to each further level."""
    levels = sorted({candidate.trust for candidate in candidates})
    return [[candidate for candidate in candidates if candidate.trust <= level] for level in levels]


def _place_gang_among(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    racks = [candidates]
    if step.spec.wants_one_rack:
        racks = list(group_by_rack(candidates).values())
    for classes in _speed_class_sets(candidates, is_urgent):
        best: list[Candidate] | None = None
        best_slot_count = 0
        for rack in racks:
            chosen = [candidate for candidate in rack if candidate.speed_class in classes]
            slot_count = sum(candidate.count_fitting(step.spec.shape) for candidate in chosen)
            if slot_count < len(tasks) or (best is not None and slot_count >= best_slot_count):
                continue
            best, best_slot_count = chosen, slot_count
        if best is not None:
            return place_independent_tasks(step, tasks, best, is_urgent)
    return None


def _speed_class_sets(candidates: list[Candidate], is_urgent: bool) -> list[set[int]]:
    """Returns the sets of speed classes to try for a gang, in order of preference.

    >>> from unittest.mock import Mock
    >>> candidates = [Mock(speed_class=speed_class) for speed_class in (0, 1, -1)]
    >>> _speed_class_sets(candidates, is_urgent=True)
    [{1}, {0}, {0, 1}, {-1}, {0, 1, -1}]
    >>> _speed_class_sets(candidates, is_urgent=False)
    [{-1}, {0}, {1}, {0, 1}, {0, 1, -1}]
    """
    classes = sorted({candidate.speed_class for candidate in candidates}, reverse=True)
    widening = [set(classes[: count + 1]) for count in range(len(classes))]
    if is_urgent:
        sets = widening[:1]
        for speed_class, widened in zip(classes[1:], widening[1:], strict=True):
            sets += [{speed_class}, widened]
        return sets
    return [{speed_class} for speed_class in reversed(classes)] + widening[1:]


def group_by_rack(candidates: list[Candidate]) -> dict[str, list[Candidate]]:
    """Returns the candidates by rack."""
    grouped: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        grouped.setdefault(candidate.executor.listing.rack, []).append(candidate)
    return grouped


def _fit_key(
    spec: StepSpec, candidate: Candidate, is_urgent: bool
) -> tuple[Trust, bool, int, float]:
    """Returns the order of candidates for one task; the lowest is the best.

    Ordered by trust, nearness to the data, preferred speed, and least capacity left over.
    """
    is_far = bool(spec.rack_near_data) and candidate.executor.listing.rack != spec.rack_near_data
    speed = -candidate.speed_class if is_urgent else candidate.speed_class
    return candidate.trust, is_far, speed, _leftover_share(candidate, spec.shape)


def fits_on_empty_rack(step: Step, executors: Sequence[Executor], count: int) -> bool:
    """Whether some rack could hold `count` tasks if nothing else ran there."""
    slots_by_rack: dict[str, int] = {}
    label = step.spec.required_label
    for executor in executors:
        if label and label not in executor.listing.labels:
            continue
        slots = step.spec.shape.count_fitting_into(executor.listing.capacity)
        if step.spec.max_per_executor:
            slots = min(slots, step.spec.max_per_executor)
        rack = executor.listing.rack
        slots_by_rack[rack] = slots_by_rack.get(rack, 0) + slots
    return any(slots >= count for slots in slots_by_rack.values())


def _was_just_moved_from(move: GangMove, executor: Executor, now_ms: int) -> bool:
    return executor.executor_id == move.executor_id and now_ms < move.moved_ms + MOVED_GANG_AVOID_MS


def _leftover_share(candidate: Candidate, shape: Resources) -> float:
    """Returns the share of the executor left free by the task; accelerators weigh more than CPU."""
    capacity = candidate.executor.listing.capacity
    accelerators = candidate.free_resources.accelerators - shape.accelerators
    cpu = candidate.free_resources.cpu_milli - shape.cpu_milli
    accelerator_share = accelerators / max(1, capacity.accelerators)
    return accelerator_share + LEFTOVER_CPU_WEIGHT * cpu / max(1, capacity.cpu_milli)


def _count_tasks_by_executor(step: Step) -> dict[str, int]:
    counts: dict[str, int] = {}
    for task in step.tasks:
        if task.run is not None:
            counts[task.run.executor_id] = counts.get(task.run.executor_id, 0) + 1
    return counts
