"""An owner without a configuration: it does not know the quotas, so it must place nothing."""

from __future__ import annotations

import asyncio

import pytest
from node_fakes import make_ownership

from jacinthreel_node import PolicyView, RoutingPolicy


async def count_passes(monkeypatch: pytest.MonkeyPatch, policy: PolicyView) -> int:
    ownership = make_ownership(policy)
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
