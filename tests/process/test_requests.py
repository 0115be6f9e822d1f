"""Requests through real processes: whose answer it is, how often it ran, planned stops."""

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
    """Sends a request; the answer that it should get, and what came."""
    body = f"{request_id} run={run_ms}".encode()
    headers = {"X-Request-Id": request_id, "X-Idempotent": str(idempotent).lower()}
    answer = call(port, "POST", "/v1/requests/labels", body, headers)
    return expected_answer(request_id, "labels", body), answer


def runs_by_id(cluster: LocalCluster) -> Counter[str]:
    runs: Counter[str] = Counter()
    for executor_id in cluster.ids_of(HostKind.EXECUTOR):
        runs.update(run["request_id"] for run in cluster.stand_in_log(executor_id)["runs"])
    return runs


def newest_routes(cluster: LocalCluster, request_prefix: str) -> list[dict[str, Any]]:
    """The newest routing decision of each router for requests whose id begins so."""
    newest: list[dict[str, Any]] = []
    for path in sorted(cluster.directory.glob("*-router.log")):
        whole = [text for text in path.read_text().splitlines() if text.endswith("}")]
        lines = [json.loads(text) for text in whole if '"event": "route"' in text]
        mine = [line for line in lines if line["request"].startswith(request_prefix)]
        newest += mine[-1:]
    return newest


def test_every_caller_gets_its_own_whole_answer(cluster: LocalCluster) -> None:
    ports = cluster.router_ports()

    def check(number: int) -> bool:
        port = ports[number % len(ports)]
        expected, answer = send(port, f"own-{number}", run_ms=number * 7 % 60)
        return answer.status == 200 and answer.body == expected

    with ThreadPoolExecutor(24) as callers:
        assert all(callers.map(check, range(120)))


def test_a_planned_stop_of_a_router_cuts_off_no_request(cluster: LocalCluster) -> None:
    name, port = "entry-2/router", cluster.hosts_by_id["entry-2"].port
    balancer_left = threading.Event()
    lost: list[str] = []

    def call_until_unready(caller: int) -> int:
        sent = 0
        while not balancer_left.is_set():
            request_id = f"stop-{caller}-{sent}"
            sent += 1
            try:
                expected, answer = send(port, request_id, run_ms=250)
            except (OSError, http.client.HTTPException) as error:
                lost.append(f"{request_id}: {error!r}")
                break
            if answer.status != 200 or answer.body != expected:
                lost.append(f"{request_id}: {answer.status} {answer.body!r}")
        return sent

    def is_ready() -> bool:
        return call(port, "GET", "/readyz").status == 200

    with ThreadPoolExecutor(8) as callers:
        sent = [callers.submit(call_until_unready, number) for number in range(8)]
        wait_until("requests run", lambda: runs_by_id(cluster)["stop-0-1"] > 0)
        cluster.signal(name, signal.SIGTERM)
        wait_until("the balancer notices", lambda: not is_ready())
        balancer_left.set()
    assert not lost
    assert min(future.result() for future in sent) > 0
    assert cluster.processes_by_name.pop(name).wait(timeout=30) == 0


def test_a_non_idempotent_request_runs_once_though_it_is_repeated(cluster: LocalCluster) -> None:
    first, second, *_ = cluster.router_ports()
    expected, answer = send(first, "once-1", idempotent=False)
    assert (answer.status, answer.body) == (200, expected)
    assert send(second, "once-1", idempotent=False)[1].status in (200, 409)
    assert runs_by_id(cluster)["once-1"] == 1


def test_a_lost_answer_is_not_run_again(cluster: LocalCluster) -> None:
    for executor_id in cluster.ids_of(HostKind.EXECUTOR):
        cluster.set_faults(executor_id, {"lose_replies": 1})
    first, second, *_ = cluster.router_ports()
    lost = send(first, "lost-1", idempotent=False)[1]
    assert (lost.status, lost.json()["code"]) == (502, 2006)
    again = send(second, "lost-1", idempotent=False)[1]
    assert again.status in (409, 502)
    assert runs_by_id(cluster)["lost-1"] == 1


def test_a_leaving_executor_gets_no_new_work(cluster: LocalCluster) -> None:
    executor_id = cluster.ids_of(HostKind.EXECUTOR)[0]
    cluster.platform("POST", f"/v1/hosts/{executor_id}/state", {"state": "leaving"})
    ports = cluster.router_ports()

    def runs_there() -> int:
        return len(cluster.stand_in_log(executor_id)["runs"])

    others = len(cluster.ids_of(HostKind.EXECUTOR)) - 1

    def send_batch() -> None:
        answers = [send(ports[number % 3], f"leave-{number}", 5)[1] for number in range(12)]
        assert {answer.status for answer in answers} == {200}

    def is_known() -> bool:
        """Whether each router's newest decision had only the others to choose from."""
        send_batch()
        routes = newest_routes(cluster, "leave-")
        return len(routes) == len(ports) and all(line["candidates"] == others for line in routes)

    try:
        wait_until("all routers know that the executor leaves", is_known)
        before = runs_there()
        for _ in range(3):
            send_batch()
        assert runs_there() == before
    finally:
        cluster.platform("POST", f"/v1/hosts/{executor_id}/state", {"state": "live"})
