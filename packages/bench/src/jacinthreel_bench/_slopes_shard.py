"""Measures how the cost of a shard's owner grows, on the real core with worker models.

Time is virtual.  Each run creates a region with running gangs, lets a new owner take over the shard
from the stored rows, and then simulates steady operation.  Processor time is that of the core
alone, because the models run outside the timed section.  The target size is one of seven regions:
a seventh of all workers and tasks.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_bench._slope_fit import Point, Quantity, SlopeRow, fit_slope
from jacinthreel_common import (
    CommandBatch,
    CommandKind,
    Config,
    Host,
    HostKind,
    JobRecord,
    JobSpec,
    JobState,
    PresetName,
    Row,
    TaskCommand,
    TaskPlacement,
    Workspace,
    WriteOutcome,
    encode_json,
    job_key,
    to_plain,
)
from jacinthreel_jobs import (
    ConfigApplied,
    Event,
    GuaranteePlanner,
    HostsListed,
    JobSubmitted,
    LeaseRenewed,
    OwnershipGained,
    SendBatch,
    ShardCore,
    Tick,
    WorkerReplied,
    Write,
    WriteDone,
)
from jacinthreel_standins import WorkerModel

REGION: Final = "region"
TARGET_WORKERS: Final = 2_600
TARGET_TASKS: Final = 16_000
TARGET_REGIONS: Final = 7
TARGET_RUNNING_GANGS: Final = 350
REGION_WORKERS: Final = TARGET_WORKERS / TARGET_REGIONS
TASKS_PER_WORKER: Final = round(TARGET_TASKS / TARGET_WORKERS)
GANG_TASKS: Final = TARGET_TASKS // TARGET_RUNNING_GANGS
WORKER_COUNTS: Final = (37, 93, 186, 279, 371)
QUEUE_LENGTHS: Final = (200, 500, 1_000, 2_000, 4_000)
TARGET_QUEUE: Final = 2_100.0
REPEATS: Final = 3
TICK_MS: Final = 100
LINK_LATENCY_MS: Final = 1
STORE_LATENCY_MS: Final = 5
LEASE_MS: Final = 4_000
STEADY_MS: Final = 20_000
FIRST_EPOCH: Final = 1
LONG_RUN_COMMAND: Final = "run=1000000"


@dataclass(slots=True)
class OwnerSimulation:
    """The owner of a region of worker models, with counters of its work.

    `core_s` is the processor time spent in the core, in seconds.  `body_bytes` is the total size
    of the batches and replies as JSON.
    """

    hosts: list[Host]
    rows: list[Row]
    models_by_id: dict[str, WorkerModel]
    core: ShardCore
    now_ms: int = 0
    core_s: float = 0.0
    batches: int = 0
    body_bytes: int = 0
    _pending_events: list[tuple[int, Event]] = field(default_factory=list)

    def feed(self, event: Event) -> None:
        """Passes an event to the core and queues the replies to its batches and writes."""
        started_s = time.process_time()
        effects = self.core.handle(event, self.now_ms)
        self.core_s += time.process_time() - started_s
        for effect in effects:
            match effect:
                case SendBatch():
                    self._handle_batch(effect)
                case Write():
                    versions = {write.key: self.now_ms + 10 for write in effect.writes}
                    done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, versions, [])
                    self._pending_events.append((self.now_ms + STORE_LATENCY_MS, done))

    def run(self, duration_ms: int, until: Callable[[], bool] | None = None) -> bool:
        """Simulates a period; returns True early if `until` becomes true, else False."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            due_events = [event for at_ms, event in self._pending_events if at_ms <= self.now_ms]
            self._pending_events = [
                entry for entry in self._pending_events if entry[0] > self.now_ms
            ]
            for event in due_events:
                self.feed(event)
            if self.now_ms % 1_000 == 0:
                self.feed(LeaseRenewed(self.now_ms + LEASE_MS))
            if self.now_ms % TICK_MS == 0:
                self.feed(Tick(self.now_ms))
            if until is not None and until():
                return True
        return False

    def has_adopted_all_gangs(self) -> bool:
        """Whether all gangs of the rows are active and all workers have confirmed the epoch."""
        tables = self.core.tables
        return len(tables.active_by_id) == len(self.rows) and all(
            worker.confirmed_epoch == self.core.epoch for worker in tables.workers_by_id.values()
        )

    def _handle_batch(self, effect: SendBatch) -> None:
        reply = self.models_by_id[effect.worker_id].handle(effect.batch, self.now_ms)
        self.batches += 1
        self.body_bytes += len(encode_json(effect.batch)) + len(encode_json(reply))
        event = WorkerReplied(effect.worker_id, effect.batch_id, self.now_ms, reply)
        self._pending_events.append((self.now_ms + LINK_LATENCY_MS, event))


