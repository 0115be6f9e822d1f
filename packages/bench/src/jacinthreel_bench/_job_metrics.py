"""Metrics of one policy's run over a job workload; `JobMetrics.build_row` documents the keys."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

import numpy as np

from jacinthreel_bench._job_guarantee_check import GuaranteeCheck
from jacinthreel_bench._job_records import PartialGangCounter, TaskRun, count_duplicate_runs
from jacinthreel_bench._job_simulation import JobSimulation, JobTimes
from jacinthreel_bench._workloads import LARGE_GANG_ACCELERATORS, SUBMIT_UNTIL_S, Workload
from jacinthreel_common import JobSpec
from jacinthreel_jobs import Tables, WorkerHealth
from jacinthreel_jobs._cluster_view import build_view
from jacinthreel_jobs._packing import arrange

PARTIAL_GANG_LIMIT_MS: Final = 15_000
ZONE_REMOVAL_GRACE_MS: Final = 3_000
ZONE_RETURN_WINDOW_MS: Final = 120_000
FRAGMENTATION_PERIOD_MS: Final = 5_000
FRAGMENTATION_MAX_JOBS: Final = 200


@dataclass(slots=True)
class JobMetrics:
    """Samples a simulation each second and computes its metrics at the end."""

    guarantee_check: GuaranteeCheck
    partial_gangs: PartialGangCounter = field(
        default_factory=lambda: PartialGangCounter(PARTIAL_GANG_LIMIT_MS)
    )
    fragmentation: list[float] = field(default_factory=list)
    achievable_accelerator_s: float = 0.0
    tasks_by_job: dict[str, int] = field(default_factory=dict)

    def sample(self, simulation: JobSimulation) -> None:
        """Adds the current state of the simulation to the metrics."""
        now_ms = simulation.now_ms
        for times in list(simulation.times_by_id.values())[len(self.tasks_by_job) :]:
            self.tasks_by_job[times.submission.spec.job_id] = times.submission.spec.tasks
        tables = simulation.core.tables
        grace_ms = simulation.config.settings.checkpoint_grace_ms
        self.guarantee_check.sample(tables, set(simulation.zones_out), grace_ms, now_ms)
        self.partial_gangs.sample(
            list(simulation.workers_by_id.values()), self.tasks_by_job, now_ms
        )
        if now_ms % FRAGMENTATION_PERIOD_MS == 0 and now_ms <= SUBMIT_UNTIL_S * 1000:
            self.fragmentation.append(measure_fragmentation(tables))
        if is_in_zone_change_window(simulation.zone_history, now_ms):
            self.achievable_accelerator_s += _measure_achievable_accelerator_s(simulation)

    def build_row(self, simulation: JobSimulation) -> dict[str, Any]:
        """Returns the metrics of the run by key.

        `mean_jct_s` and `p99_jct_s` are job completion times (JCT), from submission to end, of the
        jobs that are expected to finish and were not refused.  `large_gang_mean_wait_s` is the mean
        of completion time minus true run time, of the large gangs among these jobs.
        `fragmentation` is the mean share of free accelerators that queued gangs could use without
        their adjacency constraints but can't use with them.  `zone_change_work_ratio` covers the
        windows from the removal of a zone until two minutes after its return.  It is the finished
        or checkpointed work in these windows, divided by the work that the remaining accelerators
        could have done for the queued and active jobs.  `urgent_p99_start_s` is the 99th percentile
        of the time from submission to start of urgent jobs.
        `partial_gangs` counts gangs of which only some tasks ran for longer than
        `PARTIAL_GANG_LIMIT_MS`.  `starts_in_closed_zone` counts task starts in a zone later than
        `ZONE_REMOVAL_GRACE_MS` after its removal and before its return.
        """
        runs = [run for worker in simulation.workers_by_id.values() for run in worker.runs]
        counted = [
            t
            for t in simulation.times_by_id.values()
            if t.submission.expected_to_finish and not t.refused
        ]
        jcts = [_jct_s(times, simulation.now_ms) for times in counted]
        waits = [
            _jct_s(times, simulation.now_ms) - times.submission.true_run_s
            for times in counted
            if times.submission.spec.accelerators >= LARGE_GANG_ACCELERATORS
        ]
        urgent = [
            _start_delay_s(times, simulation.now_ms) for times in counted if _is_urgent(times)
        ]
        work = _measure_saved_work_in_windows(simulation, runs)
        return {
            "jobs": len(counted),
            "unfinished": sum(times.ended_ms < 0 for times in counted),
            "mean_jct_s": round(float(np.mean(jcts)), 2),
            "p99_jct_s": round(float(np.percentile(jcts, 99)), 2),
            "large_gang_mean_wait_s": round(float(np.mean(waits)), 2),
            "fragmentation": round(float(np.mean(self.fragmentation)), 4),
            "zone_change_work_ratio": round(work / max(1.0, self.achievable_accelerator_s), 4),
            "urgent_p99_start_s": round(float(np.percentile(urgent, 99)), 2) if urgent else 0.0,
            "preemptions": simulation.preemptions,
            "guarantee_breaches": self.guarantee_check.breaches,
            "duplicate_runs": count_duplicate_runs(runs, simulation.now_ms),
            "partial_gangs": self.partial_gangs.count,
            "starts_in_closed_zone": _count_starts_in_closed_zone(simulation, runs),
        }


def _is_urgent(times: JobTimes) -> bool:
    return times.submission.spec.urgent


def _jct_s(times: JobTimes, now_ms: int) -> float:
    """Returns the job completion time, in seconds; up to now if the job has not ended."""
    end_ms = times.ended_ms if times.ended_ms >= 0 else now_ms
    return (end_ms - times.submission.at_ms) / 1000


def _start_delay_s(times: JobTimes, now_ms: int) -> float:
    start_ms = times.started_ms if times.started_ms >= 0 else now_ms
    return (start_ms - times.submission.at_ms) / 1000


def measure_fragmentation(tables: Tables) -> float:
    """Returns the share of free accelerators that adjacency keeps queued gangs from using."""
    view = build_view(tables)
    free = sum(worker.free_accelerators for worker in view.placeable_workers())
    waiting = [job.record.spec for job in tables.queued_by_id.values()][:FRAGMENTATION_MAX_JOBS]
    if not free or not waiting:
        return 0.0
    pooled_accelerators = _count_pooled_accelerators(waiting, free)
    used = 0
    for spec in waiting:
        arrangement = arrange(spec, view, {}, lambda worker: True)
        if arrangement is not None:
            view.allocate(spec, arrangement.placement)
            used += spec.accelerators
    return max(0.0, (pooled_accelerators - used) / free)


def _count_pooled_accelerators(waiting: list[JobSpec], free: int) -> int:
    """Counts the accelerators that the gangs would use if all `free` ones were on one worker."""
    remaining = free
    for spec in waiting:
        if spec.accelerators <= remaining:
            remaining -= spec.accelerators
    return free - remaining


def is_in_zone_change_window(history: list[tuple[str, int, int]], now_ms: int) -> bool:
    """Whether a zone is out of service or returned less than `ZONE_RETURN_WINDOW_MS` ago."""
    return any(out_ms <= now_ms < back_ms + ZONE_RETURN_WINDOW_MS for _, out_ms, back_ms in history)


def _measure_achievable_accelerator_s(simulation: JobSimulation) -> float:
    """Returns the accelerator seconds of work possible in the next second.

    This is the lesser of the usable capacity and the demand of queued and active jobs.
    """
    failing = list_failing_worker_ids(simulation.workload, simulation.now_ms)
    capacity = 0
    for worker in simulation.core.tables.workers_by_id.values():
        recorded_worker = simulation.workers_by_id[worker.worker_id]
        if (
            worker.zone in simulation.zones_out
            or recorded_worker.is_unreachable
            or worker.worker_id in failing
        ):
            continue
        if worker.health is not WorkerHealth.LOST:
            capacity += worker.accelerators
    tables = simulation.core.tables
    demand = sum(job.record.spec.accelerators for job in tables.queued_by_id.values())
    demand += sum(job.record.spec.accelerators for job in tables.active_by_id.values())
    return float(min(capacity, demand))


def list_failing_worker_ids(workload: Workload, now_ms: int) -> set[str]:
    """Returns the ids of the workers that currently fail every task."""
    return {
        fault.worker_id
        for fault in workload.task_failure_faults
        if fault.from_ms <= now_ms < fault.until_ms
    }


def _measure_saved_work_in_windows(simulation: JobSimulation, runs: list[TaskRun]) -> float:
    """Returns the accelerator seconds of finished or checkpointed work in zone change windows."""
    windows = _merge_zone_change_windows(simulation.zone_history)
    total = 0.0
    for run in runs:
        spec = simulation.times_by_id[run.job_id].submission.spec
        begin_ms, end_ms = run.start_ms, run.start_ms + run.saved_work_s * 1000
        for from_ms, until_ms in windows:
            overlap_ms = min(end_ms, until_ms) - max(begin_ms, from_ms)
            if overlap_ms > 0:
                total += overlap_ms / 1000 * spec.accelerators_per_task
    return total


def _merge_zone_change_windows(history: list[tuple[str, int, int]]) -> list[tuple[int, int]]:
    merged: list[tuple[int, int]] = []
    for _, out_ms, back_ms in sorted(history, key=lambda item: item[1]):
        end_ms = back_ms + ZONE_RETURN_WINDOW_MS
        if merged and out_ms <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end_ms))
        else:
            merged.append((out_ms, end_ms))
    return merged


def _count_starts_in_closed_zone(simulation: JobSimulation, runs: list[TaskRun]) -> int:
    count = 0
    for run in runs:
        zone = simulation.workers_by_id[run.worker_id].zone
        for closed, out_ms, back_ms in simulation.zone_history:
            if zone == closed and out_ms + ZONE_REMOVAL_GRACE_MS < run.start_ms < back_ms:
                count += 1
    return count
