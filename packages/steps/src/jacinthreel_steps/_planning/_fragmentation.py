"""Samples how much free accelerator capacity is of no use to the gangs that wait.

Capacity counts as fragmented while the smallest waiting gang needs no more accelerators than are
free in its service, and still does not fit: too few are free on single executors or racks, or they
are reserved for urgent jobs.
"""

from __future__ import annotations

from typing import Any

from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._tables import Tables


def sample_fragmentation(tables: Tables, usable: UsableExecutors) -> dict[str, Any]:
    """Returns the fields of a log line on the capacity after a scheduling pass."""
    smallest_by_service: dict[str, int] = {}
    waiting_gangs = 0
    for job in tables.open_jobs_by_id.values():
        for step in job.steps:
            if not step.spec.is_gang or not job.pending_tasks(step):
                continue
            waiting_gangs += 1
            needed = step.spec.count * step.spec.shape.accelerators
            service = job.queue.service
            smallest_by_service[service] = min(needed, smallest_by_service.get(service, needed))
    total = 0
    free = 0
    fragmented = 0
    for service, executors in usable.by_service.items():
        free_here = sum(max(0, item.free_resources.accelerators) for item in executors)
        free += free_here
        total += sum(item.listing.capacity.accelerators for item in executors)
        if service in smallest_by_service and smallest_by_service[service] <= free_here:
            fragmented += free_here
    return {
        "accelerators": total,
        "free": free,
        "fragmented": fragmented,
        "waiting_gangs": waiting_gangs,
    }
