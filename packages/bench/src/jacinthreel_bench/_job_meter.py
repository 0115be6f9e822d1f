"""What a run of a policy is judged by; see `JobMeter.row` for the keys."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

import numpy as np

from jacinthreel_bench._job_guarantee_check import GuaranteeCheck
from jacinthreel_bench._job_records import PartialGangs, TaskRun, count_duplicate_runs
from jacinthreel_bench._job_world import JobTimes, World
from jacinthreel_bench._workloads import LARGE_GANG_ACCELERATORS, SUBMIT_UNTIL_S, Workload
from jacinthreel_common import JobSpec
from jacinthreel_jobs import Tables, WorkerHealth
from jacinthreel_jobs._cluster_view import build_view
from jacinthreel_jobs._packing import arrange

PARTIAL_LIMIT_MS: Final = 15_000
ZONE_CLOSE_LIMIT_MS: Final = 3_000
AFTER_RETURN_MS: Final = 120_000
FRAGMENTATION_PERIOD_MS: Final = 5_000
FRAGMENTATION_DEPTH: Final = 200


@dataclass(slots=True)
class JobMeter:
    """Looks at a world each second and sums up at the end."""

    guarantees: GuaranteeCheck
    partial: PartialGangs = field(default_factory=lambda: PartialGangs(PARTIAL_LIMIT_MS))
    fragmentation: list[float] = field(default_factory=list)
    possible_work: float = 0.0
    tasks_by_job: dict[str, int] = field(default_factory=dict)

    def sample(self, world: World) -> None:
        """Looks at the world now."""
        now_ms = world.now_ms
        for times in list(world.times_by_id.values())[len(self.tasks_by_job) :]:
            self.tasks_by_job[times.submission.spec.job_id] = times.submission.spec.tasks
        tables = world.core.tables
        grace_ms = world.config.settings.checkpoint_grace_ms
        self.guarantees.sample(tables, set(world.zones_out), grace_ms, now_ms)
        self.partial.sample(list(world.workers_by_id.values()), self.tasks_by_job, now_ms)
        if now_ms % FRAGMENTATION_PERIOD_MS == 0 and now_ms <= SUBMIT_UNTIL_S * 1000:
            self.fragmentation.append(fragmentation(tables))
        if in_zone_windows(world.zone_history, now_ms):
            self.possible_work += _possible_work(world)

    def row(self, world: World) -> dict[str, Any]:
        """The figures of the run.

        `mean_jct_s` and `p99_jct_s` are from submission to the end, of all jobs that are meant to
        finish.  `large_gang_mean_wait_s` is that time less the true run time, of large gangs.
        `fragmentation` is the mean share of free accelerators that waiting gangs could use if
        adjacency did not matter, and can't.  `zone_change_work_ratio` is the work kept in the
        windows from a zone's leaving to two minutes after its return, over what the accelerators
        that were left could have done for the jobs that were there.
        """
        runs = [run for worker in world.workers_by_id.values() for run in worker.runs]
        counted = [t for t in world.times_by_id.values() if t.submission.counted and not t.refused]
        jcts = [_jct_s(times, world.now_ms) for times in counted]
        waits = [
            _jct_s(times, world.now_ms) - times.submission.true_run_s
            for times in counted
            if times.submission.spec.accelerators >= LARGE_GANG_ACCELERATORS
        ]
        urgent = [_start_s(times, world.now_ms) for times in counted if _is_urgent(times)]
        work = _work_in_windows(world, runs)
        return {
            "jobs": len(counted),
            "unfinished": sum(times.ended_ms < 0 for times in counted),
            "mean_jct_s": round(float(np.mean(jcts)), 2),
            "p99_jct_s": round(float(np.percentile(jcts, 99)), 2),
            "large_gang_mean_wait_s": round(float(np.mean(waits)), 2),
            "fragmentation": round(float(np.mean(self.fragmentation)), 4),
            "zone_change_work_ratio": round(work / max(1.0, self.possible_work), 4),
            "urgent_p99_start_s": round(float(np.percentile(urgent, 99)), 2) if urgent else 0.0,
            "preemptions": world.preemptions,
            "guarantee_breaches": self.guarantees.breaches,
            "duplicate_runs": count_duplicate_runs(runs, world.now_ms),
            "partial_gangs": self.partial.count,
            "starts_in_closed_zone": _starts_in_closed_zone(world, runs),
        }


def _is_urgent(times: JobTimes) -> bool:
    return times.submission.spec.urgent


def _jct_s(times: JobTimes, now_ms: int) -> float:
    end_ms = times.ended_ms if times.ended_ms >= 0 else now_ms
    return (end_ms - times.submission.at_ms) / 1000


def _start_s(times: JobTimes, now_ms: int) -> float:
    start_ms = times.started_ms if times.started_ms >= 0 else now_ms
    return (start_ms - times.submission.at_ms) / 1000


def fragmentation(tables: Tables) -> float:
    """The share of free accelerators that waiting gangs can't use for want of adjacency."""
    view = build_view(tables)
    free = sum(worker.free_accelerators for worker in view.placeable_workers())
    waiting = [job.record.spec for job in tables.queued_by_id.values()][:FRAGMENTATION_DEPTH]
    if not free or not waiting:
        return 0.0
    pooled = _pooled_use(waiting, free)
    used = 0
    for spec in waiting:
        arrangement = arrange(spec, view, {}, lambda worker: True)
        if arrangement is not None:
            view.allocate(spec, arrangement.placement)
            used += spec.accelerators
    return max(0.0, (pooled - used) / free)


