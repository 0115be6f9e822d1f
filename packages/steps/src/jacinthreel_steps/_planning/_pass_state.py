"""The state of one scheduling pass: usable executors, slot counts and preemption victims.

The counts are computed on demand and kept current by `record_change`, so that the cost of a pass
depends on the number of different shapes and of placements, and not on the product of waiting jobs
and executors.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._planning._slot_index import SlotIndex
from jacinthreel_steps._planning._victims import VictimIndex
from jacinthreel_steps._tables import Executor, Job, Tables
from jacinthreel_steps._workspaces._shares import Shares

PASS_BUDGET: Final = 4_000  # Tasks; keeps a pass well below the lease of the owner.
EXECUTORS_PER_TASK: Final = 2  # Comparing that many executors costs about as much as a task.


class Reach(IntEnum):
    """Which executors of a service a job may use.

    Room that is reserved for single jobs (`_reservations`) is not within reach of others.
    `UNRESERVED`: those that take new tasks and are not reserved for urgent jobs.  `USABLE`: the
    reserved ones too.  `SLOW`: those that are taken for slow, too.  `AVOIDED` and `CLOSED`: beside
    these, those that are avoided, or closed for a trial.  `ALL`: all that are able to run tasks.
    """

    UNRESERVED = 0
    USABLE = 1
    SLOW = 2
    AVOIDED = 3
    CLOSED = 4
    ALL = 5


@dataclass(slots=True)
class ServiceSlots:
    """The slot counts of the executors that one class of jobs may use in one service.

    `free` counts capacity that is free now, `empty` all capacity of the executors.  `held` is the
    room on executors that is reserved for other jobs; it isn't part of `free`.  `opens_reserved` is
    set if room that is reserved for single jobs is part of it.
    """

    free: SlotIndex
    empty: SlotIndex
    held: Mapping[str, Resources]
    reach: Reach
    opens_reserved: bool = False

    @property
    def is_last_resort(self) -> bool:
        """Whether executors that are avoided because of failures are part of it."""
        return self.reach in (Reach.AVOIDED, Reach.ALL)

    @property
    def includes_closed(self) -> bool:
        """Whether executors that are closed for a trial are part of it."""
        return self.reach in (Reach.CLOSED, Reach.ALL)


@dataclass(slots=True)
class PassState:
    """The state of one pass.

    `used_by_workspace` counts the accelerators used by runs of priority 0.
    `failed_quota_searches` holds, by workspace, the usage for which no victims were found within
    its quota, so that the search is not repeated for each waiting job.  `shares` is None without
    weights.  The jobs in `best_effort_ids` preempt nothing.  Executors at `suspect_addresses` may
    crash by themselves.  `budget` is the work that is left for this pass, in tasks to place,
    and `start_slots` how many tasks of other priorities than 0 may still be placed outside gangs.
    The `reserved_jobs`, which have reservations, and a task of each of the `due_jobs` are placed
    before the other tasks of lower priorities.
    `compared_count` is how many executors were compared for the placement that is about to be
    committed, None for all.
    """

    context: Context
    usable: UsableExecutors
    now_ms: int
    used_by_workspace: dict[str, int]
    victims: VictimIndex
    shares: Shares | None = None
    failed_quota_searches: dict[str, Resources] = field(default_factory=dict)
    best_effort_ids: set[str] = field(default_factory=set)
    suspect_addresses: set[str] = field(default_factory=set)
    budget: int = PASS_BUDGET
    start_slots: int = 0
    due_jobs: list[Job] = field(default_factory=list)
    reserved_jobs: list[Job] = field(default_factory=list)
    compared_count: int | None = None
    _slots_by_reach: dict[tuple[str, Reach], ServiceSlots] = field(default_factory=dict)
    _shared_slots: dict[tuple[str, frozenset[str], Reach], ServiceSlots] = field(
        default_factory=dict
    )
    _held_by_service: dict[str, Mapping[str, Resources]] = field(default_factory=dict)
    _all_slots: list[ServiceSlots] = field(default_factory=list)
    _excluded_by_service: dict[str, SlotIndex] = field(default_factory=dict)
    _reclaimable_by_service: dict[str, SlotIndex] = field(default_factory=dict)

    def spend(self, tasks: int, executors: int) -> None:
        """Counts tasks that were placed and the executors that were compared for them."""
        self.budget -= tasks + executors // EXECUTORS_PER_TASK

    def slots_for(self, job: Job) -> ServiceSlots:
        """Returns the slots that the job prefers; only urgent jobs use the reserved headroom.

        A job with a reservation uses all but the room that is reserved for other such jobs.
        """
        if job.job_id in self.context.reservations.by_job:
            return self._slots_of_holder(job)
        reach = Reach.USABLE if job.queue.priority == 0 else Reach.UNRESERVED
        return self.slots_within(job.queue.service, reach)

    def slots_within(self, service: str, reach: Reach) -> ServiceSlots:
        """Returns the slots on the executors of a service that are within reach."""
        key = (service, reach)
        slots = self._slots_by_reach.get(key)
        if slots is not None:
            return slots
        executors = self.executors_within(service, reach)
        may_be_same = reach not in (Reach.USABLE, Reach.CLOSED, Reach.ALL)
        if may_be_same and len(executors) == len(self._usable_executors(service)):
            slots = self.slots_within(service, Reach.USABLE)  # The same executors, counted once.
        else:
            slots = self._make_slots(executors, self.held_room(service), reach)
        self._slots_by_reach[key] = slots
        return slots

    def held_room(self, service: str) -> Mapping[str, Resources]:
        """Returns the room that is reserved for single jobs, by executor."""
        held = self._held_by_service.get(service)
        if held is None:
            held = self.context.reservations.held_by_executor(service)
            self._held_by_service[service] = held
        return held

    def shared_slots(
        self, service: str, open_ids: frozenset[str], reach: Reach = Reach.SLOW
    ) -> ServiceSlots:
        """Returns the slots within reach with the room reserved for the jobs in `open_ids`."""
        key = (service, open_ids, reach)
        slots = self._shared_slots.get(key)
        if slots is None:
            held = self.context.reservations.held_by_executor(service, open_ids)
            executors = self.executors_within(service, reach)
            slots = self._shared_slots[key] = self._make_slots(executors, held, reach)
            slots.opens_reserved = bool(open_ids)
        return slots

    def slots_without(
        self, service: str, open_ids: frozenset[str], removed: Mapping[str, Resources]
    ) -> ServiceSlots:
        """Returns the slots of `shared_slots` as if some runs had ended, given what they use."""
        held = dict(self.context.reservations.held_by_executor(service, open_ids))
        for executor_id, amount in removed.items():
            held[executor_id] = held.get(executor_id, NO_RESOURCES).minus(amount)
        return self._make_slots(self.executors_within(service, Reach.SLOW), held, Reach.SLOW)

    def _slots_of_holder(self, job: Job) -> ServiceSlots:
        return self.shared_slots(job.queue.service, frozenset({job.job_id}))

    def _make_slots(
        self, executors: list[Executor], held: Mapping[str, Resources], reach: Reach
    ) -> ServiceSlots:
        includes_closed = reach in (Reach.CLOSED, Reach.ALL)
        free = SlotIndex(executors, _free_capacity_beside(held, includes_closed))
        slots = ServiceSlots(free, SlotIndex(executors, _capacity), held, reach)
        self._all_slots.append(slots)
        return slots

    def is_overdue(self, job: Job) -> bool:
        """Whether the job is to be placed even where it runs less well than elsewhere."""
        return self.context.waiting_jobs.is_overdue(job, self.now_ms)

    def reclaimable_slots(self, service: str) -> SlotIndex:
        """Returns the slots that are free if all runs of lower priority are preempted."""
        index = self._reclaimable_by_service.get(service)
        if index is None:
            executors = self.usable.by_service.get(service, [])
            index = SlotIndex(executors, self.victims.capacity_if_cleared)
            self._reclaimable_by_service[service] = index
        return index

    def excluded_slots(self, service: str) -> SlotIndex:
        """Returns the free slots on the executors that are taken for slow or avoided."""
        index = self._excluded_by_service.get(service)
        if index is None:
            index = SlotIndex(self.usable.excluded(service), _free_capacity)
            self._excluded_by_service[service] = index
        return index

    def record_changes(self, executor_ids: Iterable[str]) -> None:
        """Updates what is known of executors whose runs have changed, each once."""
        for executor_id in dict.fromkeys(executor_ids):
            self.record_change(executor_id)

    def record_change(self, executor_id: str) -> None:
        """Updates what is known of an executor whose runs have changed."""
        self.victims.forget(executor_id)
        for slots in self._all_slots:
            slots.free.update(executor_id)
        for indexes in (self._excluded_by_service, self._reclaimable_by_service):
            for index in indexes.values():
                index.update(executor_id)

    def _usable_executors(self, service: str) -> list[Executor]:
        return self.usable.by_service.get(service, [])

    def executors_within(self, service: str, reach: Reach) -> list[Executor]:
        """Returns the executors of a service that are within reach."""
        slow = self.usable.slow_by_service.get(service, [])
        closed = self.usable.closed_by_service.get(service, [])
        executors = self._usable_executors(service)
        match reach:
            case Reach.UNRESERVED:
                return self._without_headroom(service, executors)
            case Reach.USABLE:
                return executors
            case Reach.SLOW:
                return executors + slow
            case Reach.AVOIDED:
                return executors + self.usable.excluded(service)
            case Reach.CLOSED:
                return executors + slow + closed
            case Reach.ALL:
                failed = self.usable.failed_by_service.get(service, [])
                return executors + self.usable.excluded(service) + failed + closed

    def _without_headroom(self, service: str, executors: list[Executor]) -> list[Executor]:
        table = self.context.reservations
        closed = table.held_by_executor(service, table.job_ids_open_to_urgent(service, self.now_ms))
        shared = [item for item in executors if item.executor_id not in closed]
        reserved_ids = self.context.headroom.select_reserved_ids(shared, self.now_ms)
        if not reserved_ids:
            return executors
        self.context.waiting_jobs.note_reserved(service, len(reserved_ids))
        return [executor for executor in executors if executor.executor_id not in reserved_ids]


def count_used_accelerators(tables: Tables) -> dict[str, int]:
    """Returns the accelerators used by open jobs of priority 0, by workspace."""
    used: dict[str, int] = {}
    for job in tables.open_jobs_by_id.values():
        if job.queue.priority != 0:
            continue
        amount = sum(run.shape.accelerators for run in job.live_runs())
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return used


def _free_capacity(executor: Executor) -> Resources:
    return NO_RESOURCES if executor.is_closed else executor.free_resources


def _physical_capacity(executor: Executor) -> Resources:
    return executor.free_resources


def _free_capacity_beside(
    held: Mapping[str, Resources], includes_closed: bool
) -> Callable[[Executor], Resources]:
    """Returns a function that gives the free capacity of an executor without reserved room."""
    capacity_of = _physical_capacity if includes_closed else _free_capacity
    if not held:
        return capacity_of

    def free_capacity_beside(executor: Executor) -> Resources:
        amount = held.get(executor.executor_id)
        free = capacity_of(executor)
        return free if amount is None else free.minus(amount)

    return free_capacity_beside


def _capacity(executor: Executor) -> Resources:
    return executor.listing.capacity
