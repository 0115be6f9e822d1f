"""What the quota of a workspace still admits.

New placements and claims have to fit within the quota together with all runs and claims of the
workspace.  A claim becomes a run only if it and the runs, without other claims, are within the
quota: a job that preempts runs of its own workspace makes its claims before they have ended.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import NO_RESOURCES, UNBOUNDED_FIT, Resources
from jacinthreel_steps._workspaces._limits import unused_quota, uses_exceeded_amount


def count_admitted(
    context: Context, workspace: str, shape: Resources, own_claims: Resources = NO_RESOURCES
) -> int:
    """Returns how many more runs or claims of a shape the workspace may have.

    `own_claims` are claims that the new runs replace.  A workspace without a quota may have
    `UNBOUNDED_FIT`.
    """
    quota = context.tables.policy.quota_by_workspace.get(workspace)
    if quota is None:
        return UNBOUNDED_FIT
    used = context.usage.total(workspace).minus(own_claims)
    return shape.count_fitting_into(unused_quota(quota, used))


def count_admitted_claims(context: Context, workspace: str, shape: Resources) -> int:
    """Returns how many claims of a shape the workspace may turn into runs now."""
    quota = context.tables.policy.quota_by_workspace.get(workspace)
    if quota is None:
        return UNBOUNDED_FIT
    return shape.count_fitting_into(unused_quota(quota, context.usage.running(workspace)))


def exceeds_quota(context: Context, workspace: str, shape: Resources) -> bool:
    """Whether the workspace's runs exceed its quota in an amount that the shape uses."""
    quota = context.tables.policy.quota_by_workspace.get(workspace)
    if quota is None:
        return False
    unused = unused_quota(quota, context.usage.running(workspace))
    return uses_exceeded_amount(unused, shape)