def _pooled_use(waiting: list[JobSpec], free: int) -> int:
    """How many accelerators the gangs would use if all were on one worker."""
    left = free
    for spec in waiting:
        if spec.accelerators <= left:
            left -= spec.accelerators
    return free - left


def in_zone_windows(history: list[tuple[str, int, int]], now_ms: int) -> bool:
    """Whether a zone is out, or came back a short time ago."""
    return any(out_ms <= now_ms < back_ms + AFTER_RETURN_MS for _, out_ms, back_ms in history)


def _possible_work(world: World) -> float:
    """Accelerator seconds that the workers left could do in the coming second."""
    failing = failing_workers(world.workload, world.now_ms)
    capacity = 0
    for worker in world.core.tables.workers_by_id.values():
        recorded = world.workers_by_id[worker.worker_id]
        if worker.zone in world.zones_out or recorded.away or worker.worker_id in failing:
            continue
        if worker.health is not WorkerHealth.LOST:
            capacity += worker.accelerators
    tables = world.core.tables
    demand = sum(job.record.spec.accelerators for job in tables.queued_by_id.values())
    demand += sum(job.record.spec.accelerators for job in tables.active_by_id.values())
    return float(min(capacity, demand))


def failing_workers(workload: Workload, now_ms: int) -> set[str]:
    """Workers that fail every task now."""
    return {f.worker_id for f in workload.failing if f.from_ms <= now_ms < f.until_ms}


def _work_in_windows(world: World, runs: list[TaskRun]) -> float:
    """Accelerator seconds of kept work inside the windows of zone changes."""
    windows = _merged_windows(world.zone_history)
    total = 0.0
    for run in runs:
        spec = world.times_by_id[run.job_id].submission.spec
        begin_ms, end_ms = run.start_ms, run.start_ms + run.kept_s * 1000
        for from_ms, until_ms in windows:
            overlap_ms = min(end_ms, until_ms) - max(begin_ms, from_ms)
            if overlap_ms > 0:
                total += overlap_ms / 1000 * spec.accelerators_per_task
    return total


def _merged_windows(history: list[tuple[str, int, int]]) -> list[tuple[int, int]]:
    merged: list[tuple[int, int]] = []
    for _, out_ms, back_ms in sorted(history, key=lambda item: item[1]):
        end_ms = back_ms + AFTER_RETURN_MS
        if merged and out_ms <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end_ms))
        else:
            merged.append((out_ms, end_ms))
    return merged


def _starts_in_closed_zone(world: World, runs: list[TaskRun]) -> int:
    count = 0
    for run in runs:
        zone = world.workers_by_id[run.worker_id].zone
        for closed, out_ms, back_ms in world.zone_history:
            if zone == closed and out_ms + ZONE_CLOSE_LIMIT_MS < run.start_ms < back_ms:
                count += 1
    return count
