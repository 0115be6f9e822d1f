"""Entry hosts on real processes: store outages, malformed input and stop signals."""

from __future__ import annotations

import json
import signal
import socket
import threading
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from _local_cluster import ADDRESS, LocalCluster, call, wait_until

END_TIMEOUT_S = 30.0


@pytest.fixture(params=["down", "hang"])
def store_outage(cluster: LocalCluster, request: pytest.FixtureRequest) -> Iterator[str]:
    fault = str(request.param)
    cluster.set_faults("", {fault: True})
    try:
        yield fault
    finally:
        cluster.set_faults("", {"down": False, "hang": False})


def scheduler_port(cluster: LocalCluster, host_id: str) -> int:
    settings = tomllib.loads((cluster.directory / f"{host_id}.toml").read_text())
    return int(settings["scheduler"]["http_port"])


def wait_for_exit(cluster: LocalCluster, name: str) -> int:
    return cluster.processes_by_name.pop(name).wait(timeout=END_TIMEOUT_S)


def read_log_records(cluster: LocalCluster, name: str) -> list[dict[str, Any]]:
    text = Path(cluster.directory / f"{name.replace('/', '-')}.log").read_text()
    return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


def test_a_host_that_starts_without_the_store_gets_the_configuration_from_a_peer(
    cluster: LocalCluster, store_outage: str
) -> None:
    # The injected fault also makes the host list unavailable, so the new host cannot look up peers.
    port = cluster.hosts_by_id["entry-1"].port
    version = call(port, "GET", "/v1/config").json()["version"]
    cluster.kill_host("entry-1")
    for role in ("router", "scheduler"):
        name = f"entry-1/{role}"
        old_lines = len(read_log_records(cluster, name))
        cluster.start_role("entry-1", role)

        def has_version(name: str = name, old_lines: int = old_lines) -> bool:
            lines = read_log_records(cluster, name)[old_lines:]
            applied = [line for line in lines if line["event"] == "config_applied"]
            return bool(applied) and applied[-1]["config_version"] == version

        cluster.wait_for(f"{name} has the configuration", has_version)
    assert call(port, "GET", "/v1/config").json()["version"] == version


def test_an_outage_longer_than_the_lease_changes_no_owner(
    cluster: LocalCluster, store_outage: str
) -> None:
    port = cluster.router_ports()[0]
    before = call(port, "GET", "/v1/status").json()["shard"]

    def has_lease_expired() -> bool:
        metrics = call(scheduler_port(cluster, before["host_id"]), "GET", "/metrics").body.decode()
        return "shard_lease_valid 0" in metrics

    cluster.wait_for("the owner's lease expires", has_lease_expired)
    cluster.set_faults("", {"down": False, "hang": False})
    cluster.wait_for("the owner's lease is renewed", lambda: not has_lease_expired())
    after = call(port, "GET", "/v1/status").json()["shard"]
    assert (after["host_id"], after["epoch"]) == (before["host_id"], before["epoch"])


def test_malformed_input_on_every_port_leaves_a_host_healthy(cluster: LocalCluster) -> None:
    host = cluster.hosts_by_id["entry-1"]
    ports = [host.port, host.stream_port, host.scheduler_port, scheduler_port(cluster, "entry-1")]
    inputs = [
        b"\xff" * 5_000,
        b"",
        b"\x00\x00\x00\x02\x91",
        b"GET /\r\n\r\n",
        b"POST / HTTP/1.1\r\n",
    ]
    for port in ports:
        for data in inputs:
            with socket.create_connection((ADDRESS, port), timeout=END_TIMEOUT_S) as connection:
                connection.sendall(data)
    for port in (host.port, scheduler_port(cluster, "entry-1")):
        assert call(port, "GET", "/readyz").status == 200
    processes = call(host.port, "GET", "/v1/status").json()["processes"]
    assert [process["code"] for process in processes] == [0] * len(processes)
    for role in ("router", "scheduler"):
        assert any(
            line["event"] == "bad_frame" for line in read_log_records(cluster, f"entry-1/{role}")
        )


def test_first_signal_stops_gracefully_and_second_signal_stops_immediately(
    cluster: LocalCluster,
) -> None:
    cluster.signal("entry-1/scheduler", signal.SIGINT)
    assert wait_for_exit(cluster, "entry-1/scheduler") == 0
    port = cluster.hosts_by_id["entry-1"].port
    headers = {"X-Idempotent": "true", "X-Deadline-Ms": "60000"}
    path, body = "/v1/requests/labels", b"long run=30000"

    def send() -> None:
        try:
            call(port, "POST", path, body, headers)
        except OSError:
            return  # The second signal aborts the request.

    caller = threading.Thread(target=send)
    caller.start()
    metrics = "requests_in_progress 1"
    wait_until(
        "the request is in progress", lambda: metrics in call(port, "GET", "/metrics").body.decode()
    )
    cluster.signal("entry-1/router", signal.SIGTERM)
    wait_until("the router drains", lambda: call(port, "GET", "/readyz").status == 503)
    cluster.signal("entry-1/router", signal.SIGTERM)
    assert wait_for_exit(cluster, "entry-1/router") == 1
    caller.join(END_TIMEOUT_S)
