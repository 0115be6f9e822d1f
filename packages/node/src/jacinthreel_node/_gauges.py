"""Metric gauges of a node: store and ownership status, and job and executor counts of an owner."""

from __future__ import annotations

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._admission_control import FORECAST_MAX_AGE_MS
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._routing import RoutingPolicy
from jacinthreel_node._workspace_gauges import WorkspaceGauges
from jacinthreel_steps import MAX_REPORT_AGE_MS


def set_gauges(
    metrics: MetricsRegistry,
    workspace_gauges: WorkspaceGauges,
    ownership: Ownership | None,
    policy_version: int,
    is_store_lost: bool,
    relay_executor_count: int,
    now_ms: int,
) -> None:
    """Sets all gauges; the ones about jobs and executors are 0 unless the node is the owner."""
    metrics.gauge("policy_version", policy_version)
    metrics.gauge("store_lost", int(is_store_lost))
    metrics.gauge("owner_epoch", ownership.epoch if ownership is not None else 0)
    open_jobs = waiting_jobs = runs = listed = responsive = 0
    long_leases = slow = run_time_queues = 0
    ready_relays = relayed = direct = 0
    suspects = 0
    former_wait_ms = unanswered = 0
    if ownership is not None:
        long_leases = ownership.long_lease_count
        tables = ownership.scheduler.tables
        open_jobs = len(tables.open_jobs_by_id)
        run_time_queues = len(ownership.scheduler.run_times())
        waiting_jobs = sum(ownership.scheduler.waiting_by_queue().values())
        for executor in tables.executors_by_id.values():
            runs += len(executor.runs_by_task)
            listed += executor.is_listed
            slow += executor.health.slow_until_ms > now_ms
            responsive += now_ms - executor.last_report_ms <= MAX_REPORT_AGE_MS
        ready_relays = ownership.fleet.relays.ready_count
        relayed = ownership.fleet.relays.assigned_count
        direct = ownership.fleet.direct_count
        suspects = ownership.scheduler.suspect_count
        former_wait_ms = ownership.former_leases.wait_ms(now_ms)
        unanswered = len(ownership.earlier_leases().left_ms_by_executor)
    workspace_gauges.set_all(
        ownership.scheduler.workspace_summaries() if ownership is not None else []
    )
    metrics.gauge("relays_ready", ready_relays)
    metrics.gauge("executors_relayed", relayed)
    metrics.gauge("executors_linked", direct)
    metrics.gauge("relay_executors", relay_executor_count)
    metrics.gauge("jobs_open", open_jobs)
    metrics.gauge("jobs_waiting", waiting_jobs)
    metrics.gauge("runs_held", runs)
    metrics.gauge("executors_listed", listed)
    metrics.gauge("executors_heard", responsive)
    metrics.gauge("executors_long_lease", long_leases)
    metrics.gauge("executors_slow", slow)
    metrics.gauge("former_leases_wait_ms", former_wait_ms)
    metrics.gauge("executors_unanswered", unanswered)
    metrics.gauge("tasks_suspected", suspects)
    metrics.gauge("run_time_queues", run_time_queues)


def set_forecast_gauges(
    metrics: MetricsRegistry, policy: RoutingPolicy | None, owner_view: OwnerView
) -> None:
    """Sets the predicted wait for each priority of a queue; 0 without a current forecast."""
    current = owner_view.current_forecast(FORECAST_MAX_AGE_MS)
    waits = current[0].wait_by_priority() if current is not None else {}
    priorities = {route.queue.priority for route in policy.routes} if policy is not None else set()
    for priority in sorted(priorities | waits.keys()):
        metrics.gauge(f'predicted_wait_ms{{priority="{priority}"}}', waits.get(priority, 0))
