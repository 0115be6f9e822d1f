"""Tests `jacinthreel top` with metrics servers and with addresses where nothing listens."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator

import pytest
from tornado import httpserver, netutil, web

from jacinthreel_cli.__main__ import run
from jacinthreel_cli._exit import ExitStatus
from jacinthreel_cli._top import COLUMNS, NodeSamples, render_nodes, render_workspaces

OWNER = {
    "owner_epoch": 7.0,
    "policy_version": 12.0,
    'calls_total{method="POST",status="200"}': 10.0,
    'calls_total{method="POST",status="503"}': 1.0,
    'submit_ms{quantile="0.99"}': 14.25,
    "jobs_open": 5.0,
    "jobs_waiting": 2.0,
    "runs_held": 31.0,
    "executors_listed": 48.0,
    "executors_heard": 47.0,
    'plan_ms{quantile="0.99"}': 3.0,
}
LATER = {
    **OWNER,
    'calls_total{method="POST",status="200"}': 30.0,
    'calls_total{method="POST",status="503"}': 5.0,
}

CASES = {
    "owner": (
        NodeSamples("a", OWNER, LATER),
        ["a", "7", "12", "ok", "12.0", "2.0", "14.2", "5", "2", "31", "47/48", "3.0"],
    ),
    "other node": (
        NodeSamples("b", {"owner_epoch": 0.0}, {"owner_epoch": 0.0, "store_lost": 1.0}),
        ["b", "-", "0", "lost", "0.0", "0.0", "-", "-", "-", "-", "-", "-"],
    ),
    "restarted between the samples": (
        NodeSamples("c", LATER, {'calls_total{method="GET",status="200"}': 1.0}),
        ["c", "-", "0", "ok", "?", "?", "-", "-", "-", "-", "-", "-"],
    ),
    "no second sample": (
        NodeSamples("d", OWNER, None),
        ["d", "no answer", *[""] * (len(COLUMNS) - 2)],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_row_shows_the_figures_of_a_node(name: str) -> None:
    samples, expected = CASES[name]
    table = render_nodes([samples], period_s=2.0)
    assert [next(iter(column.cells)) for column in table.columns] == expected


def test_use_and_quota_of_workspaces_are_those_of_the_newest_owner() -> None:
    owner = {
        **OWNER,
        'workspace_used{workspace="w",amount="cpu_milli"}': 2_500.0,
        'workspace_used{workspace="w",amount="accelerators"}': 3.0,
        'workspace_quota{workspace="w",amount="accelerators"}': 4.0,
        'workspace_share{workspace="w"}': 0.125,
        'workspace_held_jobs{workspace="w"}': 2.0,
    }
    former = {"owner_epoch": 6.0, 'workspace_share{workspace="old"}': 1.0}
    table = render_workspaces([NodeSamples("a", None, former), NodeSamples("b", None, owner)])
    assert table is not None
    cells = [list(column.cells) for column in table.columns]
    assert cells == [["w"], ["2.5 / -"], ["0 / -"], ["3 / 4"], ["12.5 %"], ["-"], ["2"]]
    assert render_workspaces([NodeSamples("a", OWNER, OWNER)]) is None


class _Metrics(web.RequestHandler):
    def get(self) -> None:
        self.finish("# TYPE owner_epoch gauge\nowner_epoch 3\nexecutors_listed 9\n")


@pytest.fixture
def metrics_port() -> Iterator[int]:
    """Serves metrics in a separate thread, because the command runs its own event loop."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    loop = asyncio.new_event_loop()

    def serve() -> None:
        asyncio.set_event_loop(loop)
        server = httpserver.HTTPServer(web.Application([("/metrics", _Metrics)]))
        server.add_sockets(sockets)
        loop.run_forever()
        server.stop()

    thread = threading.Thread(target=serve)
    thread.start()
    yield sockets[0].getsockname()[1]
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def test_nodes_with_and_without_an_answer_are_listed(
    metrics_port: int, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "200")
    addresses = [f"127.0.0.1:{metrics_port}", "127.0.0.1:1"]

    assert run(["top", *addresses, "--seconds", "0.1"]) is ExitStatus.DONE

    output = capsys.readouterr().out
    assert "0/9" in output
    assert "no answer" in output


def test_status_is_unknown_if_no_node_answers(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["top", "127.0.0.1:1", "--seconds", "0.1"]) is ExitStatus.UNKNOWN
    assert "PEER_UNREACHABLE" in capsys.readouterr().err
