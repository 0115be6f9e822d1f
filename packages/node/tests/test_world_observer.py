"""Guards against an observer of the model test that misses jobs that the owner forgot."""

from __future__ import annotations

from typing import Any

import pytest
from ownership_world import FakeExecutor, Node, World, make_job

JOB = "0000000000000001"


class ForgettingDict(dict[str, Any]):
    """Keeps nothing."""

    def __setitem__(self, key: str, value: Any) -> None:
        return


def observe(is_forgotten: bool, restart_period_ms: int, duration_ms: int = 12_000) -> list[str]:
    """Returns the violations after an owner took a job in; an executor restarts in each period."""
    world = World(0)
    executor = world.executors["e1"] = FakeExecutor(world, "e1", 1.0)
    executor.start_process()
    node = world.nodes["1"] = Node(world, "1")
    world.advance(3_000)
    ownership = node.elector.ownership
    assert ownership is not None
    if is_forgotten:
        ownership.scheduler.tables.open_jobs_by_id = ForgettingDict()
    node.submit(make_job(JOB, 1_000, 1, 0, False))
    for _ in range(duration_ms // restart_period_ms):
        executor.stop_process()
        executor.start_process()
        world.advance(restart_period_ms)
    node.kill()
    return world.violations


def test_job_that_the_owner_forgot_is_a_violation_after_a_calm_period() -> None:
    [violation] = observe(is_forgotten=True, restart_period_ms=7_500)
    assert violation.startswith(JOB) and violation.endswith("the owners logged nothing of it")


@pytest.mark.parametrize(("is_forgotten", "restart_period_ms"), [(False, 12_000), (True, 6_500)])
def test_job_that_runs_or_waits_beside_disruptions_is_none(
    is_forgotten: bool, restart_period_ms: int
) -> None:
    assert observe(is_forgotten, restart_period_ms) == []
