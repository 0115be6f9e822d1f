"""Gang jobs on real processes: owners killed or frozen, store outages, zones out of service."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from typing import Any

from _local_cluster import HttpAnswer, LocalCluster, call, wait_until

from jacinthreel_common import HostKind

JOB_TIMEOUT_S = 60.0


def submit(
    cluster: LocalCluster, job_id: str, *, tasks: int = 4, run_s: float = 1.0, port: int = 0
) -> HttpAnswer:
    spec = {
        "job_id": job_id,
        "workspace": "labels",
        "tasks": tasks,
        "accelerators_per_task": 8,
        "command": f"run={run_s} checkpoint=0.1",
        "checkpointable": True,
    }
    return call(port or cluster.router_ports()[0], "POST", "/v1/jobs", spec)


def get_job(cluster: LocalCluster, job_id: str) -> Any:
    return call(cluster.router_ports()[0], "GET", f"/v1/jobs/{job_id}").json()


def wait_state(cluster: LocalCluster, job_id: str, *states: str) -> Any:
    wait_until(
        f"{job_id} is {states}",
        lambda: get_job(cluster, job_id).get("state") in states,
        JOB_TIMEOUT_S,
    )
    return get_job(cluster, job_id)


def count_starts_by_task(cluster: LocalCluster, job_id: str) -> Counter[int]:
    return Counter(start["task_index"] for start in cluster.task_starts(job_id))


def port_of_another_host(cluster: LocalCluster, host_id: str) -> int:
    return next(host.port for host in cluster.entry_hosts() if host.host_id != host_id)


def wait_until_clock_passes(at_ms: int) -> None:
    """Waits until the monotonic clock, which also stamps the task starts, has passed `at_ms`."""
    wait_until("the clock has passed the time", lambda: time.monotonic_ns() // 1_000_000 > at_ms)


def find_late_starts(cluster: LocalCluster, zone: str, accepted_ms: int) -> list[Any]:
    """Returns task starts in a zone more than 3 s after taking it out was accepted."""
    inside = set(cluster.host_ids(HostKind.WORKER, zone))
    return [
        start
        for start in cluster.task_starts()
        if start["worker_id"] in inside and start["at_ms"] > accepted_ms + 3_000
    ]


def test_a_gang_starts_each_task_exactly_once(cluster: LocalCluster) -> None:
    for port in cluster.router_ports():
        assert submit(cluster, "whole", port=port).status == 200
    assert wait_state(cluster, "whole", "finished", "failed")["state"] == "finished"
    starts = cluster.task_starts("whole")
    assert Counter(start["task_index"] for start in starts) == {0: 1, 1: 1, 2: 1, 3: 1}
    assert {start["attempt"] for start in starts} == {1}


def test_a_job_that_can_never_run_is_refused_at_submission(cluster: LocalCluster) -> None:
    refused = submit(cluster, "giant", tasks=200)
    assert (refused.status, refused.json()["code"]) == (422, 3001)
    assert call(cluster.router_ports()[0], "GET", "/v1/jobs/giant").status == 404


def test_a_running_gang_finishes_after_its_owner_is_killed(cluster: LocalCluster) -> None:
    assert submit(cluster, "survivor", run_s=7.0).status == 200
    wait_state(cluster, "survivor", "running")
    owner = cluster.owner_id()
    assert owner is not None
    cluster.kill_host(owner)
    assert wait_state(cluster, "survivor", "finished", "failed")["state"] == "finished"
    assert count_starts_by_task(cluster, "survivor") == {0: 1, 1: 1, 2: 1, 3: 1}
    assert cluster.owner_id() not in (None, owner)


def test_no_task_starts_twice_after_a_frozen_owner_resumes(cluster: LocalCluster) -> None:
    owner = cluster.owner_id()
    assert owner is not None
    port = port_of_another_host(cluster, owner)
    assert submit(cluster, "before-freeze", tasks=2, run_s=8.0).status == 200
    wait_state(cluster, "before-freeze", "running")
    cluster.signal(f"{owner}/scheduler", signal.SIGSTOP)
    try:
        answers: list[HttpAnswer] = []
        caller = threading.Thread(
            target=lambda: answers.append(submit(cluster, "in-freeze", tasks=2, port=port))
        )
        caller.start()
        wait_until(
            "another host owns the shard",
            lambda: cluster.owner_id() not in (None, owner),
            JOB_TIMEOUT_S,
        )
    finally:
        cluster.signal(f"{owner}/scheduler", signal.SIGCONT)
    caller.join(JOB_TIMEOUT_S)
    if not answers or answers[0].status != 200:
        assert submit(cluster, "in-freeze", tasks=2, port=port).status == 200
    for job_id in ("before-freeze", "in-freeze"):
        assert wait_state(cluster, job_id, "finished", "failed")["state"] == "finished"
        assert count_starts_by_task(cluster, job_id) == {0: 1, 1: 1}


def test_a_planned_stop_hands_over_the_shard(cluster: LocalCluster) -> None:
    assert submit(cluster, "handed-over", run_s=4.0).status == 200
    wait_state(cluster, "handed-over", "running")
    owner = cluster.owner_id()
    assert owner is not None
    cluster.signal(f"{owner}/scheduler", signal.SIGTERM)
    assert cluster.processes_by_name.pop(f"{owner}/scheduler").wait(timeout=30) == 0
    cluster.wait_for("a new owner", lambda: cluster.owner_id() not in (None, owner))
    assert wait_state(cluster, "handed-over", "finished", "failed")["state"] == "finished"
    assert count_starts_by_task(cluster, "handed-over") == {0: 1, 1: 1, 2: 1, 3: 1}


def test_no_task_starts_in_a_zone_out_of_service(cluster: LocalCluster) -> None:
    zone = cluster.shape.zones[1]
    for number in range(3):
        assert submit(cluster, f"zone-a-{number}", tasks=2, run_s=0.5).status == 200
    out = call(cluster.router_ports()[1], "POST", f"/v1/zones/{zone}/out", {"reason": "power"})
    assert out.status == 200
    accepted_ms = cluster.version_accepted_ms(out.json()["version"])
    for number in range(3):
        assert submit(cluster, f"zone-b-{number}", tasks=2, run_s=0.5).status == 200
    assert submit(cluster, "needs-zone", tasks=6, run_s=0.5).status == 200
    for number in range(3):
        assert wait_state(cluster, f"zone-b-{number}", "finished", "failed")["state"] == "finished"
    wait_until_clock_passes(accepted_ms + 3_200)
    assert not find_late_starts(cluster, zone, accepted_ms)
    assert get_job(cluster, "needs-zone")["state"] == "queued"
    assert call(cluster.router_ports()[0], "POST", f"/v1/zones/{zone}/in").status == 200
    assert wait_state(cluster, "needs-zone", "finished", "failed")["state"] == "finished"


def test_no_late_start_in_a_zone_with_a_frozen_owner_and_a_slow_store(
    cluster: LocalCluster,
) -> None:
    zone, owner = cluster.shape.zones[2], cluster.owner_id()
    assert owner is not None
    port = port_of_another_host(cluster, owner)
    job_ids = [f"frozen-{number}" for number in range(12)]
    for job_id in job_ids:
        assert submit(cluster, job_id, tasks=1, run_s=0.7, port=port).status == 200
    cluster.set_faults("", {"delay_ms": 250})
    cluster.signal(f"{owner}/scheduler", signal.SIGSTOP)
    try:
        out = call(port, "POST", f"/v1/zones/{zone}/out", {"reason": "fire", "drain_ms": 0})
        assert out.status == 200
        accepted_ms = time.monotonic_ns() // 1_000_000  # An upper bound.
        wait_until_clock_passes(accepted_ms + 3_200)
    finally:
        cluster.signal(f"{owner}/scheduler", signal.SIGCONT)
    for job_id in job_ids:
        assert wait_state(cluster, job_id, "finished", "failed")["state"] == "finished"
    assert not find_late_starts(cluster, zone, accepted_ms)


def test_a_store_outage_fails_only_calls_that_need_the_store(cluster: LocalCluster) -> None:
    port = cluster.router_ports()[0]
    assert submit(cluster, "through-outage", tasks=2, run_s=8.0).status == 200
    wait_state(cluster, "through-outage", "running")
    cluster.set_faults("", {"down": True})
    time.sleep(5)  # Longer than the lease of the shard, so that it expires.
    refused = submit(cluster, "in-outage")
    assert refused.status == 503
    assert refused.json()["code"] in (3004, 5001)
    assert int(refused.headers["retry-after"]) >= 1
    change = call(port, "POST", "/v1/presets/peak/activate")
    assert (change.status, change.json()["code"]) == (503, 5001)
    body, headers = b"run=10", {"X-Request-Id": "outage-1", "X-Idempotent": "true"}
    assert call(port, "POST", "/v1/requests/labels", body, headers).status == 200
    claimed = call(port, "POST", "/v1/requests/labels", body, {"X-Request-Id": "outage-2"})
    assert (claimed.status, claimed.json()["code"]) == (503, 2004)
    assert int(claimed.headers["retry-after"]) >= 1
    cluster.set_faults("", {"down": False})
    wait_until("submissions work again", lambda: submit(cluster, "after-outage").status == 200)
    for job_id in ("through-outage", "after-outage"):
        assert wait_state(cluster, job_id, "finished", "failed")["state"] == "finished"
    assert count_starts_by_task(cluster, "through-outage") == {0: 1, 1: 1}
