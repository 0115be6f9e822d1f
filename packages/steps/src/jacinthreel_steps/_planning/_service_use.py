"""What is in use of the executors of each service."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from jacinthreel_steps._model import NO_RESOURCES, Resources, StepSpec, sum_resources
from jacinthreel_steps._tables import Executor, Tables


@dataclass(slots=True)
class ServiceUse:
    """The executors of a service, and what is in use of them.

    `staying` are those that are listed, don't drain and are in no zone out of service, `leaving`
    the others.
    """

    staying: list[Executor] = field(default_factory=list)
    leaving: list[Executor] = field(default_factory=list)
    _executors_by_kind: Counter[tuple[Resources, frozenset[str]]] | None = None

    def sum_capacity(self) -> Resources:
        """Returns the capacity of the executors that stay."""
        return sum_resources(executor.listing.capacity for executor in self.staying)

    def percent_used(self) -> Resources:
        """Returns what runs hold of those that stay, in percent; claims don't count."""
        held = sum_at_work(self.staying).plus(sum_untracked(self.staying))
        capacity = self.sum_capacity()
        return Resources(
            _percent(held.cpu_milli, capacity.cpu_milli),
            _percent(held.memory_mb, capacity.memory_mb),
            _percent(held.accelerators, capacity.accelerators),
        )

    def count_slots_if_empty(self, spec: StepSpec) -> int:
        """Returns how many tasks of a step fit on those that stay if nothing is in use."""
        if self._executors_by_kind is None:
            self._executors_by_kind = Counter(
                (executor.listing.capacity, executor.listing.labels) for executor in self.staying
            )
        total = 0
        for (capacity, labels), executors in self._executors_by_kind.items():
            if spec.required_label and spec.required_label not in labels:
                continue
            total += executors * spec.shape.count_fitting_into(capacity)
        return total


def find_use_by_service(tables: Tables) -> dict[str, ServiceUse]:
    """Returns the executors of each service, by its name."""
    zones_out_of_service = tables.policy.zones_out_of_service
    use_by_service: dict[str, ServiceUse] = {}
    for executor in tables.executors_by_id.values():
        listing = executor.listing
        use = use_by_service.get(listing.service)
        if use is None:
            use = use_by_service[listing.service] = ServiceUse()
        is_leaving = not executor.is_listed or listing.is_draining
        if is_leaving or listing.zone in zones_out_of_service:
            use.leaving.append(executor)
        else:
            use.staying.append(executor)
    return use_by_service


def sum_at_work(executors: list[Executor]) -> Resources:
    """Returns what runs hold until they are known to have ended."""
    used = sum_resources(executor.used for executor in executors)
    return used.minus(sum_claimed(executors))


def sum_claimed(executors: list[Executor]) -> Resources:
    """Returns what is kept for jobs of priority 0 until preempted runs have ended."""
    claims = (executor.claimed for executor in executors)
    return sum_resources(claimed for claimed in claims if claimed is not NO_RESOURCES)


def sum_untracked(executors: list[Executor]) -> Resources:
    """Returns what those reported runs hold that no task has."""
    amounts = (executor.life.untracked for executor in executors)
    return sum_resources(untracked for untracked in amounts if untracked is not NO_RESOURCES)


def _percent(amount: int, capacity: int) -> int:
    return round(100 * amount / capacity) if capacity else 0