def make_hosts(workers: int) -> list[Host]:
    """Returns workers of two accelerators in racks of 16, over the three zones of a region."""
    return [
        Host(
            f"w{number:04d}",
            HostKind.WORKER,
            "127.0.0.1",
            1,
            f"zone{number // 16 % 3}",
            REGION,
            rack=f"rack{number // 16}",
            cores=128,
            memory_gb=512,
            accelerators=2,
        )
        for number in range(workers)
    ]


def _gang_rows(hosts: list[Host]) -> list[Row]:
    """Returns rows of running gangs, with `TASKS_PER_WORKER` tasks on each worker."""
    slots = [host.host_id for _ in range(TASKS_PER_WORKER) for host in hosts]
    rows: list[Row] = []
    for number, first in enumerate(range(0, len(slots), GANG_TASKS)):
        placement = [
            TaskPlacement(index, worker_id)
            for index, worker_id in enumerate(slots[first : first + GANG_TASKS])
        ]
        spec = JobSpec(f"gang{number}", "lab", len(placement), 0, command=LONG_RUN_COMMAND)
        record = JobRecord(spec, JobState.RUNNING, 0, attempt=1, placement=placement)
        rows.append(Row(job_key(REGION, spec.job_id), number + 1, "w", to_plain(record)))
    return rows


def _make_models(hosts: list[Host], rows: list[Row]) -> dict[str, WorkerModel]:
    """Returns worker models by id, which run the gangs of `rows` under the first epoch."""
    models = {
        h.host_id: WorkerModel(h.host_id, h.accelerators, h.cores, h.memory_gb) for h in hosts
    }
    commands_by_worker: dict[str, list[TaskCommand]] = {host.host_id: [] for host in hosts}
    for row in rows:
        job_id = row.value["spec"]["job_id"]
        for task_placement in row.value["placement"]:
            for kind in (CommandKind.RESERVE, CommandKind.START):
                command = TaskCommand(
                    kind, job_id, 1, task_placement["task_index"], 0, 1, 1, 0.0, LONG_RUN_COMMAND
                )
                commands_by_worker[task_placement["worker_id"]].append(command)
    for worker_id, commands in commands_by_worker.items():
        models[worker_id].handle(CommandBatch(REGION, FIRST_EPOCH, 60_000, 0, commands), 0)
    return models


def start_owner(workers: int, with_gangs: bool = True) -> OwnerSimulation:
    """Returns a new owner that has loaded the rows of a region but has no worker reports yet."""
    hosts = make_hosts(workers)
    rows = _gang_rows(hosts) if with_gangs else []
    core = ShardCore(REGION, GuaranteePlanner(), random.Random(1))
    simulation = OwnerSimulation(hosts, rows, _make_models(hosts, rows), core)
    config = Config(1, PresetName.ORDINARY, workspaces={"lab": Workspace("lab")})
    simulation.feed(ConfigApplied(config, 1))
    simulation.feed(HostsListed(hosts))
    simulation.feed(OwnershipGained(FIRST_EPOCH + 1, 2, LEASE_MS, rows, 0))
    return simulation


