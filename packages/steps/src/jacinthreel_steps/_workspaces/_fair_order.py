"""The order of jobs where the configuration has quotas or weights.

Within priority 0, jobs within the guarantee of their workspace go first.  Within each priority,
jobs submitted beyond the rate of their workspace go last, and preempt nothing unless they are
guaranteed.  With weights, jobs of workspaces over their entitlement go after the others of their
group, each time one of the workspace with the lowest weighted share, so that capacity is divided by
weight also among them.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from itertools import groupby

from jacinthreel_steps._context import Context
from jacinthreel_steps._planning._job_order import job_sort_key
from jacinthreel_steps._planning._pass_state import PassState
from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._tables import Job
from jacinthreel_steps._workspaces._shares import Shares, sum_capacity

ScheduleJob = Callable[[PassState, Job], None]
GroupKey = tuple[bool, int, bool, bool]
"""Whether the result is useless; the priority; whether not guaranteed; whether beyond the rate."""


def make_shares(context: Context, usable: UsableExecutors, jobs: Iterable[Job]) -> Shares | None:
    """Returns the shares at the start of a pass, None without weights."""
    weights = context.tables.policy.weight_by_workspace
    if not weights:
        return None
    competing = {
        job.record.workspace
        for job in jobs
        if job.job_id not in context.held_jobs and any(map(job.pending_tasks, job.steps))
    }
    executors = [item for items in usable.by_service.values() for item in items]
    return Shares(context.usage, weights, sum_capacity(executors), sorted(competing))


def schedule_in_fair_order(state: PassState, ordered: list[Job], schedule: ScheduleJob) -> None:
    """Schedules all jobs; `ordered` is their order within a group."""
    guaranteed_ids = _find_guaranteed_jobs(state, ordered)

    def group_key(job: Job) -> GroupKey:
        is_useless, priority = job_sort_key(job, state.now_ms)[:2]
        return (is_useless, priority, job.job_id not in guaranteed_ids, _exceeds_rate(state, job))

    grouped = sorted(ordered, key=group_key)
    state.best_effort_ids.update(
        job.job_id
        for job in ordered
        if job.job_id not in guaranteed_ids and _exceeds_rate(state, job)
    )
    for key, group in groupby(grouped, key=group_key):
        is_guaranteed = not key[2]
        if state.shares is None or is_guaranteed:
            for job in group:
                schedule(state, job)
        else:
            _schedule_by_share(state, state.shares, group, schedule)


def _schedule_by_share(
    state: PassState, shares: Shares, jobs: Iterable[Job], schedule: ScheduleJob
) -> None:
    """Schedules the jobs of workspaces within their entitlement, then the others."""
    deferred: dict[str, deque[Job]] = {}
    for job in jobs:
        workspace = job.record.workspace
        if shares.is_over_entitlement(workspace):
            deferred.setdefault(workspace, deque()).append(job)
            continue
        schedule(state, job)
        shares.refresh(workspace)
    queue = [(shares.weighted_share(workspace), workspace) for workspace in deferred]
    heapq.heapify(queue)
    while queue:
        _, workspace = heapq.heappop(queue)
        schedule(state, deferred[workspace].popleft())
        shares.refresh(workspace)
        if deferred[workspace]:
            heapq.heappush(queue, (shares.weighted_share(workspace), workspace))


def _exceeds_rate(state: PassState, job: Job) -> bool:
    weight = state.context.tables.policy.weight_by_workspace.get(job.record.workspace)
    return state.context.arrivals.exceeds_rate(job, weight)


def _find_guaranteed_jobs(state: PassState, ordered: list[Job]) -> set[str]:
    """Returns the jobs of priority 0 whose pending tasks are within the guarantee together.

    Jobs beyond the rate of their workspace are counted after its other jobs.
    """
    guaranteed = state.context.tables.policy.guaranteed_accelerators_by_workspace
    used = dict(state.used_by_workspace)
    urgent = [
        job for job in ordered if job.queue.priority == 0 and guaranteed.get(job.record.workspace)
    ]
    urgent.sort(key=lambda job: _exceeds_rate(state, job))
    job_ids: set[str] = set()
    for job in urgent:
        needed = sum(
            len(job.pending_tasks(step)) * step.spec.shape.accelerators for step in job.steps
        )
        workspace = job.record.workspace
        if used.get(workspace, 0) + needed <= guaranteed[workspace]:
            used[workspace] = used.get(workspace, 0) + needed
            job_ids.add(job.job_id)
    return job_ids
