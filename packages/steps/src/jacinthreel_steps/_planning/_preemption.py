"""Chooses which runs to preempt so that a job fits.

Tasks are placed greedily, each where the least additional work is lost.  Preempting a gang frees
capacity on every executor that it uses, and its cost is counted once.  Runs that are already
stopping cost nothing, unless the stop takes so long that their executor may be ignoring it.

Runs of priority 0 are victims only as long as their workspace uses more than its guarantee,
counting the victims chosen before.

Targets urgent jobs on a full cluster: their guaranteed capacity has to be free within seconds.  The
offers of all executors are kept in a heap, and after each task only those of the executors that
it affects are computed again, so that a search over hundreds of executors takes milliseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._planning._placement import Candidate, Placement, Trust, group_by_rack
from jacinthreel_steps._planning._victims import (
    Victim,
    VictimIndex,
    capacity_freed_on,
)
from jacinthreel_steps._tables import Step, Task


@dataclass(slots=True)
class PreemptionPlan:
    """The placement of tasks and the victims to stop first."""

    placement: Placement
    victims: list[Victim]
    cost: float


@dataclass(order=True, slots=True)
class _Offer:
    """The victims to stop so that one more task fits on a candidate; the lowest is the best.

    `revision` is that of the candidate when the offer was made; an offer of an older revision is
    void.
    """

    cost: float
    entitled_victims: int
    trust: Trust
    free_accelerators: int
    candidate_index: int
    revision: int = field(compare=False)
    victims: list[Victim] = field(compare=False)


@dataclass(slots=True)
class _Search:
    """The state of one search: the victims chosen and the tasks placed so far.

    `available` is the capacity of each candidate that is free or being freed, less the tasks placed
    there.  `excess_by_workspace` is what each workspace uses beyond its guarantee, less the victims
    chosen from it.  All victims of a candidate before its entry in `first_victims` are chosen.
    """

    step: Step
    candidates: list[Candidate]
    available: list[Resources]
    victims: VictimIndex
    excess_by_workspace: dict[str, int]
    index_by_executor: dict[str, int]
    offers: list[_Offer] = field(default_factory=list)
    revisions: dict[int, int] = field(default_factory=dict)
    placed_counts: dict[int, int] = field(default_factory=dict)
    first_victims: dict[int, int] = field(default_factory=dict)
    chosen: list[Victim] = field(default_factory=list)
    chosen_ids: set[int] = field(default_factory=set)

    def choose(self, victim: Victim) -> None:
        """Adds a victim to those chosen."""
        self.chosen.append(victim)
        self.chosen_ids.add(id(victim))

    def remaining_victims(self, index: int) -> Iterator[Victim]:
        """Yields the victims of a candidate that are not chosen, the cheapest first."""
        victims = self.victims.victims_on(self.candidates[index].executor)
        first = self.first_victims.get(index, 0)
        while first < len(victims) and id(victims[first]) in self.chosen_ids:
            first += 1
        self.first_victims[index] = first
        for position in range(first, len(victims)):
            if id(victims[position]) not in self.chosen_ids:
                yield victims[position]


def plan_preemption(
    victims: VictimIndex,
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    excess_by_workspace: Mapping[str, int],
    chosen: Sequence[Victim] = (),
    kept: Mapping[str, Resources] = MappingProxyType({}),
) -> PreemptionPlan | None:
    """Returns the cheapest plan found that places all `tasks`, or None if there is none.

    `excess_by_workspace` holds the accelerators that workspaces use beyond their guarantee; only
    their runs of priority 0 may be preempted.  `chosen` are victims that are stopped in any case.
    `kept` is free capacity, by executor, that is left free.
    """
    if not step.spec.wants_one_rack:
        return _find_plan(victims, step, tasks, candidates, excess_by_workspace, chosen, kept)
    best: PreemptionPlan | None = None
    for rack_candidates in group_by_rack(candidates).values():
        plan = _find_plan(victims, step, tasks, rack_candidates, excess_by_workspace, chosen, kept)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _find_plan(
    victims: VictimIndex,
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    excess_by_workspace: Mapping[str, int],
    chosen: Sequence[Victim],
    kept: Mapping[str, Resources],
) -> PreemptionPlan | None:
    search = _Search(
        step,
        candidates,
        [
            victims.capacity_soon(item.executor).minus(
                kept.get(item.executor.executor_id, NO_RESOURCES)
            )
            for item in candidates
        ],
        victims,
        dict(excess_by_workspace),
        {item.executor.executor_id: index for index, item in enumerate(candidates)},
    )
    for victim in chosen:
        search.choose(victim)
        _free_capacity_of(search, victim)
    for index in range(len(candidates)):
        _make_offer(search, index)
    placement: Placement = []
    for task in tasks:
        offer = _take_best_offer(search)
        if offer is None:
            return None
        placement.append((task, candidates[offer.candidate_index].executor.executor_id))
        _accept_offer(search, offer)
    return PreemptionPlan(placement, search.chosen, sum(victim.cost for victim in search.chosen))


def _make_offer(search: _Search, index: int) -> None:
    """Adds the current offer of a candidate, if one more task fits there."""
    search.revisions[index] = search.revisions.get(index, 0) + 1
    victims = _find_needed_victims(search, index)
    if victims is None:
        return
    candidate = search.candidates[index]
    offer = _Offer(
        sum(victim.cost for victim in victims),
        sum(victim.is_entitled for victim in victims),
        candidate.trust,
        candidate.free_resources.accelerators,
        index,
        search.revisions[index],
        victims,
    )
    heapq.heappush(search.offers, offer)


def _take_best_offer(search: _Search) -> _Offer | None:
    """Removes and returns the best offer that is still valid."""
    while search.offers:
        offer = heapq.heappop(search.offers)
        if offer.revision == search.revisions[offer.candidate_index]:
            return offer
    return None


def _find_needed_victims(search: _Search, index: int) -> list[Victim] | None:
    """Returns the victims to stop so that one more task fits, or None if it can't fit."""
    candidate = search.candidates[index]
    if candidate.slots_left - search.placed_counts.get(index, 0) < 1:
        return None
    shape = search.step.spec.shape
    free = search.available[index]
    needed: list[Victim] = []
    if shape.count_fitting_into(free) >= 1:
        return needed
    taken_by_workspace: dict[str, int] = {}
    for victim in search.remaining_victims(index):
        if not _is_preemptible(search, victim, taken_by_workspace):
            continue
        needed.append(victim)
        if victim.urgent_workspace is not None:
            taken = taken_by_workspace.get(victim.urgent_workspace, 0)
            taken_by_workspace[victim.urgent_workspace] = taken + victim.accelerators
        free = free.plus(capacity_freed_on(victim, candidate.executor.executor_id))
        if shape.count_fitting_into(free) >= 1:
            return needed
    return None


