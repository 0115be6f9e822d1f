"""Which executors may run a step, and where its tasks fit.

Placement is best fit: a task goes where the least room is left over, so that whole executors
stay free for tasks that need one.  A gang that wants one rack goes to the rack whose fitting
room is the tightest.  Answers the load of many small tasks beside few that fill executors or
racks: spread out, the small ones would leave no executor whole.

Speeds: a gang is as late as its slowest member, so an urgent gang takes the fastest executors that
hold it whole, and the rack where that gives the fastest ones.  Other work begins with the slow
executors, and its gangs look for room among executors of one speed first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from jacinthreel_steps._executor_health import is_proven, is_suspect
from jacinthreel_steps._model import Resources, StepSpec
from jacinthreel_steps._tables import Executor, Step, Tables, Task

CPU_WEIGHT = 0.5  # Of left over processor against accelerators.

Placement = list[tuple[Task, str]]
"""Tasks with the id of the executor that each is placed on."""


class Trust(IntEnum):
    """How far an executor is trusted with a step; lower values are preferred."""

    SOUND = 0
    UNPROVEN = 1  # Told apart only where a failure would be the last.
    SUSPECT = 2


@dataclass(slots=True)
class Candidate:
    """An executor that may run a step; `slots_left` is its limit on tasks of the step."""

    executor: Executor
    room: Resources
    slots_left: int
    trust: Trust
    speed_class: int

    def fits(self, shape: Resources) -> int:
        """How many more tasks of the shape fit."""
        return min(self.slots_left, shape.times_within(self.room))

    def take(self, shape: Resources) -> None:
        """Uses the room of one task."""
        self.room = self.room.minus(shape)
        self.slots_left -= 1


@dataclass(slots=True)
class UsableExecutors:
    """The executors that take new work at one moment, by service."""

    by_service: dict[str, list[Executor]] = field(default_factory=dict)


def usable_executors(tables: Tables, now_ms: int, silence_limit_ms: int) -> UsableExecutors:
    """All executors that take new work now."""
    usable = UsableExecutors()
    for executor in tables.executors_by_id.values():
        if not executor.is_listed or not executor.is_reported or executor.listing.is_draining:
            continue
        if executor.listing.zone in tables.policy.zones_out_of_service:
            continue
        if executor.health.avoid_until_ms > now_ms or now_ms - executor.heard_ms > silence_limit_ms:
            continue
        usable.by_service.setdefault(executor.listing.service, []).append(executor)
    return usable


def candidates_for(
    step: Step, executors: list[Executor], max_attempts: int, now_ms: int
) -> list[Candidate]:
    """The executors among those given that may run the step."""
    spec = step.spec
    placed_by_executor = _placed_by_executor(step) if spec.max_per_executor else {}
    failed_on = {task.failed_on for task in step.tasks if task.failed_on and not task.is_done}
    is_last_attempt = any(0 < max_attempts - 1 <= task.failures for task in step.tasks)
    found: list[Candidate] = []
    for executor in executors:
        if spec.required_label and spec.required_label not in executor.listing.labels:
            continue
        slots_left = spec.count
        if spec.max_per_executor:
            placed = placed_by_executor.get(executor.executor_id, 0)
            slots_left = spec.max_per_executor - placed
        trust = Trust.SOUND
        if executor.executor_id in failed_on or is_suspect(executor, now_ms):
            trust = Trust.SUSPECT
        elif is_last_attempt and not is_proven(executor, now_ms):
            trust = Trust.UNPROVEN
        speed_class = executor.health.speed_class
        found.append(Candidate(executor, executor.room, slots_left, trust, speed_class))
    return found


def place_singles(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement:
    """Places as many independent tasks as fit."""
    placement: Placement = []
    for task in tasks:
        best = best_fit(step.spec, candidates, is_urgent)
        if best is None:
            break
        best.take(step.spec.shape)
        placement.append((task, best.executor.executor_id))
    return placement


def place_gang(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    """Places all tasks, on one rack where the step wants that; None where they don't fit."""
    if sum(candidate.fits(step.spec.shape) for candidate in candidates) < len(tasks):
        return None
    for trusted in by_trust(candidates):
        for nearby in _by_nearness(step, trusted):
            placement = _place_trusted_gang(step, tasks, nearby, is_urgent)
            if placement is not None:
                return placement
    return None


