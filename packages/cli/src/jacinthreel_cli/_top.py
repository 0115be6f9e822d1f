"""Implements `jacinthreel top`: shows load figures of running nodes from their metrics.

Each node's metrics are fetched twice, some seconds apart.  Rates are the difference between the
counters of both samples; gauges and quantiles are those of the second one.  A node that gives no
answer is listed with "no answer".
"""

from __future__ import annotations

import asyncio
import re
import sys
from dataclasses import dataclass
from typing import Annotated, Final

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from jacinthreel_cli._exit import CommandError, ExitStatus, usage_error
from jacinthreel_cli._views import render_table
from jacinthreel_common import Fault, ResultCode

METRICS_PATH: Final = "/metrics"
FETCH_TIMEOUT_S: Final = 3.0
DEFAULT_PERIOD_S: Final = 2.0
COLUMNS: Final = (
    "node",
    "owns epoch",
    "policy",
    "store",
    "calls/s",
    "refused/s",
    "p99 submit ms",
    "jobs open",
    "waiting",
    "runs",
    "executors reporting",
    "p99 plan ms",
)

WORKSPACE_COLUMNS: Final = (
    "workspace",
    "cores / quota",
    "memory MB / quota",
    "accelerators / quota",
    "share",
    "weight",
    "held jobs",
)
WORKSPACE_METRIC: Final = re.compile(
    r'workspace_(\w+)\{workspace="((?:[^"\\]|\\.)*)"(?:,amount="(\w+)")?\}'
)

MetricsSample = dict[str, float]
"""Metric values by name, labels included."""


@dataclass(frozen=True, slots=True)
class NodeSamples:
    """Two samples of one node; a sample is None if the node gave no answer."""

    address: str
    first: MetricsSample | None
    second: MetricsSample | None


def top(
    addresses: list[str],
    *,
    seconds: Annotated[float, Parameter(help="Time between the two samples.")] = DEFAULT_PERIOD_S,
) -> None:
    """Shows the load of running nodes: calls, jobs, executors, and workspaces with quotas.

    Parameters
    ----------
    addresses
        Metrics addresses, each `IP:PORT`.
    seconds
        Time between the two samples from which rates are computed.
    """
    if seconds <= 0:
        raise usage_error(ResultCode.OUT_OF_RANGE, "the time between samples must be positive")
    nodes = asyncio.run(_sample_nodes(addresses, seconds))
    console = Console(file=sys.stdout, width=None)
    console.print(render_nodes(nodes, seconds))
    workspaces = render_workspaces(nodes)
    if workspaces is not None:
        console.print(workspaces)
    if all(node.second is None for node in nodes):
        fault = Fault(ResultCode.PEER_UNREACHABLE, "no metrics address answered")
        raise CommandError(ExitStatus.UNKNOWN, fault)


def parse_metrics(text: str) -> MetricsSample:
    """Parses the Prometheus text format; lines without a value are skipped.

    >>> parse_metrics('# TYPE a counter\\na{code="0"} 3\\nb_ms{quantile="0.99"} 1.5\\nnoise')
    {'a{code="0"}': 3.0, 'b_ms{quantile="0.99"}': 1.5}
    """
    sample: MetricsSample = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if not name or line.startswith("#"):
            continue
        try:
            sample[name] = float(value)
        except ValueError:
            continue
    return sample


def render_nodes(nodes: list[NodeSamples], period_s: float) -> Table:
    """Returns a table with one row for each node."""
    return render_table("nodes", COLUMNS, [_format_row(node, period_s) for node in nodes])


def render_workspaces(nodes: list[NodeSamples]) -> Table | None:
    """Returns a table of the owner's workspaces; None if there is no owner or nothing to show.

    Of several nodes that report an epoch, the one with the highest is the owner.
    """
    samples = [node.second for node in nodes if node.second and node.second.get("owner_epoch")]
    if not samples:
        return None
    owner = max(samples, key=lambda sample: sample["owner_epoch"])
    values_by_workspace: dict[str, dict[str, float]] = {}
    for name, value in owner.items():
        match = WORKSPACE_METRIC.fullmatch(name)
        if match is not None:
            kind, workspace, amount = match.groups()
            key = f"{kind}.{amount}" if amount else kind
            values_by_workspace.setdefault(workspace, {})[key] = value
    if not values_by_workspace:
        return None
    rows = [_format_workspace(*item) for item in sorted(values_by_workspace.items())]
    return render_table("workspaces", WORKSPACE_COLUMNS, rows)


