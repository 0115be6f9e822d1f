"""What is in use of the executors of each service that stay."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from jacinthreel_steps._model import NO_RESOURCES, Resources, StepSpec
from jacinthreel_steps._tables import Tables


@dataclass(slots=True)
class ServiceUse:
    """The capacity of a service, and what runs and claims hold of it.

    `used` includes what is claimed.  `executors_by_kind` counts the executors by capacity and
    labels.
    """

    capacity: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    claimed: Resources = NO_RESOURCES
    executors_by_kind: Counter[tuple[Resources, frozenset[str]]] = field(default_factory=Counter)

    def percent_used(self) -> Resources:
        """Returns what runs hold, in percent of the capacity; claims don't count."""
        at_work = self.used.minus(self.claimed)
        return Resources(
            _percent(at_work.cpu_milli, self.capacity.cpu_milli),
            _percent(at_work.memory_mb, self.capacity.memory_mb),
            _percent(at_work.accelerators, self.capacity.accelerators),
        )

    def count_slots_if_empty(self, spec: StepSpec) -> int:
        """Returns how many tasks of a step fit if nothing is in use."""
        total = 0
        for (capacity, labels), executors in self.executors_by_kind.items():
            if spec.required_label and spec.required_label not in labels:
                continue
            total += executors * spec.shape.count_fitting_into(capacity)
        return total


def sum_use_by_service(tables: Tables) -> dict[str, ServiceUse]:
    """Returns what is in use of each service, on executors that are listed and stay."""
    use_by_service: dict[str, ServiceUse] = {}
    for executor in tables.executors_by_id.values():
        listing = executor.listing
        if not executor.is_listed or listing.is_draining:
            continue
        if listing.zone in tables.policy.zones_out_of_service:
            continue
        use = use_by_service.setdefault(listing.service, ServiceUse())
        use.capacity = use.capacity.plus(listing.capacity)
        use.executors_by_kind[listing.capacity, listing.labels] += 1
        if executor.used is not NO_RESOURCES:
            use.used = use.used.plus(executor.used)
        if executor.claimed is not NO_RESOURCES:
            use.claimed = use.claimed.plus(executor.claimed)
    return use_by_service


def _percent(amount: int, capacity: int) -> int:
    return round(100 * amount / capacity) if capacity else 0
