"""One cluster of real processes, shared by all tests here and restored before each test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from _local_cluster import ClusterShape, LocalCluster, call

from jacinthreel_common import HostKind

SHAPE = ClusterShape(workers=2, executors=1, entry_hosts=3)


@pytest.fixture(scope="session")
def running_cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalCluster]:
    cluster = LocalCluster(tmp_path_factory.mktemp("cluster"), SHAPE)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
def cluster(running_cluster: LocalCluster) -> LocalCluster:
    """Returns the cluster with all processes running, no faults, all zones in service, an owner.

    After an outage of the store it also waits until the owner's lease is valid again and the
    circuit breaker of the first router is closed, because a test's first calls need both.
    """
    restore_cluster(running_cluster)
    return running_cluster


def restore_cluster(cluster: LocalCluster) -> None:
    cluster.set_faults("", {"down": False, "lose_replies": 0, "lose_requests": 0, "delay_ms": 0})
    for executor_id in cluster.host_ids(HostKind.EXECUTOR):
        cluster.set_faults(executor_id, {"lose_replies": 0, "unreachable": False})
    for host in cluster.entry_hosts():
        for role in ("router", "scheduler"):
            if f"{host.host_id}/{role}" not in cluster.processes_by_name:
                cluster.start_role(host.host_id, role)
    for host in cluster.entry_hosts():
        cluster.wait_serving(host, "/readyz")
    cluster.wait_for("a shard owner with a valid lease", cluster.has_valid_lease)
    port = cluster.entry_hosts()[0].port
    cluster.wait_for(
        "a router that calls the store", lambda: cluster.has_metric(port, "store_out 0")
    )
    for zone in cluster.shape.zones:
        assert call(port, "POST", f"/v1/zones/{zone}/in").status == 200
    assert call(port, "PUT", "/v1/workspaces/labels", {}).status == 200
