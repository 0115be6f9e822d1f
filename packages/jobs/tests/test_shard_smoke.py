"""A gang runs through one shard core from submission to the release of its resources."""

from __future__ import annotations

from shard_cluster import Cluster

from jacinthreel_common import JobSpec, JobState, ResultCode


def test_gang_runs_and_finishes() -> None:
    cluster = Cluster()
    cluster.run(2_000)
    call_id = cluster.submit(JobSpec("a", "lab", 3, 8, command="run=4"))
    cluster.run(1_000)
    assert cluster.replies_by_call_id[call_id].code is ResultCode.OK
    assert cluster.state("a") is JobState.RUNNING
    assert len(cluster.running_tasks("a")) == 3
    cluster.run(6_000)
    assert cluster.state("a") is JobState.FINISHED
    assert all(not worker.tasks_by_key for worker in cluster.workers.values())
    owner = cluster.owner()
    assert owner is not None and owner.core.idle()
    assert all(not worker.held for worker in owner.core.tables.workers_by_id.values())
