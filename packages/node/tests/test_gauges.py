"""Gauges of the owner: executors that are excluded as slow, and queues with a run-time model."""

from __future__ import annotations

from dataclasses import replace
from typing import cast
from unittest.mock import Mock

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_node._gauges import set_gauges
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._records import EarlierLeases
from jacinthreel_node._workspace_gauges import WorkspaceGauges
from jacinthreel_steps import ExecutorListing, Resources, Scheduler

EARLIER = EarlierLeases({"e1": 3_000, "e2": 10}, 0)
LISTING = ExecutorListing("", 1, "10.0.0.1:80", "s", "z", "r", frozenset(), Resources(1, 1, 1))


def test_executors_count_as_slow_only_while_they_are_excluded() -> None:
    scheduler = Scheduler(lambda _event, _fields: None)
    for name, slow_until_ms in (("e1", 0), ("e2", 999), ("e3", 5_000)):
        scheduler.apply_listing(replace(LISTING, executor_id=name), 0)
        scheduler.tables.executors_by_id[name].health.slow_until_ms = slow_until_ms
    scheduler.restore_run_times({"q1": (20.0, 1.5, 4.25, 9.75, 0.5, 0.375)})
    metrics = Mock(spec=MetricsRegistry)
    former = {"former_leases": FormerLeases(4_000, 1_000), "earlier_leases": lambda: EARLIER}
    ownership = cast(Ownership, Mock(scheduler=scheduler, epoch=3, **former))
    set_gauges(metrics, WorkspaceGauges(metrics), ownership, 1, False, 0, 1_000)
    value_by_name = dict(call.args for call in metrics.gauge.call_args_list)
    assert (value_by_name["executors_slow"], value_by_name["run_time_queues"]) == (1, 1)
    names = ("former_leases_wait_ms", "executors_unanswered")
    assert [value_by_name[name] for name in names] == [3_000, 2]
