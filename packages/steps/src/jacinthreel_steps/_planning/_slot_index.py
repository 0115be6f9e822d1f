"""Counts the tasks of a shape that still fit, by executor and by rack, during a scheduling pass.

The counts of a shape are computed when they are first asked for, and `update` keeps them current
when the capacity of an executor changes.  A step that fits nowhere is then recognized without
looking at any executor.

Targets clusters with hundreds of executors and a long queue: most waiting steps don't fit, and
checking each of them against each executor takes longer than the interval between passes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jacinthreel_steps._model import Resources
from jacinthreel_steps._tables import Executor

CapacityOf = Callable[[Executor], Resources]
"""Returns the capacity of an executor that is available to a task."""


@dataclass(slots=True)
class ShapeSlots:
    """How many tasks of one shape fit: on each executor with at least one, by rack, and in all."""

    by_executor_id: dict[str, int] = field(default_factory=dict)
    by_rack: dict[str, int] = field(default_factory=dict)
    total: int = 0

    @property
    def widest_rack(self) -> int:
        """How many tasks fit on the rack with the most slots."""
        return max(self.by_rack.values(), default=0)

    def set_count(self, executor: Executor, count: int) -> None:
        """Replaces the count of one executor."""
        executor_id = executor.executor_id
        change = count - self.by_executor_id.pop(executor_id, 0)
        if count:
            self.by_executor_id[executor_id] = count
        rack = executor.listing.rack
        self.by_rack[rack] = self.by_rack.get(rack, 0) + change
        self.total += change


@dataclass(frozen=True, slots=True)
class Room:
    """How much room a selection of executors has to have at least.

    Racks with fewer than `slots_in_each_rack` are left out, and `first_rack` comes first, "" for
    none.
    """

    executors: int
    slots: int
    slots_in_each_rack: int = 0
    first_rack: str = ""


class SlotIndex:
    """The slots of all shapes asked for so far on a fixed set of executors.

    `capacity_of` determines which capacity counts, for example the free one.  Limits per executor
    (`StepSpec.max_per_executor`) are not considered, so for such steps the counts are upper bounds.
    """

    def __init__(self, executors: Sequence[Executor], capacity_of: CapacityOf) -> None:
        self.executors = executors
        self._capacity_of = capacity_of
        self._executors_by_id = {executor.executor_id: executor for executor in executors}
        self._slots_by_shape: dict[tuple[str, Resources], ShapeSlots] = {}
        self._ids_by_rack: dict[str, list[str]] = {}
        for executor_id, executor in self._executors_by_id.items():
            self._ids_by_rack.setdefault(executor.listing.rack, []).append(executor_id)

    def slots(self, label: str, shape: Resources) -> ShapeSlots:
        """Returns the slots of a shape on the executors with the label; "" stands for any."""
        key = (label, shape)
        slots = self._slots_by_shape.get(key)
        if slots is not None:
            return slots
        slots = ShapeSlots()
        for executor in self.executors:
            if label and label not in executor.listing.labels:
                continue
            count = shape.count_fitting_into(self._capacity_of(executor))
            if count:
                slots.set_count(executor, count)
        self._slots_by_shape[key] = slots
        return slots

    def fitting_executors(self, label: str, shape: Resources) -> list[Executor]:
        """Returns the executors on which at least one task fits, in the order of `executors`."""
        by_executor_id = self.slots(label, shape).by_executor_id
        if len(by_executor_id) == len(self.executors):
            return list(self.executors)
        return [item for item in self.executors if item.executor_id in by_executor_id]

    def select_fitting(
        self,
        label: str,
        shape: Resources,
        room: Room,
        is_preferred: Callable[[Executor], bool],
    ) -> list[Executor]:
        """Returns executors on which at least one task fits: whole racks, until they have `room`.

        Only slots of preferred executors count, and only racks with enough of them.  Returns all
        fitting executors if there is not enough room.
        """
        slots = self.slots(label, shape)
        chosen: list[Executor] = []
        preferred_slots = 0
        for rack in dict.fromkeys((room.first_rack, *self._ids_by_rack)):
            if slots.by_rack.get(rack, 0) < max(1, room.slots_in_each_rack):
                continue
            rack_slots = 0
            for executor_id in self._ids_by_rack.get(rack, ()):
                count = slots.by_executor_id.get(executor_id)
                if count is None:
                    continue
                executor = self._executors_by_id[executor_id]
                chosen.append(executor)
                if is_preferred(executor):
                    rack_slots += count
            if rack_slots >= room.slots_in_each_rack:
                preferred_slots += rack_slots
            if len(chosen) >= room.executors and preferred_slots >= room.slots:
                return chosen
        return self.fitting_executors(label, shape)

    def update(self, executor_id: str) -> None:
        """Recomputes the counts of an executor; a no-op for one that is not in the index."""
        executor = self._executors_by_id.get(executor_id)
        if executor is None:
            return
        capacity = self._capacity_of(executor)
        for (label, shape), slots in self._slots_by_shape.items():
            if label and label not in executor.listing.labels:
                continue
            slots.set_count(executor, shape.count_fitting_into(capacity))
