"""The jobs that are held by the quota of their workspace, with a log line for each change."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from jacinthreel_steps._model import Resources
from jacinthreel_steps._tables import Job, Step, Tables
from jacinthreel_steps._workspaces._limits import fits_empty_quota
from jacinthreel_steps._workspaces._usage import WorkspaceUsage

Log = Callable[[str, dict[str, Any]], None]


class HeldJobs:
    """Tracks which jobs each pass found to be held."""

    def __init__(self) -> None:
        self._since_ms_by_job: dict[str, int] = {}
        self._found: dict[str, Step] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._since_ms_by_job

    def add(self, job: Job, step: Step) -> None:
        """Records that the quota holds a step of the job in the current pass."""
        self._found.setdefault(job.job_id, step)

    def count_by_workspace(self, tables: Tables) -> dict[str, int]:
        """Returns the number of held jobs of each workspace that has any."""
        counts: dict[str, int] = {}
        for job_id in self._since_ms_by_job:
            job = tables.open_jobs_by_id.get(job_id)
            if job is not None:
                counts[job.record.workspace] = counts.get(job.record.workspace, 0) + 1
        return counts

    def finish_pass(self, tables: Tables, usage: WorkspaceUsage, log: Log, now_ms: int) -> None:
        """Logs the jobs that are held now and were not before, and the other way round."""
        found, self._found = self._found, {}
        for job_id in list(self._since_ms_by_job):
            if job_id in found:
                continue
            held_ms = now_ms - self._since_ms_by_job.pop(job_id)
            if job_id in tables.open_jobs_by_id:
                log("job_released_by_quota", {"job_id": job_id, "held_ms": held_ms})
        for job_id, step in found.items():
            if job_id not in self._since_ms_by_job:
                self._since_ms_by_job[job_id] = now_ms
                _log_held(tables, usage, log, tables.jobs_by_id[job_id], step)


def _log_held(tables: Tables, usage: WorkspaceUsage, log: Log, job: Job, step: Step) -> None:
    workspace = job.record.workspace
    quota = tables.policy.quota_by_workspace[workspace]
    needed_count = len(step.tasks) if step.spec.is_gang else 1
    log(
        "job_held_by_quota",
        {
            "job_id": job.job_id,
            "step": step.index,
            "workspace": workspace,
            "quota": _amounts(quota),
            "running": _amounts(usage.running(workspace)),
            "claimed": _amounts(usage.claimed(workspace)),
            "task": _amounts(step.spec.shape),
            "tasks": needed_count,
            "can_ever_fit": fits_empty_quota(quota, needed_count, step.spec.shape),
            "policy_version": tables.policy.version,
        },
    )


def _amounts(resources: Resources) -> dict[str, int]:
    return {
        "cpu_milli": resources.cpu_milli,
        "memory_mb": resources.memory_mb,
        "accelerators": resources.accelerators,
    }
