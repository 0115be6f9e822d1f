"""A rehearsal: the deployment's shape of work on several real nodes and tens of executors.

Phases of a run: the stand-ins and nodes start; jobs fill the service; traffic follows, beside it
the faults of the run; then every accepted job must end.  The waits are judged by what callers and
executors see.  All random choices except port numbers derive from the seed.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from enum import Flag, auto
from pathlib import Path
from typing import Final

from rehearsal_judge import (
    Calm,
    FirstRun,
    HeldWait,
    PendingStep,
    Reading,
    RehearsalJudge,
    RoomFor,
    Subject,
    UseOf,
    used_shares,
)
from rehearsal_load import HOST_CAPACITY, QUEUES, WORKSPACES, DrawnJob, draw_load
from soak_observer import MAX_LAG_MS, PERIOD_MS, SoakObserver
from soak_run import NodeProcess, SoakRun, SubmittedJob
from standin_platform import SharedObservations, StandinExecutor, now_ms
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from waiting_jobs_check import ExecutorRoom

ZONES: Final = 3
RACK_EXECUTORS: Final = 12
TRAFFIC_S: Final = 34.0
FINISH_S: Final = 14.0  # From the end of the traffic until jobs are expected to have ended.
CUT_AT_S: Final = 8.0
CUT_S: Final = 8.0
KILL_AT_S: Final = 18.0
START_UP_S: Final = 4.0
MAX_CONNECTIONS: Final = 300
GUARANTEED_DIVISOR: Final = 20  # Each workspace has this part of the accelerators guaranteed.
SOAK_READING: Final = Reading(RoomFor.JOB, UseOf.EACH_RESOURCE, Subject.JOB)
LOG_EVENTS: Final = (
    "job_held",
    "job_held_ended",
    "owner_ready",
    "ownership_lost",
    "run_lost",
    "slow_step",
)


class Faults(Flag):
    """The faults of a rehearsal: a third of the executors is cut off, the owner is killed."""

    NONE = 0
    CUT = auto()
    KILL = auto()


@dataclass(frozen=True, slots=True)
class UsedShares:
    """The shares of the resources that runs use, at a time since the start."""

    at_ms: int
    share_by_resource: dict[str, float]


@dataclass(frozen=True, slots=True)
class RehearsalResult:
    """What a rehearsal showed; `finish_ms` is `FINISH_S` after the end of the traffic.

    Times count from the start.  `first_runs` are in the order of their waits, longest first.
    """

    violations: list[str]
    submitted_jobs: int
    first_runs: list[FirstRun]
    waits_by_reading: dict[Reading, list[HeldWait]]
    used: list[UsedShares]
    finish_ms: int
    delayed_observations: int
    log_counts: dict[str, int]
    slowest_step_ms: dict[str, int]
    plan_times: list[str]


class RehearsalExecutor(StandinExecutor):
    """An executor of the deployment's size."""

    report_poll_s = 0.05  # One process serves the reports of all executors.

    def __init__(
        self,
        name: str,
        observations: SharedObservations,
        work_ms: int,
        guards: bool = True,
        clock_rate: float = 1.0,
    ) -> None:
        super().__init__(name, observations, work_ms, guards, clock_rate)
        self.capacity = self.former_capacity = HOST_CAPACITY


class RehearsalObserver(SoakObserver):
    """Observes a rehearsal each `PERIOD_MS` for its judge."""

    def __init__(self, run: RehearsalRun) -> None:
        super().__init__(run)
        self.judge = RehearsalJudge()
        self.used: list[UsedShares] = []
        self.delayed_observations = 0
        self._rehearsal = run
        self._ended_jobs: set[str] = set()

    def tick(self, now_ms: int) -> None:
        """Takes an observation if one is due."""
        if self._due_ms is not None and now_ms < self._due_ms:
            return
        lag_ms = 0 if self._due_ms is None else now_ms - self._due_ms
        self._due_ms = now_ms + PERIOD_MS
        if max(lag_ms, self._longest_node_delay_ms()) > MAX_LAG_MS:
            self.delayed_observations += 1
            self.judge.note_delay(now_ms)
        if self._rehearsal.active_faults or self._is_node_starting():
            self.judge.note_fault(now_ms)
        executors = [
            ExecutorRoom(executor.capacity, [run.shape for run in executor.runs.values()])
            for executor in self._rehearsal.executors
        ]
        self.used.append(UsedShares(now_ms, used_shares(executors)))
        self.judge.observe(now_ms, self._pending_steps(now_ms - PERIOD_MS - lag_ms), executors)

    def describe_violations(self) -> list[str]:
        """Returns the waits that break the soak's own rule."""
        return [
            f"{wait.name} could run and had no run for {wait.duration_ms} ms"
            for wait in self.judge.long_waits[SOAK_READING]
            if wait.calm is Calm.CALM
        ]

    def _pending_steps(self, since_ms: int) -> list[PendingStep]:
        """Returns the steps with tasks that wait; a task started since a time counts as a run."""
        observations = self._rehearsal.observations
        pending: list[PendingStep] = []
        for job in self._rehearsal.jobs:
            if not job.is_accepted or job.job_id in self._ended_jobs:
                continue
            drawn = self._rehearsal.drawn_by_job[job.job_id]
            names = [f"{job.job_id}.0.0.{task}" for task in range(drawn.tasks)]
            left = [name for name in names if name not in observations.done_tasks]
            if not left or (drawn.is_gang and len(left) < drawn.tasks):
                self._ended_jobs.add(job.job_id)
                continue
            waiting = [name for name in left if name not in observations.running_by_task]
            if not waiting:
                continue
            has_run = len(waiting) < len(left) or any(
                observations.started_ms_by_task.get(name, since_ms - 1) >= since_ms
                for name in names
            )
            gang_tasks = drawn.tasks if drawn.is_gang else 1
            pending.append(
                PendingStep(job.job_id, drawn.shape, gang_tasks, tuple(waiting), has_run)
            )
        return pending


