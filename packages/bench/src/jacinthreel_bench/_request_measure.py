"""Measures request routing: the core against two baselines on the same work, in virtual time.

`measure_requests` returns one row for each deployment, load, seed and policy.  The loads:
`skewed` (executors of unequal speed at 70 % of the slots), `leaving` (three executors leave at
80 %), `hanging` (two executors stop to reply at 70 %), `overload` (unequal speeds and a leaving
executor at twice the slots) and `joining` (the same, and one router gets its first request when the
others have been overloaded for a while).

Keys: `goodput_ratio` is, up to the slots' capacity, the share of requests answered before their
deadline; above it, the share of the slots' time that went into such requests.  `p50_ms` and
`p99_ms` are the callers' times of answered requests.  `told_not_run_but_ran` counts calls that
were told "not run" although their request ran; `doubled` non-idempotent requests that ran twice.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Final

import numpy as np

from jacinthreel_bench._request_baselines import BaselinePolicy, BaselineRouter
from jacinthreel_bench._request_world import (
    WORKSPACES,
    CallRecord,
    RequestPlan,
    Router,
    Weather,
    World,
)
from jacinthreel_requests import Answered, NotRun, RequestRouter

EXECUTORS: Final = 25
SLOTS: Final = 8
ROUTERS: Final = 6
MEAN_RUN_MS: Final = 200.0
RUN_SIGMA: Final = 0.7
DEADLINES_MS: Final = (2_000.0, 5_000.0, 30_000.0)
WARM_UP_MS: Final = 5_000.0
END_MS: Final = 15_000.0
DRAIN_MS: Final = 10_000.0
POLICIES: Final = ("random", "round_robin", "jacinthreel")


@dataclass(frozen=True, slots=True)
class RequestDeployment:
    """Zones and one-way latencies of a deployment, in milliseconds."""

    name: str
    zones: tuple[str, ...]
    zone_ms: float
    client_ms: float


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Offered work as a share of the slots, and which faults there are."""

    name: str
    share: float
    skewed: bool
    leaving: int
    joining: bool = False
    hanging: int = 0


DEPLOYMENTS: Final = (
    RequestDeployment("association", ("fukuoka", "kumamoto", "kagoshima"), 1.5, 1.0),
    RequestDeployment("depot", ("ulaanbaatar", "darkhan", "zuunmod"), 0.5, 3.0),
)
LOADS: Final = (
    RequestLoad("skewed", 0.7, skewed=True, leaving=0),
    RequestLoad("leaving", 0.8, skewed=False, leaving=3),
    RequestLoad("hanging", 0.7, skewed=False, leaving=0, hanging=2),
    RequestLoad("overload", 2.0, skewed=True, leaving=1),
    RequestLoad("joining", 2.0, skewed=True, leaving=1, joining=True),
)


def measure_requests(seeds: list[int]) -> list[dict[str, Any]]:
    """One row for each deployment, load, seed and policy."""
    return [
        measure_one(deployment, load, seed, policy)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for seed in seeds
        for policy in POLICIES
    ]


def measure_one(
    deployment: RequestDeployment,
    load: RequestLoad,
    seed: int,
    policy: str,
    end_ms: float = END_MS,
) -> dict[str, Any]:
    """Runs one policy on one load until `end_ms` and judges what callers saw."""
    weather = _weather(load, seed)
    world = World(
        deployment.zones,
        deployment.zone_ms,
        deployment.client_ms,
        lambda host_id, zone, rng: _make_router(policy, host_id, zone, rng),
        weather,
        seed,
        EXECUTORS,
        ROUTERS,
    )
    world.run(_plans(load, weather, seed, end_ms), end_ms + DRAIN_MS)
    row: dict[str, Any] = {
        "deployment": deployment.name,
        "load": load.name,
        "seed": seed,
        "policy": policy,
    }
    row.update(_judge(world, load, end_ms))
    return row


def _make_router(policy: str, host_id: str, zone: str, rng: random.Random) -> Router:
    if policy == "jacinthreel":
        return RequestRouter(host_id, zone, "boot", rng)
    return BaselineRouter(BaselinePolicy(policy), rng)


