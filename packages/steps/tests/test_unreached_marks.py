"""Marks of executors that an owner has not reached: a next one must find them only where true."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, step

from jacinthreel_steps import find_unreached


def make_unreached(tasks: int = 1) -> tuple[SchedulerHarness, str]:
    """Returns a new owner that has marked the executor of a job's runs, and its id."""
    harness = SchedulerHarness(listing("e1"))
    harness.submit("job", step(tasks))
    harness.settle()
    harness.take_over()
    harness.scheduler.mark_unreached(lambda executor_id: False)
    harness.store()
    return harness, "e1"


def stored_unreached(harness: SchedulerHarness, prefix: str = "w") -> set[str]:
    return find_unreached([row.value for row in harness.rows.values()], prefix)


def test_executor_that_the_owner_has_not_reached_is_stored_for_the_next_one() -> None:
    harness, executor_id = make_unreached(2)
    assert stored_unreached(harness) == {executor_id}
    assert stored_unreached(harness, "another owner") == set()


def test_no_lease_is_granted_before_the_mark_is_removed_from_the_stored_progress() -> None:
    harness, executor_id = make_unreached()

    harness.scheduler.record_reached(executor_id)

    assert not harness.scheduler.may_grant(executor_id)
    harness.report(executor_id)
    assert stored_unreached(harness) == {executor_id}
    harness.store()
    assert harness.scheduler.may_grant(executor_id)
    assert stored_unreached(harness) == set()


@pytest.mark.parametrize("is_readable", [False, True])
def test_executor_that_another_row_names_without_a_mark_counts_as_reached(
    is_readable: bool,
) -> None:
    harness, executor_id = make_unreached()
    marked = [row.value for row in harness.rows.values()]
    unmarked = SchedulerHarness(listing(executor_id))
    unmarked.submit("other", step())
    unmarked.settle()
    others = [row.value if is_readable else b"?" for row in unmarked.rows.values()]
    assert find_unreached(marked + others, "w") == set()