@dataclass(slots=True)
class RehearsalRun(SoakRun):
    """One rehearsal with one seed.

    `load` multiplies the rates of the traffic.  `code` is the folder of another checkout whose
    packages the nodes run, None for this one.  `drawn` replaces the jobs that are drawn otherwise.
    """

    faults: Faults = Faults.NONE
    load: float = 1.0
    traffic_s: float = TRAFFIC_S
    code: Path | None = None
    drawn: list[DrawnJob] | None = None
    drawn_by_job: dict[str, DrawnJob] = field(default_factory=dict)
    active_faults: int = 0
    started_ms: int = 0
    traffic_end_ms: int = 0
    settled_ms: int = 0
    plan_times: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        SoakRun.__post_init__(self)
        self.observer = RehearsalObserver(self)
        self.start_up_s = START_UP_S

    async def rehearse(self) -> RehearsalResult:
        """Executes the rehearsal."""
        AsyncHTTPClient(max_clients=MAX_CONNECTIONS)  # The one that this event loop uses.
        if self.drawn is None:
            self.drawn = draw_load(self.seed, self.size.executors, self.traffic_s, self.load)
        try:
            await self._set_up()
            self.started_ms = now_ms()
            faults = asyncio.create_task(self._inject_faults())
            await asyncio.gather(*(self._run_drawn_job(drawn) for drawn in self.drawn))
            self.traffic_end_ms = now_ms()
            await faults
            await self._wait_for_jobs_to_end()
            self.settled_ms = now_ms()
            self.plan_times = [line for node in self.nodes for line in await _read_plan_times(node)]
        finally:
            self._kill_nodes()
        return self._collect_result()

    async def _run_drawn_job(self, drawn: DrawnJob) -> None:
        await asyncio.sleep(drawn.at_s)
        job = SubmittedJob(f"{self.seed & 0xFFFFFFFF:08x}{drawn.index:08x}", _api_key(drawn))
        step = drawn.step()
        self.drawn_by_job[job.job_id] = drawn
        self.observations.steps_by_job[job.job_id] = [{**step, "work_ms": drawn.work_ms}]
        self.jobs.append(job)
        rng = random.Random(f"{self.seed} caller {drawn.index}")
        body = json.dumps({"spec": "soak", "steps": [step]})
        await self._submit(job, f"/{drawn.queue}/{job.job_id}", body, rng)

    async def _inject_faults(self) -> None:
        injected = []
        if Faults.CUT in self.faults:
            injected.append(self._cut_executors())
        if Faults.KILL in self.faults:
            injected.append(self._kill_owner())
        await asyncio.gather(*injected)

    async def _cut_executors(self) -> None:
        """Cuts a third of the executors off, which are neighbours."""
        await asyncio.sleep(CUT_AT_S)
        count = len(self.executor_proxies)
        first = self.rng.randrange(count)
        cut = [self.executor_proxies[(first + index) % count] for index in range(count // 3)]
        self.active_faults += 1
        await asyncio.gather(*(proxy.inject_fault("silent", CUT_S) for proxy in cut))
        self.active_faults -= 1

    async def _kill_owner(self) -> None:
        await asyncio.sleep(KILL_AT_S)
        owner = self._owner()
        if owner is None:
            self.observations.violations.append("no owner to kill")
            return
        self.active_faults += 1
        node = next(node for node in self.nodes if node.name == owner.host_id)
        await self._signal_and_restart(node, signal.SIGKILL)
        self.active_faults -= 1

    def _code_environment(self) -> dict[str, str]:
        if self.code is None:
            return SoakRun._code_environment(self)
        folders = [*sorted(self.code.glob("packages/*/src")), self.code / "platform" / "src"]
        return {**os.environ, "PYTHONPATH": os.pathsep.join(str(folder) for folder in folders)}

    def _make_executor(self, index: int) -> StandinExecutor:
        return RehearsalExecutor(f"e{index}", self.observations, work_ms=1_000)

    def _zone(self, index: int) -> str:
        return f"z{index % ZONES}"

    def _rack(self, index: int) -> str:
        return f"r{index // RACK_EXECUTORS}"

    def _put_config(self) -> None:
        guaranteed = self.size.executors * HOST_CAPACITY["gpu"] // GUARANTEED_DIVISOR
        routes = [
            {**self._make_route(queue.name, queue.priority), "stretch": queue.stretch}
            for queue in QUEUES
        ]
        tenants = [
            {"name": f"w{index}", "api_keys": [f"key{index}"], "guaranteed": {"gpu": guaranteed}}
            for index in range(WORKSPACES)
        ]
        config = {
            "version": self.config_version,
            "routes": routes,
            "services": [{"name": "soak", "enforces_capacity": True}],
            "tenants": tenants,
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def _collect_result(self) -> RehearsalResult:
        assert isinstance(self.observer, RehearsalObserver)
        log_text = "\n".join(node.log.read_text(errors="replace") for node in self.nodes)
        return RehearsalResult(
            self._collect_violations(),
            len(self.jobs),
            self._first_runs(),
            self._waits_since_start(self.observer.judge),
            [
                UsedShares(used.at_ms - self.started_ms, used.share_by_resource)
                for used in self.observer.used
            ],
            self.traffic_end_ms - self.started_ms + int(FINISH_S * 1000),
            self.observer.delayed_observations,
            {event: log_text.count(f'"{event}"') for event in LOG_EVENTS},
            _slowest_steps(log_text),
            self.plan_times,
        )

    def _waits_since_start(self, judge: RehearsalJudge) -> dict[Reading, list[HeldWait]]:
        return {
            reading: [
                HeldWait(
                    wait.name,
                    wait.since_ms - self.started_ms,
                    wait.until_ms - self.started_ms,
                    wait.calm,
                )
                for wait in waits
            ]
            for reading, waits in judge.long_waits.items()
        }

    def _first_runs(self) -> list[FirstRun]:
        accepted = [job for job in self.jobs if job.is_accepted]
        begun_ms_by_job = self.observations.first_start_ms_by_job
        first_runs: list[FirstRun] = []
        for job in accepted:
            drawn = self.drawn_by_job[job.job_id]
            begun_ms = begun_ms_by_job.get(job.job_id, self.settled_ms)
            passed_by = sum(
                self.drawn_by_job[other.job_id].queue == drawn.queue
                and other.accepted_ms > job.accepted_ms
                and begun_ms_by_job.get(other.job_id, self.settled_ms) < begun_ms
                for other in accepted
            )
            first_runs.append(
                FirstRun(
                    job.job_id,
                    drawn.queue,
                    drawn.tasks,
                    drawn.shape["gpu"],
                    job.accepted_ms - self.started_ms,
                    max(0, begun_ms - job.accepted_ms),
                    job.job_id in begun_ms_by_job,
                    passed_by,
                )
            )
        return sorted(first_runs, key=lambda first_run: -first_run.wait_ms)


def _api_key(drawn: DrawnJob) -> str:
    return f"key{drawn.workspace}"


async def _read_plan_times(node: NodeProcess) -> list[str]:
    """Returns a node's metrics of its planning passes; none if it has planned nothing."""
    request = HTTPRequest(f"http://127.0.0.1:{node.metrics_port}/metrics", request_timeout=3.0)
    try:
        reply = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPClientError, OSError):
        return []
    lines = reply.body.decode(errors="replace").splitlines()
    return [f"{node.name}: {line}" for line in lines if line.startswith("plan_ms")]


def _slowest_steps(log_text: str) -> dict[str, int]:
    """Returns the longest time of each kind of slow step that the nodes logged."""
    slowest_ms: Counter[str] = Counter()
    for line in log_text.splitlines():
        if '"slow_step"' not in line:
            continue
        fields = json.loads(line)
        slowest_ms[fields["step"]] = max(slowest_ms[fields["step"]], fields["took_ms"])
    return dict(slowest_ms)
