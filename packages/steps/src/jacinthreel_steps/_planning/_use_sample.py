"""Samples what the owner believes to be in use, and how long the oldest job waits.

The sums can be compared with the executors' own lists of runs: a difference that lasts is capacity
that the owner keeps for runs that no executor has, or gives away twice.
"""

from __future__ import annotations

from typing import Any

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import NO_RESOURCES, Resources, sum_resources
from jacinthreel_steps._planning._placement import find_usable_executors
from jacinthreel_steps._planning._service_use import (
    ServiceUse,
    find_use_by_service,
    sum_at_work,
    sum_claimed,
    sum_untracked,
)
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS


def sample_use(context: Context, now_ms: int) -> dict[str, Any]:
    """Returns the fields of a log line on what is in use after a scheduling pass."""
    reserved_by_service = _sum_reserved(context, now_ms)
    services = {
        service: _describe_use(use, reserved_by_service.get(service, NO_RESOURCES))
        for service, use in find_use_by_service(context.tables).items()
    }
    waits = context.passed_jobs.wait_by_job
    oldest_id = min(waits, key=lambda job_id: (waits[job_id].since_ms, job_id), default="")
    return {
        "services": services,
        "waiting_jobs": len(waits),
        "oldest_wait_ms": now_ms - waits[oldest_id].since_ms if oldest_id else 0,
        "oldest_job": oldest_id,
    }


def _sum_reserved(context: Context, now_ms: int) -> dict[str, Resources]:
    """Returns what is free on the executors that are reserved for urgent jobs, by service."""
    if context.headroom.needed_accelerators(now_ms) <= 0:
        return {}
    amounts: dict[str, Resources] = {}
    usable = find_usable_executors(context.tables, now_ms, MAX_REPORT_AGE_MS)
    for service, executors in usable.by_service.items():
        ids = context.headroom.select_reserved_ids(executors, now_ms)
        amounts[service] = sum_resources(
            executor.free_resources for executor in executors if executor.executor_id in ids
        )
    return amounts


def _describe_use(use: ServiceUse, reserved: Resources) -> dict[str, dict[str, int]]:
    amounts = {
        "capacity": use.sum_capacity(),
        "at_work": sum_at_work(use.staying),
        "untracked": sum_untracked(use.staying),
        "claimed": sum_claimed(use.staying),
        "leaving": sum_at_work(use.leaving).plus(sum_untracked(use.leaving)),
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
