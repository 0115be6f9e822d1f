"""Builds the status reply of a shard for operators."""

from __future__ import annotations

from jacinthreel_common import (
    CELL_ACCELERATORS,
    ShardStatusReply,
    WorkerStatus,
    Workspace,
    WorkspaceStatus,
)
from jacinthreel_jobs import Tables


def summarize_shard(tables: Tables, epoch: int, host_id: str, now_ms: int) -> ShardStatusReply:
    """Returns the status of the workers, workspaces and jobs in a shard's tables."""
    jobs_by_state: dict[str, int] = {}
    for job in tables.jobs_by_id.values():
        jobs_by_state[job.state.value] = jobs_by_state.get(job.state.value, 0) + 1
    oldest_ms = min((job.submitted_ms for job in tables.queued_by_id.values()), default=now_ms)
    workspaces = tables.config.workspaces if tables.config is not None else {}
    return ShardStatusReply(
        shard=tables.shard,
        epoch=epoch,
        host_id=host_id,
        config_version=tables.config.version if tables.config is not None else 0,
        workers=_worker_statuses(tables),
        workspaces=[_workspace_status(tables, workspaces[name]) for name in sorted(workspaces)],
        jobs_by_state=jobs_by_state,
        longest_wait_s=max(0, now_ms - oldest_ms) / 1000,
    )


def _worker_statuses(tables: Tables) -> list[WorkerStatus]:
    return [
        WorkerStatus(
            worker.worker_id,
            worker.zone,
            worker.rack,
            worker.health.value,
            worker.accelerators,
            worker.free_accelerators,
            len(worker.held),
        )
        for _, worker in sorted(tables.workers_by_id.items())
    ]


def _workspace_status(tables: Tables, workspace: Workspace) -> WorkspaceStatus:
    name = workspace.name
    active = [j for j in tables.active_by_id.values() if j.record.spec.workspace == name]
    queued = [j for j in tables.queued_by_id.values() if j.record.spec.workspace == name]
    return WorkspaceStatus(
        workspace=name,
        guaranteed=sum(CELL_ACCELERATORS[g.cell] * g.count for g in workspace.guarantee),
        used=sum(job.record.spec.accelerators for job in active),
        borrowed=sum(job.record.spec.accelerators for job in active if job.record.borrowed),
        queued_jobs=len(queued),
        active_jobs=len(active),
    )
