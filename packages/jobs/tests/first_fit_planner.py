"""A first-fit planner for the tests of the shard core, with preemptions chosen by the test."""

from __future__ import annotations

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs import Decision, Place, PlanTrigger, Preempt, Tables, WorkerHealth


class FirstFitPlanner:
    """Places queued gangs in queue order on the first workers with enough free accelerators.

    Preempts only the jobs that a test adds to `pending_preemptions`.
    """

    def __init__(self) -> None:
        self.pending_preemptions: list[Preempt] = []

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        free = {
            worker.worker_id: worker.free_accelerators
            for worker in tables.workers_by_id.values()
            if worker.health in (WorkerHealth.HEALTHY, WorkerHealth.PROBATION)
            and tables.config is not None
            and worker.zone not in tables.config.zones_out
        }
        decisions: list[Decision] = list(self.pending_preemptions)
        self.pending_preemptions = []
        for job in tables.queued_by_id.values():
            if job.not_before_ms > now_ms:
                continue
            spec = job.record.spec
            chosen: list[TaskPlacement] = []
            remaining = dict(free)
            avoided = set(job.record.failed_workers)
            for worker_id in sorted(
                remaining, key=lambda worker_id: (worker_id in avoided, worker_id)
            ):
                while (
                    len(chosen) < spec.tasks and remaining[worker_id] >= spec.accelerators_per_task
                ):
                    remaining[worker_id] -= spec.accelerators_per_task
                    chosen.append(TaskPlacement(len(chosen), worker_id))
            if len(chosen) < spec.tasks:
                continue
            free = remaining
            decisions.append(Place(spec.job_id, chosen, False, "first fit", len(free)))
        return decisions

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        pass

    def expect_run_s(self, spec: JobSpec) -> float:
        return float(spec.declared_run_s)