def _format_workspace(workspace: str, values: dict[str, float]) -> list[str]:
    weight = values.get("weight")
    return [
        workspace,
        _format_use(values, "cpu_milli", 1_000),
        _format_use(values, "memory_mb", 1),
        _format_use(values, "accelerators", 1),
        f"{100 * values.get('share', 0):.1f} %",
        f"{weight:g}" if weight else "-",
        f"{values.get('held_jobs', 0):.0f}",
    ]


def _format_use(values: dict[str, float], amount: str, unit: int) -> str:
    """Returns the use and the quota, "-" if the amount is not limited."""
    quota = values.get(f"quota.{amount}")
    limit = f"{quota / unit:g}" if quota else "-"
    return f"{values.get(f'used.{amount}', 0) / unit:g} / {limit}"


def _format_row(node: NodeSamples, period_s: float) -> list[str]:
    sample = node.second
    if sample is None:
        return [node.address, "no answer", *[""] * (len(COLUMNS) - 2)]
    epoch = int(sample.get("owner_epoch", 0))
    calls = _format_call_rate(node, period_s, refused_only=False)
    refused = _format_call_rate(node, period_s, refused_only=True)
    row = [
        node.address,
        str(epoch) if epoch else "-",
        f"{sample.get('policy_version', 0):.0f}",
        "lost" if sample.get("store_lost") else "ok",
        calls,
        refused,
        _format_p99(sample, "submit_ms"),
    ]
    if not epoch:
        return [*row, *["-"] * (len(COLUMNS) - len(row))]
    reporting = f"{sample.get('executors_heard', 0):.0f}/{sample.get('executors_listed', 0):.0f}"
    return [
        *row,
        f"{sample.get('jobs_open', 0):.0f}",
        f"{sample.get('jobs_waiting', 0):.0f}",
        f"{sample.get('runs_held', 0):.0f}",
        reporting,
        _format_p99(sample, "plan_ms"),
    ]


def _format_call_rate(node: NodeSamples, period_s: float, refused_only: bool) -> str:
    """Returns calls per second; "?" if a sample is missing or a restart reset the counters."""
    if node.first is None or node.second is None:
        return "?"
    difference = _sum_calls(node.second, refused_only) - _sum_calls(node.first, refused_only)
    return f"{difference / period_s:.1f}" if difference >= 0 else "?"


def _sum_calls(sample: MetricsSample, refused_only: bool) -> float:
    total = 0.0
    for name, value in sample.items():
        if not name.startswith("calls_total{"):
            continue
        if refused_only and not any(f'status="{status}"' in name for status in (429, 503)):
            continue
        total += value
    return total


def _format_p99(sample: MetricsSample, name: str) -> str:
    value = sample.get(f'{name}{{quantile="0.99"}}')
    return "-" if value is None else f"{value:.1f}"


async def _sample_nodes(addresses: list[str], period_s: float) -> list[NodeSamples]:
    first = await asyncio.gather(*(_fetch_metrics(address) for address in addresses))
    await asyncio.sleep(period_s)
    second = await asyncio.gather(*(_fetch_metrics(address) for address in addresses))
    return [NodeSamples(*samples) for samples in zip(addresses, first, second, strict=True)]


async def _fetch_metrics(address: str) -> MetricsSample | None:
    try:
        reply = await AsyncHTTPClient().fetch(
            f"http://{address}{METRICS_PATH}",
            connect_timeout=FETCH_TIMEOUT_S,
            request_timeout=FETCH_TIMEOUT_S,
        )
    except (HTTPClientError, OSError, ValueError) as error:
        sys.stderr.write(f"{address}: {error}\n")
        return None
    return parse_metrics(reply.body.decode(errors="replace"))
