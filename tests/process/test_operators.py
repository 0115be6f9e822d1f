"""Operators' changes on real processes: races, lost messages, propagation, exit statuses."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from _local_cluster import HttpAnswer, LocalCluster, call

PRESETS = ["ordinary", "peak", "maintenance"]


def read_version(cluster: LocalCluster) -> int:
    return int(call(cluster.router_ports()[0], "GET", "/v1/config").json()["version"])


def run_command(cluster: LocalCluster, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = os.environ | {"JACINTHREEL_ROUTERS": " ".join(cluster.router_addresses())}
    return subprocess.run(
        [sys.executable, "-m", "jacinthreel_cli", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_one_of_concurrent_preset_changes_wins_and_reaches_all_processes(
    cluster: LocalCluster,
) -> None:
    version = read_version(cluster)
    cluster.wait_for(
        "all routers have the version",
        lambda: all(
            call(port, "GET", "/v1/config").json()["version"] >= version
            for port in cluster.router_ports()
        ),
    )
    current = call(cluster.router_ports()[0], "GET", "/v1/presets").json()["active"]
    wanted = [name for name in PRESETS if name != current]

    def activate(number: int) -> HttpAnswer:
        port = cluster.router_ports()[number % 3]
        path = f"/v1/presets/{wanted[number % 2]}/activate"
        return call(port, "POST", path, headers={"If-Match": str(version)})

    with ThreadPoolExecutor(6) as operators:
        answers = list(operators.map(activate, range(6)))
    winners = [number for number, answer in enumerate(answers) if answer.status == 200]
    loser_bodies = [answer.json() for answer in answers if answer.status != 200]
    assert len(winners) == 1
    assert {body["code"] for body in loser_bodies} == {4001}
    assert all(f"lost to version {version + 1}" in body["detail"] for body in loser_bodies)

    def is_applied_everywhere() -> bool:
        status = call(cluster.router_ports()[1], "GET", "/v1/status").json()
        versions = {line["config_version"] for line in status["processes"]}
        return versions == {version + 1} and status["config"]["preset"] == wanted[winners[0] % 2]

    cluster.wait_for("all processes have the change", is_applied_everywhere)


@pytest.mark.parametrize("fault", ["lose_replies", "lose_requests"])
def test_a_change_with_a_lost_message_is_applied_exactly_once(
    cluster: LocalCluster, fault: str
) -> None:
    version = read_version(cluster)
    cluster.set_faults("", {fault: 1, "only_prefix": "config/"})
    headers = {"X-Change-Id": f"change-{fault.replace('_', '-')}"}
    try:
        answer = call(
            cluster.router_ports()[0], "PUT", "/v1/workspaces/press", {"weight": 3}, headers
        )
    finally:
        cluster.set_faults("", {fault: 0, "only_prefix": ""})
    assert answer.status == 200
    assert answer.json()["version"] == version + 1
    history = call(cluster.router_ports()[0], "GET", "/v1/config/history").json()["history"]
    ids = [line["change_id"] for line in history]
    assert ids.count(headers["X-Change-Id"]) == 1
    repeated = call(
        cluster.router_ports()[1], "PUT", "/v1/workspaces/press", {"weight": 3}, headers
    )
    assert repeated.json()["version"] == version + 1
    assert call(cluster.router_ports()[1], "DELETE", "/v1/workspaces/press").status == 200


COMMANDS = {
    "status": (["status"], 0),
    "zone list": (["zone", "list"], 0),
    "preset show": (["preset", "show", "peak"], 0),
    "unknown zone": (["zone", "out", "nowhere", "--reason", "x"], 1),
    "unknown job": (["job", "show", "none"], 1),
    "impossible guarantee": (["workspace", "set", "big", "--guarantee", "rack=9"], 1),
    "no such option": (["status", "--colour"], 2),
    "bad guarantee": (["workspace", "set", "big", "--guarantee", "rack"], 2),
    "hostname instead of an IP address": (["status", "--router", "localhost:80"], 2),
    "no router listening": (["status", "--router", "127.0.0.1:9"], 3),
}


@pytest.mark.parametrize("name", COMMANDS)
def test_exit_statuses_of_commands(cluster: LocalCluster, name: str) -> None:
    arguments, status = COMMANDS[name]
    completed = run_command(cluster, *arguments)
    assert completed.returncode == status, completed.stderr
    if status == 0:
        json.loads(completed.stdout)
    elif status != 2:
        assert completed.stderr.startswith("error ")
        assert "advice: " in completed.stderr


def test_commands_fail_over_to_the_next_router(cluster: LocalCluster) -> None:
    routers = ["--router", "127.0.0.1:9", "--router", cluster.router_addresses()[0]]
    completed = run_command(cluster, "job", "list", *routers)
    assert completed.returncode == 0, completed.stderr
