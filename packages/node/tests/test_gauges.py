"""Gauges of the owner: executors that are excluded as slow, and queues with a run-time model."""

from __future__ import annotations

from dataclasses import replace
from typing import cast
from unittest.mock import Mock

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._gauges import set_gauges
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._workspace_gauges import WorkspaceGauges
from jacinthreel_steps import ExecutorListing, Resources, Scheduler

LISTING = ExecutorListing("", 1, "10.0.0.1:80", "s", "z", "r", frozenset(), Resources(1, 1, 1))


def test_executors_count_as_slow_only_while_they_are_excluded() -> None:
    scheduler = Scheduler(lambda _event, _fields: None)
    for name, slow_until_ms in (("e1", 0), ("e2", 999), ("e3", 5_000)):
        scheduler.apply_listing(replace(LISTING, executor_id=name), 0)
        scheduler.tables.executors_by_id[name].health.slow_until_ms = slow_until_ms
    scheduler.restore_run_times({"q1": (20.0, 1.5, 4.25, 9.75, 0.5, 0.375)})
    metrics = Mock(spec=MetricsRegistry)
    ownership = cast(Ownership, Mock(scheduler=scheduler, epoch=3))
    set_gauges(metrics, WorkspaceGauges(metrics), ownership, 1, False, 0, 1_000)
    value_by_name = dict(call.args for call in metrics.gauge.call_args_list)
    assert (value_by_name["executors_slow"], value_by_name["run_time_queues"]) == (1, 1)