def _weather(load: RequestLoad, seed: int) -> Weather:
    rng = random.Random(f"weather/{load.name}/{seed}")
    names = [f"x{number:02d}" for number in range(EXECUTORS)]
    speeds = {name: rng.choice((0.4, 0.7, 1.0, 1.0, 1.3)) for name in names if load.skewed}
    leavers = rng.sample(names, load.leaving)
    leaving = {name: WARM_UP_MS + 1_000.0 * (index + 1) for index, name in enumerate(leavers)}
    return Weather(
        lost_reply=0.002,
        connect_failure=0.002,
        speeds_by_executor=speeds,
        leaving_at_ms=leaving,
        hanging_at_ms=dict.fromkeys(rng.sample(names, load.hanging), WARM_UP_MS + 1_000.0),
    )


def _plans(load: RequestLoad, weather: Weather, seed: int, end_ms: float) -> list[RequestPlan]:
    """Poisson arrivals of `load.share` times the work that the slots can do."""
    rng = random.Random(f"plans/{load.name}/{seed}")
    speeds = [weather.speeds_by_executor.get(f"x{n:02d}", 1.0) for n in range(EXECUTORS)]
    rate = load.share * SLOTS * sum(speeds) / MEAN_RUN_MS
    mu = float(np.log(MEAN_RUN_MS) - RUN_SIGMA**2 / 2)
    plans: list[RequestPlan] = []
    now_ms = 0.0
    while now_ms < end_ms:
        now_ms += rng.expovariate(rate)
        kind = rng.random()
        early = now_ms < WARM_UP_MS
        plans.append(
            RequestPlan(
                request_id=f"r{len(plans)}",
                workspace=rng.choice(WORKSPACES),
                arrives_ms=now_ms,
                run_ms=rng.lognormvariate(mu, RUN_SIGMA),
                deadline_ms=rng.choice(DEADLINES_MS),
                idempotent=kind < 0.7,
                own_id=kind > 0.9,
                router=rng.randrange(ROUTERS - 1 if load.joining and early else ROUTERS),
            )
        )
    return plans


def _judge(world: World, load: RequestLoad, end_ms: float) -> dict[str, Any]:
    counted = [c for c in world.calls if WARM_UP_MS <= c.plan.arrives_ms < end_ms]
    in_time = [c for c in counted if isinstance(c.outcome, Answered)]
    took_ms = [call.answered_ms - call.sent_ms for call in in_time]
    below = load.share < 1.0
    goodput = len(in_time) / len(counted) if below else _useful_slot_share(world, end_ms)
    runs = world.runs_by_request()
    doubled = sum(runs.get(c.plan.request_id, 0) > 1 for c in _non_idempotent(world.calls))
    lied = sum(
        isinstance(call.outcome, NotRun) and number in world.ran_calls
        for number, call in enumerate(world.calls, start=1)
    )
    return {
        "goodput_ratio": round(goodput, 4),
        "p50_ms": round(float(np.percentile(took_ms, 50)), 1),
        "p99_ms": round(float(np.percentile(took_ms, 99)), 1),
        "told_not_run_but_ran": lied,
        "doubled": doubled,
    }


def _non_idempotent(calls: list[CallRecord]) -> list[CallRecord]:
    return [
        call for call in calls if not call.plan.idempotent and call.sent_ms == call.plan.arrives_ms
    ]


def _useful_slot_share(world: World, window_end_ms: float) -> float:
    """The share of slot time in the window that went into requests answered in time."""
    good = {c.plan.request_id for c in world.calls if isinstance(c.outcome, Answered)}
    useful_ms = 0.0
    available_ms = 0.0
    for executor_id, model in world.executors_by_id.items():
        leaves_ms = world.weather.leaving_at_ms.get(executor_id, window_end_ms)
        end_ms = min(window_end_ms, leaves_ms)
        available_ms += model.slots * (end_ms - WARM_UP_MS)
        for run in model.runs:
            if run.request_id in good:
                useful_ms += max(0.0, min(run.ends_ms, end_ms) - max(run.started_ms, WARM_UP_MS))
    return useful_ms / available_ms