def _by_nearness(step: Step, candidates: list[Candidate]) -> list[list[Candidate]]:
    """The candidates on the rack of the step's data, then all of them."""
    near = step.spec.rack_near_data
    if not near:
        return [candidates]
    return [[each for each in candidates if each.executor.listing.rack == near], candidates]


def by_trust(candidates: list[Candidate]) -> list[list[Candidate]]:
    """The most trusted candidates, then more and more of them, at last all."""
    levels = sorted({candidate.trust for candidate in candidates})
    return [[each for each in candidates if each.trust <= level] for level in levels]


def _place_trusted_gang(
    step: Step, tasks: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    racks = [candidates]
    if step.spec.wants_one_rack:
        racks = list(by_rack(candidates).values())
    for classes in _class_choices(candidates, is_urgent):
        best: list[Candidate] | None = None
        best_fits = 0
        for rack in racks:
            chosen = [candidate for candidate in rack if candidate.speed_class in classes]
            fits = sum(candidate.fits(step.spec.shape) for candidate in chosen)
            if fits < len(tasks) or (best is not None and fits >= best_fits):
                continue
            best, best_fits = chosen, fits
        if best is not None:
            return place_singles(step, tasks, best, is_urgent)
    return None


def _class_choices(candidates: list[Candidate], is_urgent: bool) -> list[set[int]]:
    """The sets of speed classes to look for a gang's room in, one after the other.

    >>> from unittest.mock import Mock
    >>> some = [Mock(speed_class=each) for each in (0, 1, -1)]
    >>> _class_choices(some, is_urgent=True)
    [{1}, {0, 1}, {0, 1, -1}]
    >>> _class_choices(some, is_urgent=False)
    [{-1}, {0}, {1}, {0, 1}, {0, 1, -1}]
    """
    known = sorted({candidate.speed_class for candidate in candidates}, reverse=True)
    widening = [set(known[: count + 1]) for count in range(len(known))]
    if is_urgent:
        return widening
    return [{each} for each in reversed(known)] + widening[1:]


def by_rack(candidates: list[Candidate]) -> dict[str, list[Candidate]]:
    """Candidates grouped by rack."""
    grouped: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        grouped.setdefault(candidate.executor.listing.rack, []).append(candidate)
    return grouped


def best_fit(spec: StepSpec, candidates: list[Candidate], is_urgent: bool) -> Candidate | None:
    """The candidate that a task fits best, of those with the preferred speed."""
    best: Candidate | None = None
    best_key: tuple[Trust, bool, int, float] | None = None
    for candidate in candidates:
        if candidate.fits(spec.shape) < 1:
            continue
        is_far = bool(spec.rack_near_data) and (
            candidate.executor.listing.rack != spec.rack_near_data
        )
        speed = -candidate.speed_class if is_urgent else candidate.speed_class
        key = (candidate.trust, is_far, speed, _left_over(candidate, spec.shape))
        if best_key is None or key < best_key:
            best, best_key = candidate, key
    return best


def fits_when_empty(step: Step, executors: list[Executor], count: int) -> bool:
    """Whether `count` tasks would fit on one rack if nothing else ran there."""
    fits_by_rack: dict[str, int] = {}
    for executor in executors:
        fits = step.spec.shape.times_within(executor.listing.capacity)
        if step.spec.max_per_executor:
            fits = min(fits, step.spec.max_per_executor)
        rack = executor.listing.rack
        fits_by_rack[rack] = fits_by_rack.get(rack, 0) + fits
    return any(fits >= count for fits in fits_by_rack.values())


def _left_over(candidate: Candidate, shape: Resources) -> float:
    """The share of an executor that stays free behind the task; accelerators weigh most."""
    capacity = candidate.executor.listing.capacity
    accelerators = candidate.room.accelerators - shape.accelerators
    cpu = candidate.room.cpu_milli - shape.cpu_milli
    left = accelerators / max(1, capacity.accelerators)
    return left + CPU_WEIGHT * cpu / max(1, capacity.cpu_milli)


def _placed_by_executor(step: Step) -> dict[str, int]:
    placed: dict[str, int] = {}
    for task in step.tasks:
        if task.run is not None:
            placed[task.run.executor_id] = placed.get(task.run.executor_id, 0) + 1
    return placed
