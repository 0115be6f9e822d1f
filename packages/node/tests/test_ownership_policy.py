"""An owner without a configuration: it does not know the quotas, so it must place nothing."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from node_fakes import ManualClock, MemoryStore

from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node import PolicyView, RoutingPolicy
from jacinthreel_node._ownership import Ownership, OwnershipServices
from jacinthreel_node._records import OwnerRow
from jacinthreel_steps import LeaseLimits


async def count_passes(monkeypatch: pytest.MonkeyPatch, policy: PolicyView) -> int:
    settings = SimpleNamespace(
        run_stop_limit_ms=200, lease_limits=LeaseLimits(5_000, 5_000), status_keep_ms=1_000
    )
    services = OwnershipServices(
        cast(Any, settings),
        MemoryStore(),
        cast(Any, None),
        cast(Any, None),
        policy,
        ManualClock(),
        MetricsRegistry(),
        cast(Any, None),
        lambda event, fields: None,
    )
    ownership = Ownership(
        services,
        OwnerRow(1, "h", "10.0.0.1", 7000, "n"),
        1,
        lambda reason: None,
        lambda: True,
        False,
    )
    passes: list[int] = []
    monkeypatch.setattr(ownership.scheduler, "plan", passes.append)
    ownership.is_loaded = True
    ownership._plan()
    return len(passes)


def test_owner_plans_nothing_before_it_has_a_configuration(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = PolicyView()
    assert asyncio.run(count_passes(monkeypatch, policy)) == 0
    policy.apply_if_newer(RoutingPolicy(1, (), {}))
    assert asyncio.run(count_passes(monkeypatch, policy)) == 1
