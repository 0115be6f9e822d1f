"""Gauges of workspaces: complete, escaped, and reset when a workspace or the ownership is gone."""

from __future__ import annotations

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._workspace_gauges import WorkspaceGauges
from jacinthreel_steps import (
    JobRecord,
    JobSpec,
    Policy,
    QueueTerms,
    Resources,
    Scheduler,
    StepSpec,
)


def test_gauges_show_held_jobs_and_are_reset_without_summaries() -> None:
    scheduler = Scheduler(lambda event, fields: None)
    scheduler.apply_policy(Policy(1, quota_by_workspace={'a"b': Resources(0, 0, 4)}))
    terms = QueueTerms("q", "s", 1, 3, 3.0, 1_000)
    gang = JobSpec("x", (StepSpec(5, Resources(1, 1, 1), is_gang=True),))
    scheduler.add_job(JobRecord("j", terms, 'a"b', gang, 0), None, 0, 0)
    scheduler.plan(0)
    metrics = MetricsRegistry()
    gauges = WorkspaceGauges(metrics)
    gauges.set_all(scheduler.workspace_summaries())
    held = 'workspace_held_jobs{workspace="a\\"b"}'
    assert f"{held} 1\n" in metrics.render()
    assert 'workspace_quota{workspace="a\\"b",amount="accelerators"} 4\n' in metrics.render()

    gauges.set_all([])
    assert f"{held} 0\n" in metrics.render()


def test_without_quotas_and_weights_there_are_no_gauges() -> None:
    assert Scheduler(lambda event, fields: None).workspace_summaries() == []
