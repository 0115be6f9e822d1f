"""A gang that takes its workers down is restarted less and less often."""

from __future__ import annotations

from shard_cluster import Cluster

from jacinthreel_common import JobSpec, JobState

HOUR_MS = 3_600_000


def restart_workers_of(cluster: Cluster, job_id: str, duration_ms: int, after_ms: int) -> int:
    """Restarts each worker `after_ms` after it has started a task; returns how often."""
    restarts = 0
    end_ms = cluster.now_ms + duration_ms
    while cluster.now_ms < end_ms:
        cluster.run(500)
        if not cluster.running_tasks(job_id):
            continue
        cluster.run(after_ms)
        for worker in cluster.workers.values():
            if any(key[0] == job_id for key in worker.running()):
                worker.restart()
                restarts += 1
    return restarts


def make_job(run_s: int) -> JobSpec:
    return JobSpec("crashing", "lab", 1, 8, command=f"run={run_s}")


def test_gang_that_restarts_its_workers_is_started_less_and_less_often() -> None:
    cluster = Cluster()
    cluster.run(2_000)
    cluster.submit(make_job(600))
    assert restart_workers_of(cluster, "crashing", HOUR_MS, after_ms=1_000) <= 12


def test_gang_that_lost_a_worker_once_is_restarted_at_once() -> None:
    cluster = Cluster()
    cluster.run(2_000)
    cluster.submit(make_job(20))
    assert restart_workers_of(cluster, "crashing", 1_000, after_ms=1_000) == 1
    assert cluster.run_until(lambda: cluster.state("crashing") is JobState.FINISHED, 40_000)


def test_gang_that_ran_for_long_before_each_loss_is_restarted_at_once() -> None:
    cluster = Cluster()
    cluster.run(2_000)
    cluster.submit(make_job(10_000))
    assert restart_workers_of(cluster, "crashing", HOUR_MS, after_ms=120_000) >= 25
