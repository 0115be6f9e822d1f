"""Inputs that arrive out of order or can't be read."""

from __future__ import annotations

import msgspec
from scheduler_harness import SchedulerHarness, listing, step

from jacinthreel_steps import Policy, decode_progress_state


def test_older_policy_does_not_replace_a_newer_one() -> None:
    # Guards against an accepted configuration that reverts.
    harness = SchedulerHarness(listing("e1"), policy=Policy(3, zones_out_of_service=frozenset("z")))
    harness.scheduler.apply_policy(Policy(2))
    assert harness.scheduler.tables.policy.version == 3
    assert harness.log_lines[-1] == ("policy_outdated", {"version": 2, "current_version": 3})
    harness.scheduler.apply_policy(Policy(3))
    assert not harness.scheduler.tables.policy.zones_out_of_service


def test_executor_with_an_unreadable_row_gets_no_tasks_and_stays_known() -> None:
    # Guards against ends that are never read because one bad row has removed the executor.
    harness = SchedulerHarness(listing("e1"))
    harness.scheduler.suspend_listing("e1")
    harness.submit("j1", step())
    harness.settle()
    assert not harness.running
    harness.scheduler.expire_executor("e1", "lease expired", harness.now_ms)
    assert "e1" in harness.scheduler.tables.executors_by_id
    harness.scheduler.apply_listing(listing("e1"), harness.now_ms)
    harness.report("e1")
    harness.settle()
    assert len(harness.runs("j1")) == 1


def test_executor_whose_unreadable_row_is_deleted_is_forgotten() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.scheduler.suspend_listing("e1")
    harness.scheduler.remove_listing("e1")
    harness.scheduler.expire_executor("e1", "lease expired", harness.now_ms)
    assert "e1" not in harness.scheduler.tables.executors_by_id


def test_stored_progress_with_an_unknown_state_is_unreadable() -> None:
    # Guards against an exception that ends the ownership of each owner that loads the row.
    assert decode_progress_state(msgspec.msgpack.encode(["w", 99, [], []])) is None
