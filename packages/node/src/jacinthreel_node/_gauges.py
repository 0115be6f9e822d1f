"""Metric gauges of a node: store and ownership status, and job and executor counts of an owner."""

from __future__ import annotations

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._workspace_gauges import WorkspaceGauges
from jacinthreel_steps import MAX_REPORT_AGE_MS


def set_gauges(
    metrics: MetricsRegistry,
    workspace_gauges: WorkspaceGauges,
    ownership: Ownership | None,
    policy_version: int,
    is_store_lost: bool,
    now_ms: int,
) -> None:
    """Sets all gauges; the ones about jobs and executors are 0 unless the node is the owner."""
    metrics.gauge("policy_version", policy_version)
    metrics.gauge("store_lost", int(is_store_lost))
    metrics.gauge("owner_epoch", ownership.epoch if ownership is not None else 0)
    open_jobs = waiting_jobs = runs = listed = responsive = long_leases = 0
    if ownership is not None:
        long_leases = ownership.long_lease_count
        tables = ownership.scheduler.tables
        open_jobs = len(tables.open_jobs_by_id)
        waiting_jobs = sum(ownership.scheduler.waiting_by_queue().values())
        for executor in tables.executors_by_id.values():
            runs += len(executor.runs_by_task)
            listed += executor.is_listed
            responsive += now_ms - executor.last_report_ms <= MAX_REPORT_AGE_MS
    workspace_gauges.set_all(
        ownership.scheduler.workspace_summaries() if ownership is not None else []
    )
    metrics.gauge("jobs_open", open_jobs)
    metrics.gauge("jobs_waiting", waiting_jobs)
    metrics.gauge("runs_held", runs)
    metrics.gauge("executors_listed", listed)
    metrics.gauge("executors_heard", responsive)
    metrics.gauge("executors_long_lease", long_leases)
