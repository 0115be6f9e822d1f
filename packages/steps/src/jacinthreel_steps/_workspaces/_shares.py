"""The shares of workspaces in the capacity, and which of them are over their entitlement.

A workspace's dominant share is the largest of its shares of processors, memory and accelerators.
A workspace is over its entitlement if its dominant share, divided by its weight, is above the
weighted average of the workspaces that compete for capacity.  Workspaces whose jobs are all placed
or held by their quota do not compete.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._tables import Executor
from jacinthreel_steps._workspaces._usage import WorkspaceUsage

DEFAULT_WEIGHT: Final = 1.0  # Of workspaces without a weight, once others have one.
TOLERANCE: Final = 1e-9  # Rounding errors of sums of shares stay below this.


def sum_capacity(executors: Iterable[Executor]) -> Resources:
    """Returns the capacity of all the executors."""
    total = NO_RESOURCES
    for executor in executors:
        total = total.plus(executor.listing.capacity)
    return total


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Returns the largest share of the three amounts; amounts without capacity are ignored.

    >>> dominant_share(Resources(1_000, 0, 6), Resources(10_000, 1_000, 8))
    0.75
    """
    return max(
        used.cpu_milli / capacity.cpu_milli if capacity.cpu_milli else 0.0,
        used.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        used.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
    )


class Shares:
    """The shares during one scheduling pass; `refresh` after the usage of a workspace changed."""

    def __init__(
        self,
        usage: WorkspaceUsage,
        weights: Mapping[str, float],
        capacity: Resources,
        competing: Iterable[str],
    ) -> None:
        self._usage = usage
        self._weights = weights
        self._capacity = capacity
        self._share_by_competitor = {workspace: self._share(workspace) for workspace in competing}
        self._share_sum = sum(self._share_by_competitor.values())
        self._weight_sum = sum(self._weight(workspace) for workspace in self._share_by_competitor)

    def weighted_share(self, workspace: str) -> float:
        """Returns the workspace's dominant share, divided by its weight."""
        return self._share(workspace) / self._weight(workspace)

    def is_over_entitlement(self, workspace: str) -> bool:
        """Whether the workspace uses more than its entitlement."""
        if not self._weight_sum:
            return False
        return self.weighted_share(workspace) > self._share_sum / self._weight_sum + TOLERANCE

    def refresh(self, workspace: str) -> None:
        """Updates the average after a change of a competing workspace's usage."""
        share = self._share(workspace)
        self._share_sum += share - self._share_by_competitor.get(workspace, share)
        if workspace in self._share_by_competitor:
            self._share_by_competitor[workspace] = share

    def _share(self, workspace: str) -> float:
        return dominant_share(self._usage.total(workspace), self._capacity)

    def _weight(self, workspace: str) -> float:
        return self._weights.get(workspace, DEFAULT_WEIGHT)