def _is_preemptible(search: _Search, victim: Victim, taken_by_workspace: dict[str, int]) -> bool:
    """Whether the victim has a lower priority or its workspace still exceeds its guarantee."""
    workspace = victim.urgent_workspace
    if workspace is None:
        return True
    excess = search.excess_by_workspace.get(workspace, 0)
    return excess > taken_by_workspace.get(workspace, 0)


def _accept_offer(search: _Search, offer: _Offer) -> None:
    """Places one task by an offer, and renews the offers of all candidates that it affects."""
    affected = {offer.candidate_index: None}
    for victim in offer.victims:
        search.choose(victim)
        workspace = victim.urgent_workspace
        if workspace is not None:
            search.excess_by_workspace[workspace] -= victim.accelerators
            affected.update(dict.fromkeys(range(len(search.candidates))))
        affected.update(dict.fromkeys(_free_capacity_of(search, victim)))
    placed_index = offer.candidate_index
    placed_count = search.placed_counts.get(placed_index, 0)
    search.placed_counts[placed_index] = placed_count + 1
    search.available[placed_index] = search.available[placed_index].minus(search.step.spec.shape)
    for index in affected:
        _make_offer(search, index)


def _free_capacity_of(search: _Search, victim: Victim) -> list[int]:
    """Counts the victim's capacity as available; returns the candidates that it affects."""
    affected: list[int] = []
    for run in victim.runs:
        index = search.index_by_executor.get(run.executor_id)
        if index is not None:
            search.available[index] = search.available[index].plus(run.shape)
            affected.append(index)
    return affected
