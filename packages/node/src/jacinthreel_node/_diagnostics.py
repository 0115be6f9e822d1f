"""Logs a node's internal state on SIGUSR1, to debug hung processes and jobs that never end.

The state comprises the suspended asyncio tasks, the executors with their runs, and the open jobs.
"""

from __future__ import annotations

import asyncio
from typing import Any

from jacinthreel_daemon.plumbing import EventLog
from jacinthreel_steps import Executor, Job, Tables


def log_tasks(log: EventLog) -> None:
    """Logs the source line at which each task of the event loop is suspended."""
    for task in asyncio.all_tasks():
        frames = task.get_stack(limit=1)
        location = f"{frames[0].f_code.co_qualname}:{frames[0].f_lineno}" if frames else ""
        log.info("task_waits", {"task": str(task.get_coro()), "at": location})


def log_tables(log: EventLog, tables: Tables, now_ms: int) -> None:
    """Logs the state of executors, of their runs and of open jobs."""
    for executor in tables.executors_by_id.values():
        log.info("executor_held", _executor_fields(executor, now_ms))
        for run in executor.runs_by_task.values():
            log.info("run_held", {"executor": executor.executor_id, "run": repr(run)})
    for job in tables.open_jobs_by_id.values():
        log.info("job_open", _open_job_fields(job))


def _executor_fields(executor: Executor, now_ms: int) -> dict[str, Any]:
    return {
        "executor": executor.executor_id,
        "listed": executor.is_listed,
        "reported": executor.life.has_reported,
        "heard_ms_ago": now_ms - executor.last_report_ms,
        "avoided_for_ms": max(0, executor.health.excluded_until_ms - now_ms),
        "room": repr(executor.free_resources),
        "pending_ends": repr(executor.life.pending_ends),
    }


def _open_job_fields(job: Job) -> dict[str, Any]:
    runs = {
        f"{run.run_id.task.step_index}.{run.run_id.task.task_index}": run.state.name
        for run in job.live_runs()
    }
    return {
        "job_id": job.job_id,
        "state": job.state.name.lower(),
        "revision": job.revision,
        "stored_revision": job.stored_revision,
        "done": [sum(task.is_done for task in step.tasks) for step in job.steps],
        "tasks": [len(step.tasks) for step in job.steps],
        "runs": runs,
    }
