"""Builds the shard summary and the job list that operators and callers query."""

from __future__ import annotations

from typing import Any

from jacinthreel_common import JobRecord, JobState, to_plain
from jacinthreel_jobs._context import ShardContext


def shard_status(ctx: ShardContext) -> dict[str, Any]:
    """Returns the summary of a shard: ownership, jobs by state, workers and workspaces."""
    tables = ctx.tables
    jobs_by_state = {state.value: 0 for state in JobState}
    for job in tables.jobs_by_id.values():
        jobs_by_state[job.record.state.value] += 1
    return {
        "shard": tables.shard,
        "epoch": ctx.epoch,
        "lease_valid": ctx.lease_valid,
        "lease_left_ms": max(0, ctx.lease_until_ms - ctx.now_ms) if ctx.owns else 0,
        "config_version": tables.config.version if tables.config else 0,
        "queued": len(tables.queued_by_id),
        "active": len(tables.active_by_id),
        "jobs_by_state": jobs_by_state,
        "workers": _summarize_workers(ctx),
        "workspaces": _summarize_workspaces(ctx),
    }


def _summarize_workers(ctx: ShardContext) -> list[dict[str, Any]]:
    return [
        {
            "worker_id": worker.worker_id,
            "zone": worker.zone,
            "rack": worker.rack,
            "health": worker.health.value,
            "accelerators": worker.accelerators,
            "used_accelerators": worker.accelerators - worker.free_accelerators,
            "tasks": len(worker.held),
        }
        for worker in ctx.tables.workers_by_id.values()
    ]


def _summarize_workspaces(ctx: ShardContext) -> list[dict[str, Any]]:
    used: dict[str, int] = {}
    borrowed: dict[str, int] = {}
    queued: dict[str, int] = {}
    for job in ctx.tables.active_by_id.values():
        spec = job.record.spec
        used[spec.workspace] = used.get(spec.workspace, 0) + spec.accelerators
        if job.record.borrowed:
            borrowed[spec.workspace] = borrowed.get(spec.workspace, 0) + spec.accelerators
    for job in ctx.tables.queued_by_id.values():
        queued[job.record.spec.workspace] = queued.get(job.record.spec.workspace, 0) + 1
    workspaces = ctx.tables.config.workspaces if ctx.tables.config else {}
    return [
        {
            "name": name,
            "guarantee": to_plain(workspace.guarantee),
            "used_accelerators": used.get(name, 0),
            "borrowed_accelerators": borrowed.get(name, 0),
            "queued_jobs": queued.get(name, 0),
        }
        for name, workspace in workspaces.items()
    ]


def list_records(
    ctx: ShardContext, job_id: str, workspace: str, state: str, limit: int
) -> list[JobRecord]:
    """Returns the records of matching jobs, newest first; empty strings match all."""
    if job_id:
        job = ctx.tables.jobs_by_id.get(job_id)
        return [job.record] if job is not None else []
    records: list[JobRecord] = []
    for job in reversed(ctx.tables.jobs_by_id.values()):
        if len(records) >= limit:
            break
        record = job.record
        if workspace and record.spec.workspace != workspace:
            continue
        if state and record.state != state:
            continue
        records.append(record)
    return records
