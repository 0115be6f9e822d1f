"""What is in use of the executors of each service."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from jacinthreel_steps._model import NO_RESOURCES, Resources, StepSpec
from jacinthreel_steps._tables import Tables


@dataclass(slots=True)
class ServiceUse:
    """The capacity of a service, on executors that stay, and what is in use of it.

    `at_work` is what runs hold, until they are known to have ended.  `untracked` is what those
    reported runs hold that no task has, `claimed` what is kept for jobs of priority 0 until
    preempted runs have ended.  `leaving` is what runs hold of executors that drain, or are out of
    the registry or in a zone out of service.  `executors_by_kind` counts the executors that stay by
    capacity and labels.
    """

    capacity: Resources = NO_RESOURCES
    at_work: Resources = NO_RESOURCES
    untracked: Resources = NO_RESOURCES
    claimed: Resources = NO_RESOURCES
    leaving: Resources = NO_RESOURCES
    executors_by_kind: Counter[tuple[Resources, frozenset[str]]] = field(default_factory=Counter)

    def percent_used(self) -> Resources:
        """Returns what runs hold, in percent of the capacity; claims don't count."""
        held = self.at_work.plus(self.untracked)
        return Resources(
            _percent(held.cpu_milli, self.capacity.cpu_milli),
            _percent(held.memory_mb, self.capacity.memory_mb),
            _percent(held.accelerators, self.capacity.accelerators),
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
    """Returns what is in use of each service, by its name."""
    use_by_service: dict[str, ServiceUse] = {}
    for executor in tables.executors_by_id.values():
        listing = executor.listing
        use = use_by_service.setdefault(listing.service, ServiceUse())
        at_work = executor.used
        if executor.claimed is not NO_RESOURCES:
            at_work = at_work.minus(executor.claimed)
        is_leaving = not executor.is_listed or listing.is_draining
        if is_leaving or listing.zone in tables.policy.zones_out_of_service:
            use.leaving = use.leaving.plus(at_work).plus(executor.untracked)
            continue
        use.capacity = use.capacity.plus(listing.capacity)
        use.executors_by_kind[listing.capacity, listing.labels] += 1
        if at_work is not NO_RESOURCES:
            use.at_work = use.at_work.plus(at_work)
        if executor.untracked is not NO_RESOURCES:
            use.untracked = use.untracked.plus(executor.untracked)
        if executor.claimed is not NO_RESOURCES:
            use.claimed = use.claimed.plus(executor.claimed)
    return use_by_service


def _percent(amount: int, capacity: int) -> int:
    return round(100 * amount / capacity) if capacity else 0
