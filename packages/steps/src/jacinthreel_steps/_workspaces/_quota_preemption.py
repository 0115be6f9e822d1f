"""Chooses which runs of its own workspace a job of priority 0 preempts if the quota is full.

Such a job must not wait for runs of lower priority of the same workspace that fill the quota, just
as it does not wait for runs that fill the executors.  The cheapest of them are stopped.  Runs that
are already stopping are expected to free their part of the quota, unless the stop takes so long
that their executor may be ignoring it.
"""

from __future__ import annotations

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._planning._pass_state import PassState
from jacinthreel_steps._planning._victims import Victim
from jacinthreel_steps._workspaces._limits import (
    fits_empty_quota,
    is_not_negative,
    unused_quota,
    uses_exceeded_amount,
)


def find_quota_victims(
    state: PassState, workspace: str, shape: Resources, count: int
) -> list[Victim] | None:
    """Returns the victims whose part of the quota is needed for `count` tasks of a shape.

    Returns None if stopping all runs of lower priority would not suffice.
    """
    context = state.context
    quota = context.tables.policy.quota_by_workspace[workspace]
    if not fits_empty_quota(quota, count, shape):
        return None
    wanted = context.usage.total(workspace).plus(shape.times(count))
    failed = state.failed_quota_searches.get(workspace)
    if failed is not None and _is_at_least(wanted, failed):
        return None
    expected = wanted.minus(_stopping_soon(state, workspace))
    chosen: list[Victim] = []
    for victim in _find_own_victims(state, workspace):
        unused = unused_quota(quota, expected)
        if is_not_negative(unused):
            break
        amount = victim.resources
        if uses_exceeded_amount(unused, amount):
            chosen.append(victim)
            expected = expected.minus(amount)
    if not is_not_negative(unused_quota(quota, expected)):
        state.failed_quota_searches[workspace] = wanted
        return None
    return _drop_unneeded(chosen, quota, expected)


def _find_own_victims(state: PassState, workspace: str) -> list[Victim]:
    """Returns the victims of lower priority of a workspace, the cheapest first."""
    jobs = state.context.tables.jobs_by_id
    victims: dict[int, Victim] = {}
    for executors in state.usable.by_service.values():
        for executor in executors:
            for victim in state.victims.victims_on(executor):
                if victim.urgent_workspace is not None:
                    continue
                if jobs[victim.runs[0].run_id.task.job_id].record.workspace == workspace:
                    victims[id(victim)] = victim
    return sorted(victims.values(), key=lambda victim: victim.cost)


def _stopping_soon(state: PassState, workspace: str) -> Resources:
    """Returns the resources of those of the workspace's runs that are about to stop."""
    jobs = state.context.tables.jobs_by_id
    total = NO_RESOURCES
    for executor in state.context.tables.executors_by_id.values():
        for run in executor.runs_by_task.values():
            if not state.victims.is_about_to_stop(run):
                continue
            if jobs[run.run_id.task.job_id].record.workspace == workspace:
                total = total.plus(run.shape)
    return total


def _drop_unneeded(victims: list[Victim], quota: Resources, expected: Resources) -> list[Victim]:
    """Returns the victims without those that are not needed, the most expensive dropped first."""
    needed: list[Victim] = []
    for victim in reversed(victims):
        without = expected.plus(victim.resources)
        if is_not_negative(unused_quota(quota, without)):
            expected = without
        else:
            needed.append(victim)
    return needed


def _is_at_least(amount: Resources, other: Resources) -> bool:
    return is_not_negative(amount.minus(other))
