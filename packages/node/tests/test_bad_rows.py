"""Rows whose decoding fails unexpectedly: they must not end the ownership that reads them."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from node_fakes import ManualClock, MemoryStore

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node import PolicyView, Row
from jacinthreel_node._ownership import Ownership, OwnershipServices
from jacinthreel_node._records import OwnerRow
from jacinthreel_steps import ExecutorListing, LeaseLimits, Resources


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
    settings = SimpleNamespace(
        run_stop_limit_ms=200, lease_limits=LeaseLimits(5_000, 5_000), status_keep_ms=1_000
    )
    services = OwnershipServices(
        cast(Any, settings),
        MemoryStore(),
        cast(Any, None),
        cast(Any, FailingDecoder()),
        PolicyView(),
        ManualClock(),
        MetricsRegistry(),
        cast(Any, None),
        lambda event, fields: logged.append((event, fields)),
    )
    lost: list[str] = []
    owner = OwnerRow(1, "h", "10.0.0.1", 7000, "n")
    ownership = Ownership(services, owner, 1, lost.append, lambda: True, False)
    ownership.fleet = cast(Any, SimpleNamespace(add=lambda executor_id: None))
    rows = [Row("servers", key, value, 1) for key, value in (("i-1", b"v"), ("i-2", b""))]
    ownership._apply_listing_changes((rows[1], rows[0]))
    assert list(ownership.scheduler.tables.executors_by_id) == ["i-1"]
    assert [fields["executor"] for event, fields in logged if event == "executor_row_unreadable"]
    assert not lost
