"""Throttles tasks that use more memory than they declared if their worker runs out of memory.

Declared sizes are often wrong, and a task that exceeds its own does no harm while its worker has
free memory.  If the tasks of a worker together use more memory than the worker has, those above
their declared size are throttled, so that the other tasks get what they declared.
"""

from __future__ import annotations

from jacinthreel_common import CommandKind
from jacinthreel_jobs._context import ShardContext, WorkerLink
from jacinthreel_jobs._gang import Gang, GangTask, TaskPhase
from jacinthreel_jobs._worker_links import enqueue


def throttle_overuse(ctx: ShardContext, link: WorkerLink) -> None:
    """Throttles the tasks above their declared size if the worker's memory is overcommitted."""
    worker = link.worker
    used_gb = 0.0
    over_declared: list[tuple[Gang, GangTask]] = []
    for job_id, attempt, index in worker.held:
        gang = ctx.gangs_by_job_id.get(job_id)
        if gang is None or gang.attempt != attempt:
            continue
        task = gang.tasks[index]
        if task.phase is not TaskPhase.RUNNING:
            continue
        used_gb += task.used_memory_gb
        if task.used_memory_gb > gang.job.record.spec.memory_gb_per_task:
            over_declared.append((gang, task))
    if used_gb <= worker.memory_gb:
        return
    for gang, task in over_declared:
        if task.throttled:
            continue
        task.throttled = True
        ctx.log(
            "throttle",
            job_id=gang.job_id,
            worker_id=worker.worker_id,
            used_memory_gb=task.used_memory_gb,
            reason="the worker's memory is overcommitted",
        )
        enqueue(ctx, CommandKind.THROTTLE, worker.worker_id, gang.key(task))
