"""Requests through real processes: correct responses, no repeated runs, planned stops."""

from __future__ import annotations

import http.client
import json
import signal
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from _local_cluster import HttpAnswer, LocalCluster, call, wait_until

from jacinthreel_common import HostKind
from jacinthreel_standins import expected_answer


def send(
    port: int, request_id: str, run_ms: int = 20, *, idempotent: bool = True
) -> tuple[bytes, HttpAnswer]:
    """Sends a request; returns the expected body and the actual response."""
    body = f"{request_id} run={run_ms}".encode()
    headers = {"X-Request-Id": request_id, "X-Idempotent": str(idempotent).lower()}
    answer = call(port, "POST", "/v1/requests/labels", body, headers)
    return expected_answer(request_id, "labels", body), answer


def count_runs_by_id(cluster: LocalCluster) -> Counter[str]:
    runs: Counter[str] = Counter()
    for executor_id in cluster.host_ids(HostKind.EXECUTOR):
        runs.update(run["request_id"] for run in cluster.read_stand_in_log(executor_id)["runs"])
    return runs


def newest_routing_decisions(cluster: LocalCluster, request_prefix: str) -> list[dict[str, Any]]:
    """Returns each router's newest routing decision for requests with an id prefix."""
    newest: list[dict[str, Any]] = []
    for path in sorted(cluster.directory.glob("*-router.log")):
        whole = [text for text in path.read_text().splitlines() if text.endswith("}")]
        lines = [json.loads(text) for text in whole if '"event": "route"' in text]
        matching = [line for line in lines if line["request"].startswith(request_prefix)]
        newest += matching[-1:]
    return newest


def test_concurrent_callers_each_get_their_own_complete_response(cluster: LocalCluster) -> None:
    ports = cluster.router_ports()

    def check(number: int) -> bool:
        port = ports[number % len(ports)]
        expected, answer = send(port, f"own-{number}", run_ms=number * 7 % 60)
        return answer.status == 200 and answer.body == expected

    with ThreadPoolExecutor(24) as callers:
        assert all(callers.map(check, range(120)))


def test_a_planned_stop_of_a_router_cuts_off_no_request(cluster: LocalCluster) -> None:
    name, port = "entry-2/router", cluster.hosts_by_id["entry-2"].port
    is_router_unready = threading.Event()
    failed_requests: list[str] = []

    def call_until_unready(caller: int) -> int:
        sent = 0
        while not is_router_unready.is_set():
            request_id = f"stop-{caller}-{sent}"
            sent += 1
            try:
                expected, answer = send(port, request_id, run_ms=250)
            except (OSError, http.client.HTTPException) as error:
                failed_requests.append(f"{request_id}: {error!r}")
                break
            if answer.status != 200 or answer.body != expected:
                failed_requests.append(f"{request_id}: {answer.status} {answer.body!r}")
        return sent

    def is_ready() -> bool:
        return call(port, "GET", "/readyz").status == 200

    with ThreadPoolExecutor(8) as callers:
        sent = [callers.submit(call_until_unready, number) for number in range(8)]
        wait_until("requests have run", lambda: count_runs_by_id(cluster)["stop-0-1"] > 0)
        cluster.signal(name, signal.SIGTERM)
        wait_until("the router reports not ready", lambda: not is_ready())
        is_router_unready.set()
    assert not failed_requests
    assert min(future.result() for future in sent) > 0
    assert cluster.processes_by_name.pop(name).wait(timeout=30) == 0


def test_a_repeated_non_idempotent_request_runs_once(cluster: LocalCluster) -> None:
    first, second, *_ = cluster.router_ports()
    expected, answer = send(first, "once-1", idempotent=False)
    assert (answer.status, answer.body) == (200, expected)
    assert send(second, "once-1", idempotent=False)[1].status in (200, 409)
    assert count_runs_by_id(cluster)["once-1"] == 1


def test_a_non_idempotent_request_with_a_lost_reply_is_not_run_again(cluster: LocalCluster) -> None:
    for executor_id in cluster.host_ids(HostKind.EXECUTOR):
        cluster.set_faults(executor_id, {"lose_replies": 1})
    first, second, *_ = cluster.router_ports()
    first_answer = send(first, "lost-1", idempotent=False)[1]
    assert (first_answer.status, first_answer.json()["code"]) == (502, 2006)
    second_answer = send(second, "lost-1", idempotent=False)[1]
    assert second_answer.status in (409, 502)
    assert count_runs_by_id(cluster)["lost-1"] == 1


def test_a_leaving_executor_gets_no_new_requests(cluster: LocalCluster) -> None:
    executor_id = cluster.host_ids(HostKind.EXECUTOR)[0]
    cluster.call_platform("POST", f"/v1/hosts/{executor_id}/state", {"state": "leaving"})
    ports = cluster.router_ports()

    def count_runs() -> int:
        return len(cluster.read_stand_in_log(executor_id)["runs"])

    others = len(cluster.host_ids(HostKind.EXECUTOR)) - 1

    def send_batch() -> None:
        answers = [send(ports[number % 3], f"leave-{number}", 5)[1] for number in range(12)]
        assert {answer.status for answer in answers} == {200}

    def is_leaving_applied_everywhere() -> bool:
        """Whether each router's newest decision had only the other executors as candidates."""
        send_batch()
        routes = newest_routing_decisions(cluster, "leave-")
        return len(routes) == len(ports) and all(line["candidates"] == others for line in routes)

    try:
        wait_until("all routers treat the executor as leaving", is_leaving_applied_everywhere)
        before = count_runs()
        for _ in range(3):
            send_batch()
        assert count_runs() == before
    finally:
        cluster.call_platform("POST", f"/v1/hosts/{executor_id}/state", {"state": "live"})
