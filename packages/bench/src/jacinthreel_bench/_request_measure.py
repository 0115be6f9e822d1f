"""Measures request routing of the core and two baselines on the same work, in virtual time.

`measure_requests` returns one row for each deployment, load, seed and policy.  The loads, with the
offered work relative to the capacity of all slots:

- `skewed`: executors of unequal speed, at 70 %.
- `leaving`: three executors leave, at 80 %.
- `hanging`: two executors stop replying, at 70 %.
- `overload`: executors of unequal speed, of which one leaves, at 200 %.
- `joining`: as `overload`, but one router gets no requests until the warm-up ends, when the other
  routers are already overloaded.

The keys of a row:

- `goodput_ratio`: for loads below capacity, the share of calls answered before their deadline;
  above it, the share of slot time spent on requests that were answered in time.
- `p50_ms`, `p99_ms`: latencies of answered calls as measured by the callers.
- `told_not_run_but_ran`: calls that got a "not run" result although their request ran.
- `doubled`: non-idempotent requests that ran more than once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Final

import numpy as np

from jacinthreel_bench._request_baselines import BaselinePolicy, BaselineRouter
from jacinthreel_bench._request_simulation import (
    WORKSPACES,
    CallRecord,
    FaultScenario,
    RequestPlan,
    RequestSimulation,
    Router,
)
from jacinthreel_requests import Answered, NotRun, RequestRouter

EXECUTOR_COUNT: Final = 25
SLOTS_PER_EXECUTOR: Final = 8
ROUTER_COUNT: Final = 6
MEAN_RUN_MS: Final = 200.0
RUN_SIGMA: Final = 0.7
DEADLINES_MS: Final = (2_000.0, 5_000.0, 30_000.0)
WARM_UP_MS: Final = 5_000.0
END_MS: Final = 15_000.0
DRAIN_MS: Final = 10_000.0
POLICIES: Final = ("random", "round_robin", "jacinthreel")


@dataclass(frozen=True, slots=True)
class RequestDeployment:
    """Zones of a deployment, and one-way latencies between zones and to clients."""

    name: str
    zones: tuple[str, ...]
    inter_zone_latency_ms: float
    client_latency_ms: float


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Offered work relative to the capacity of the slots, and the injected faults.

    `skewed` gives the executors unequal speeds.  `leaving` and `hanging` are numbers of executors.
    With `joining`, the last router gets no requests until the warm-up ends.
    """

    name: str
    load_factor: float
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
    """Returns one row for each deployment, load, seed and policy."""
    return [
        measure_request_policy(deployment, load, seed, policy)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for seed in seeds
        for policy in POLICIES
    ]


def measure_request_policy(
    deployment: RequestDeployment,
    load: RequestLoad,
    seed: int,
    policy: str,
    end_ms: float = END_MS,
) -> dict[str, Any]:
    """Simulates one policy on one load until `end_ms` and returns its row of metrics."""
    faults = _make_faults(load, seed)
    simulation = RequestSimulation(
        deployment.zones,
        deployment.inter_zone_latency_ms,
        deployment.client_latency_ms,
        lambda host_id, zone, rng: _make_router(policy, host_id, zone, rng),
        faults,
        seed,
        EXECUTOR_COUNT,
        ROUTER_COUNT,
    )
    simulation.run(_make_plans(load, faults, seed, end_ms), end_ms + DRAIN_MS)
    row: dict[str, Any] = {
        "deployment": deployment.name,
        "load": load.name,
        "seed": seed,
        "policy": policy,
    }
    row.update(_compute_metrics(simulation, load, end_ms))
    return row


def _make_router(policy: str, host_id: str, zone: str, rng: random.Random) -> Router:
    if policy == "jacinthreel":
        return RequestRouter(host_id, zone, "boot", rng)
    return BaselineRouter(BaselinePolicy(policy), rng)


def _make_faults(load: RequestLoad, seed: int) -> FaultScenario:
    rng = random.Random(f"weather/{load.name}/{seed}")
    names = [f"x{number:02d}" for number in range(EXECUTOR_COUNT)]
    speeds = {name: rng.choice((0.4, 0.7, 1.0, 1.0, 1.3)) for name in names if load.skewed}
    leaving_ids = rng.sample(names, load.leaving)
    leaving_at_ms = {
        name: WARM_UP_MS + 1_000.0 * (index + 1) for index, name in enumerate(leaving_ids)
    }
    return FaultScenario(
        lost_reply_probability=0.002,
        connect_failure_probability=0.002,
        speeds_by_executor=speeds,
        leaving_at_ms=leaving_at_ms,
        hanging_at_ms=dict.fromkeys(rng.sample(names, load.hanging), WARM_UP_MS + 1_000.0),
    )