def measure_owner() -> list[SlopeRow]:
    """Measures steady work, takeover and memory of an owner by the workers of its region."""
    cpu_points: list[Point] = []
    batch_rate_points: list[Point] = []
    byte_rate_points: list[Point] = []
    takeover_cpu_points: list[Point] = []
    rows_read_points: list[Point] = []
    for workers in WORKER_COUNTS:
        for _ in range(REPEATS):
            simulation = start_owner(workers)
            if not simulation.run(10_000, simulation.has_adopted_all_gangs):
                raise RuntimeError(f"{workers} workers: gangs not adopted within 10 s")
            takeover_cpu_points.append(Point(workers, simulation.core_s * 1000))
            rows_read_points.append(Point(workers, len(simulation.rows)))
            simulation.core_s, simulation.batches, simulation.body_bytes = 0.0, 0, 0
            simulation.run(STEADY_MS)
            seconds = STEADY_MS / 1000
            cpu_points.append(Point(workers, simulation.core_s / seconds * 100))
            batch_rate_points.append(Point(workers, simulation.batches / seconds))
            byte_rate_points.append(Point(workers, simulation.body_bytes / seconds / 1000))
    size_name = "workers of a region"
    owner = "shard owner"
    return [
        fit_slope(
            Quantity(owner, "core decisions", "% of a core", size_name, REGION_WORKERS), cpu_points
        ),
        fit_slope(
            Quantity(owner, "batches to workers", "1/s", size_name, REGION_WORKERS),
            batch_rate_points,
        ),
        fit_slope(
            Quantity(owner, "batch and reply bodies", "kB/s", size_name, REGION_WORKERS),
            byte_rate_points,
        ),
        fit_slope(
            Quantity(owner, "takeover, core decisions", "ms", size_name, REGION_WORKERS),
            takeover_cpu_points,
        ),
        fit_slope(
            Quantity(owner, "takeover, rows read", "rows", size_name, REGION_WORKERS),
            rows_read_points,
        ),
        _measure_memory(),
    ]


def _measure_memory() -> SlopeRow:
    points: list[Point] = []
    for workers in WORKER_COUNTS:
        gc.collect()
        tracemalloc.start()
        simulation = start_owner(workers)
        simulation.run(10_000, simulation.has_adopted_all_gangs)
        core = simulation.core
        simulation.models_by_id.clear()
        del simulation
        gc.collect()
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert core.epoch
        points.append(Point(workers, held_bytes / 1e6))
    quantity = Quantity(
        "shard owner", "tables", "MB", "workers of a region", REGION_WORKERS, limit=128
    )
    return fit_slope(quantity, points)


def measure_queue() -> list[SlopeRow]:
    """Measures an owner's busiest 100 ms and its steady work by the length of its queue."""
    busiest_points: list[Point] = []
    steady_points: list[Point] = []
    for queue_length in QUEUE_LENGTHS:
        for repeat in range(REPEATS):
            simulation = _start_owner_with_queue(queue_length, repeat)
            busiest_s = 0.0
            simulation.core_s = 0.0
            seconds = 10
            for _ in range(seconds * 1000 // TICK_MS):
                core_s_before = simulation.core_s
                simulation.run(TICK_MS)
                busiest_s = max(busiest_s, simulation.core_s - core_s_before)
            busiest_points.append(Point(queue_length, busiest_s * 1000))
            steady_points.append(Point(queue_length, simulation.core_s / seconds * 100))
    size_name = "queued jobs"
    return [
        fit_slope(
            Quantity(
                "shard owner", "core time in a busy 100 ms", "ms", size_name, TARGET_QUEUE, 1_000
            ),
            busiest_points,
        ),
        fit_slope(
            Quantity(
                "shard owner", "core decisions, queue", "% of a core", size_name, TARGET_QUEUE
            ),
            steady_points,
        ),
    ]


def _start_owner_with_queue(queue_length: int, seed: int) -> OwnerSimulation:
    """Returns an owner with `queue_length` queued jobs and no free accelerators in its region."""
    rng = random.Random(seed)
    simulation = start_owner(round(REGION_WORKERS), with_gangs=False)
    simulation.run(1_000)
    simulation.feed(JobSubmitted(0, JobSpec("full", "lab", 256, 2, command=LONG_RUN_COMMAND), 0))
    for number in range(queue_length):
        tasks = rng.choice((64, 128, 200, 256))
        spec = JobSpec(f"queued{number}", "lab", tasks, 2, command=LONG_RUN_COMMAND)
        simulation.feed(JobSubmitted(number + 1, spec, 0))
    simulation.run(3_000)
    return simulation
