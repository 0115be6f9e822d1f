"""What operators see of each workspace: use, quota, share and held jobs."""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import Resources
from jacinthreel_steps._workspaces._shares import dominant_share, sum_capacity


@dataclass(frozen=True, slots=True)
class WorkspaceSummary:
    """A workspace's use by runs and claims; `quota` and `weight` are None if it has none.

    `share` is its dominant share of the capacity of the listed executors.
    """

    workspace: str
    running: Resources
    claimed: Resources
    quota: Resources | None
    weight: float | None
    share: float
    held_jobs: int


def summarize_workspaces(context: Context) -> list[WorkspaceSummary]:
    """Returns a summary of each workspace with a quota, a weight or usage, by name.

    Returns none while the configuration has neither quotas nor weights.
    """
    policy = context.tables.policy
    quotas, weights = policy.quota_by_workspace, policy.weight_by_workspace
    if not quotas and not weights:
        return []
    executors = context.tables.executors_by_id.values()
    capacity = sum_capacity(executor for executor in executors if executor.is_listed)
    held = context.held_jobs.count_by_workspace(context.tables)
    return [
        WorkspaceSummary(
            workspace,
            context.usage.running(workspace),
            context.usage.claimed(workspace),
            quotas.get(workspace),
            weights.get(workspace),
            dominant_share(context.usage.total(workspace), capacity),
            held.get(workspace, 0),
        )
        for workspace in sorted(quotas.keys() | weights.keys() | context.usage.workspaces())
    ]
