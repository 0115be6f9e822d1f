"""Samples what the owner believes to be in use, and how long the oldest job waits.

The sums can be compared with the executors' own lists of runs: a difference that lasts is capacity
that the owner keeps for runs that no executor has, or gives away twice.
"""

from __future__ import annotations

from typing import Any

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import Resources, sum_resources
from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._planning._service_use import ServiceUse, sum_use_by_service


def sample_use(context: Context, usable: UsableExecutors, now_ms: int) -> dict[str, Any]:
    """Returns the fields of a log line on what is in use after a scheduling pass."""
    services = {
        service: _describe_use(use, _sum_reserved(context, usable, service, now_ms))
        for service, use in sum_use_by_service(context.tables).items()
    }
    waits = context.passed_jobs.wait_by_job
    oldest_id = min(waits, key=lambda job_id: (waits[job_id].since_ms, job_id), default="")
    return {
        "services": services,
        "waiting_jobs": len(waits),
        "oldest_wait_ms": now_ms - waits[oldest_id].since_ms if oldest_id else 0,
        "oldest_job": oldest_id,
    }


def _sum_reserved(
    context: Context, usable: UsableExecutors, service: str, now_ms: int
) -> Resources:
    """Returns what is free on the executors that are reserved for urgent jobs."""
    executors = usable.by_service.get(service, [])
    reserved_ids = context.headroom.select_reserved_ids(executors, now_ms)
    return sum_resources(
        executor.free_resources for executor in executors if executor.executor_id in reserved_ids
    )


def _describe_use(use: ServiceUse, reserved: Resources) -> dict[str, dict[str, int]]:
    amounts = {
        "capacity": use.capacity,
        "at_work": use.at_work,
        "untracked": use.untracked,
        "claimed": use.claimed,
        "leaving": use.leaving,
        "reserved": reserved,
    }
    return {
        name: {
            "accelerators": amount.accelerators,
            "cpu_milli": amount.cpu_milli,
            "memory_mb": amount.memory_mb,
        }
        for name, amount in amounts.items()
    }
