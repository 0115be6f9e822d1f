"""Unexpected errors: one of a row costs only that row, one of a planning pass the ownership."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from node_fakes import make_ownership
from ownership_world import make_policy_view

from jacinthreel_node import Row
from jacinthreel_steps import ExecutorListing, Resources


class FailingDecoder:
    """Decodes each executor row but one with an empty value, for which it raises an error."""

    operator_table = "op"
    executor_table = "servers"

    def decode_executor_listing(self, row: Row) -> ExecutorListing:
        if not row.value:
            raise RecursionError("nested too deeply")
        return ExecutorListing(
            row.key, 1, "10.0.0.9:80", "s", "z", "r", frozenset(), Resources(1, 1, 1)
        )


def test_executor_row_that_raises_an_unexpected_error_costs_only_that_row() -> None:
    logged: list[tuple[str, dict[str, Any]]] = []
    lost: list[str] = []
    ownership = make_ownership(
        row_decoder=FailingDecoder(),
        on_lost=lost.append,
        log=lambda event, fields: logged.append((event, fields)),
    )
    ownership._listings._links = cast(Any, SimpleNamespace(add=lambda executor_id: None))
    rows = [Row("servers", key, value, 1) for key, value in (("i-1", b"v"), ("i-2", b""))]
    ownership._listings.apply_changes((rows[1], rows[0]))
    assert list(ownership.scheduler.tables.executors_by_id) == ["i-1"]
    assert [fields["executor"] for event, fields in logged if event == "executor_row_unreadable"]
    assert not lost


def test_owner_that_fails_in_each_planning_pass_makes_way_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an owner that renews its lease and starts nothing any more.
    lost: list[str] = []
    ownership = make_ownership(policy=make_policy_view(), on_lost=lost.append)
    ownership.is_loaded = True
    monkeypatch.setattr(ownership.scheduler, "plan", lambda now_ms: 1 / 0)

    async def plan_once() -> None:
        ownership.request_plan()
        await asyncio.sleep(0.1)

    asyncio.run(plan_once())
    assert lost == ["unexpected error: ZeroDivisionError('division by zero')"]
