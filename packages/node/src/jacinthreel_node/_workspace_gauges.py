"""Gauges of workspaces at the owner: use, quota, share and jobs held by their quota."""

from __future__ import annotations

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_steps import Resources, WorkspaceSummary


class WorkspaceGauges:
    """Sets the gauges; those of workspaces that are no longer summarized become 0."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._metrics = metrics
        self._names: set[str] = set()

    def set_all(self, summaries: list[WorkspaceSummary]) -> None:
        """Sets the gauges of all workspaces."""
        values: dict[str, float] = {}
        for summary in summaries:
            label = f'workspace="{_escape(summary.workspace)}"'
            _add_amounts(values, "workspace_used", label, summary.running)
            _add_amounts(values, "workspace_claimed", label, summary.claimed)
            if summary.quota is not None:
                _add_amounts(values, "workspace_quota", label, summary.quota)
            if summary.weight is not None:
                values[f"workspace_weight{{{label}}}"] = summary.weight
            values[f"workspace_share{{{label}}}"] = round(summary.share, 4)
            values[f"workspace_held_jobs{{{label}}}"] = summary.held_jobs
        for name in sorted(self._names | values.keys()):
            self._metrics.gauge(name, values.get(name, 0))
        self._names |= values.keys()


def _add_amounts(values: dict[str, float], name: str, label: str, amounts: Resources) -> None:
    values[f'{name}{{{label},amount="cpu_milli"}}'] = amounts.cpu_milli
    values[f'{name}{{{label},amount="memory_mb"}}'] = amounts.memory_mb
    values[f'{name}{{{label},amount="accelerators"}}'] = amounts.accelerators


def _escape(value: str) -> str:
    """Escapes a label value for the Prometheus text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