def _make_plans(
    load: RequestLoad, faults: FaultScenario, seed: int, end_ms: float
) -> list[RequestPlan]:
    """Returns Poisson arrivals that offer `load.load_factor` times the capacity of the slots."""
    rng = random.Random(f"plans/{load.name}/{seed}")
    speeds = [faults.speeds_by_executor.get(f"x{n:02d}", 1.0) for n in range(EXECUTOR_COUNT)]
    arrivals_per_ms = load.load_factor * SLOTS_PER_EXECUTOR * sum(speeds) / MEAN_RUN_MS
    mu = float(np.log(MEAN_RUN_MS) - RUN_SIGMA**2 / 2)
    plans: list[RequestPlan] = []
    now_ms = 0.0
    while now_ms < end_ms:
        now_ms += rng.expovariate(arrivals_per_ms)
        kind_draw = rng.random()
        is_warm_up = now_ms < WARM_UP_MS
        plans.append(
            RequestPlan(
                request_id=f"r{len(plans)}",
                workspace=rng.choice(WORKSPACES),
                arrives_ms=now_ms,
                run_ms=rng.lognormvariate(mu, RUN_SIGMA),
                deadline_ms=rng.choice(DEADLINES_MS),
                idempotent=kind_draw < 0.7,
                has_caller_id=kind_draw > 0.9,
                router_index=rng.randrange(
                    ROUTER_COUNT - 1 if load.joining and is_warm_up else ROUTER_COUNT
                ),
            )
        )
    return plans


def _compute_metrics(
    simulation: RequestSimulation, load: RequestLoad, end_ms: float
) -> dict[str, Any]:
    measured_calls = [c for c in simulation.calls if WARM_UP_MS <= c.plan.arrives_ms < end_ms]
    answered_calls = [c for c in measured_calls if isinstance(c.outcome, Answered)]
    latencies_ms = [call.answered_ms - call.sent_ms for call in answered_calls]
    is_below_capacity = load.load_factor < 1.0
    goodput = (
        len(answered_calls) / len(measured_calls)
        if is_below_capacity
        else _measure_useful_slot_share(simulation, end_ms)
    )
    runs = simulation.runs_by_request()
    doubled = sum(
        runs.get(c.plan.request_id, 0) > 1
        for c in _list_first_non_idempotent_calls(simulation.calls)
    )
    ran_despite_not_run = sum(
        isinstance(call.outcome, NotRun) and number in simulation.executed_call_ids
        for number, call in enumerate(simulation.calls, start=1)
    )
    return {
        "goodput_ratio": round(goodput, 4),
        "p50_ms": round(float(np.percentile(latencies_ms, 50)), 1),
        "p99_ms": round(float(np.percentile(latencies_ms, 99)), 1),
        "told_not_run_but_ran": ran_despite_not_run,
        "doubled": doubled,
    }


def _list_first_non_idempotent_calls(calls: list[CallRecord]) -> list[CallRecord]:
    """Returns one call of each non-idempotent request, without the callers' retries."""
    return [
        call for call in calls if not call.plan.idempotent and call.sent_ms == call.plan.arrives_ms
    ]


def _measure_useful_slot_share(simulation: RequestSimulation, window_end_ms: float) -> float:
    """Returns the share of slot time in the window spent on requests answered in time."""
    answered_request_ids = {
        c.plan.request_id for c in simulation.calls if isinstance(c.outcome, Answered)
    }
    useful_ms = 0.0
    available_ms = 0.0
    for executor_id, model in simulation.executors_by_id.items():
        leaving_ms = simulation.faults.leaving_at_ms.get(executor_id, window_end_ms)
        end_ms = min(window_end_ms, leaving_ms)
        available_ms += model.slots * (end_ms - WARM_UP_MS)
        for run in model.runs:
            if run.request_id in answered_request_ids:
                useful_ms += max(0.0, min(run.ends_ms, end_ms) - max(run.started_ms, WARM_UP_MS))
    return useful_ms / available_ms
