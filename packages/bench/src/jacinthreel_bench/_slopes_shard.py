"""Slopes of a shard's owner, measured on the real core with worker models in virtual time.

Each run lays out a region of `workers` workers with running gangs, has a new owner take the shard
over from the rows, and then lets it keep the gangs running.  Processor time is that of the core
alone, since the models run outside the timed section.  Sizes are those of one region at the
target: a seventh of all workers and tasks.
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
LINK_MS: Final = 1
STORE_MS: Final = 5
LEASE_MS: Final = 4_000
STEADY_MS: Final = 20_000
FIRST_EPOCH: Final = 1
LONG_RUN: Final = "run=1000000"


@dataclass(slots=True)
class OwnerRun:
    """One owner over a region of models, with counts of what it did.

    `core_s` is processor time spent in the core, in seconds.
    """

    hosts: list[Host]
    rows: list[Row]
    models_by_id: dict[str, WorkerModel]
    core: ShardCore
    now_ms: int = 0
    core_s: float = 0.0
    batches: int = 0
    body_bytes: int = 0
    _due: list[tuple[int, Event]] = field(default_factory=list)

    def feed(self, event: Event) -> None:
        """Hands an event to the core and queues the answers to what it sends."""
        started_s = time.process_time()
        effects = self.core.handle(event, self.now_ms)
        self.core_s += time.process_time() - started_s
        for effect in effects:
            match effect:
                case SendBatch():
                    self._answer_batch(effect)
                case Write():
                    versions = {write.key: self.now_ms + 10 for write in effect.writes}
                    done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, versions, [])
                    self._due.append((self.now_ms + STORE_MS, done))

    def run(self, duration_ms: int, until: Callable[[], bool] | None = None) -> bool:
        """Runs on for a time, or until a condition holds; says whether it did."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            due = [event for at_ms, event in self._due if at_ms <= self.now_ms]
            self._due = [entry for entry in self._due if entry[0] > self.now_ms]
            for event in due:
                self.feed(event)
            if self.now_ms % 1_000 == 0:
                self.feed(LeaseRenewed(self.now_ms + LEASE_MS))
            if self.now_ms % TICK_MS == 0:
                self.feed(Tick(self.now_ms))
            if until is not None and until():
                return True
        return False

    def adopted(self) -> bool:
        """Whether every gang of the rows is known to run."""
        tables = self.core.tables
        return len(tables.active_by_id) == len(self.rows) and all(
            worker.confirmed_epoch == self.core.epoch for worker in tables.workers_by_id.values()
        )

    def _answer_batch(self, effect: SendBatch) -> None:
        reply = self.models_by_id[effect.worker_id].handle(effect.batch, self.now_ms)
        self.batches += 1
        self.body_bytes += len(encode_json(effect.batch)) + len(encode_json(reply))
        event = WorkerReplied(effect.worker_id, effect.batch_id, self.now_ms, reply)
        self._due.append((self.now_ms + LINK_MS, event))


def make_hosts(workers: int) -> list[Host]:
    """Workers of two accelerators, in racks of 16, over the zones of a region."""
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
    """Rows of running gangs that give each worker `TASKS_PER_WORKER` tasks."""
    slots = [host.host_id for _ in range(TASKS_PER_WORKER) for host in hosts]
    rows: list[Row] = []
    for number, first in enumerate(range(0, len(slots), GANG_TASKS)):
        placement = [
            TaskPlacement(index, worker_id)
            for index, worker_id in enumerate(slots[first : first + GANG_TASKS])
        ]
        spec = JobSpec(f"gang{number}", "lab", len(placement), 0, command=LONG_RUN)
        record = JobRecord(spec, JobState.RUNNING, 0, attempt=1, placement=placement)
        rows.append(Row(job_key(REGION, spec.job_id), number + 1, "w", to_plain(record)))
    return rows


def _make_models(hosts: list[Host], rows: list[Row]) -> dict[str, WorkerModel]:
    """Worker models that run the gangs of `rows` under the first epoch."""
    models = {
        h.host_id: WorkerModel(h.host_id, h.accelerators, h.cores, h.memory_gb) for h in hosts
    }
    commands_by_worker: dict[str, list[TaskCommand]] = {host.host_id: [] for host in hosts}
    for row in rows:
        job_id = row.value["spec"]["job_id"]
        for item in row.value["placement"]:
            for kind in (CommandKind.RESERVE, CommandKind.START):
                command = TaskCommand(kind, job_id, 1, item["task_index"], 0, 1, 1, 0.0, LONG_RUN)
                commands_by_worker[item["worker_id"]].append(command)
    for worker_id, commands in commands_by_worker.items():
        models[worker_id].handle(CommandBatch(REGION, FIRST_EPOCH, 60_000, 0, commands), 0)
    return models


def start_owner(workers: int, gangs: bool = True) -> OwnerRun:
    """A new owner that has just read the rows of a region."""
    hosts = make_hosts(workers)
    rows = _gang_rows(hosts) if gangs else []
    core = ShardCore(REGION, GuaranteePlanner(), random.Random(1))
    run = OwnerRun(hosts, rows, _make_models(hosts, rows), core)
    config = Config(1, PresetName.ORDINARY, workspaces={"lab": Workspace("lab")})
    run.feed(ConfigApplied(config, 1))
    run.feed(HostsListed(hosts))
    run.feed(OwnershipGained(FIRST_EPOCH + 1, 2, LEASE_MS, rows, 0))
    return run


def measure_owner() -> list[SlopeRow]:
    """Steady work, memory and takeover of an owner against the workers of its region."""
    cpu: list[Point] = []
    batches: list[Point] = []
    link_bytes: list[Point] = []
    takeover_cpu: list[Point] = []
    rows_read: list[Point] = []
    for workers in WORKER_COUNTS:
        for _ in range(REPEATS):
            run = start_owner(workers)
            if not run.run(10_000, run.adopted):
                raise RuntimeError(f"{workers} workers: not adopted in 10 s")
            takeover_cpu.append(Point(workers, run.core_s * 1000))
            rows_read.append(Point(workers, len(run.rows)))
            run.core_s, run.batches, run.body_bytes = 0.0, 0, 0
            run.run(STEADY_MS)
            seconds = STEADY_MS / 1000
            cpu.append(Point(workers, run.core_s / seconds * 100))
            batches.append(Point(workers, run.batches / seconds))
            link_bytes.append(Point(workers, run.body_bytes / seconds / 1000))
    size = "workers of a region"
    owner = "shard owner"
    return [
        fit_slope(Quantity(owner, "core decisions", "% of a core", size, REGION_WORKERS), cpu),
        fit_slope(Quantity(owner, "batches to workers", "1/s", size, REGION_WORKERS), batches),
        fit_slope(
            Quantity(owner, "batch and reply bodies", "kB/s", size, REGION_WORKERS), link_bytes
        ),
        fit_slope(
            Quantity(owner, "takeover, core decisions", "ms", size, REGION_WORKERS), takeover_cpu
        ),
        fit_slope(Quantity(owner, "takeover, rows read", "rows", size, REGION_WORKERS), rows_read),
        _measure_memory(),
    ]


def _measure_memory() -> SlopeRow:
    points: list[Point] = []
    for workers in WORKER_COUNTS:
        gc.collect()
        tracemalloc.start()
        run = start_owner(workers)
        run.run(10_000, run.adopted)
        core = run.core
        run.models_by_id.clear()
        del run
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
    """Longest event of an owner, and its steady work, against the length of its queue."""
    longest: list[Point] = []
    steady: list[Point] = []
    for length in QUEUE_LENGTHS:
        for repeat in range(REPEATS):
            run = _queued_owner(length, repeat)
            slowest_s = 0.0
            run.core_s = 0.0
            seconds = 10
            for _ in range(seconds * 1000 // TICK_MS):
                before_s = run.core_s
                run.run(TICK_MS)
                slowest_s = max(slowest_s, run.core_s - before_s)
            longest.append(Point(length, slowest_s * 1000))
            steady.append(Point(length, run.core_s / seconds * 100))
    size = "queued jobs"
    return [
        fit_slope(
            Quantity("shard owner", "core time in a busy 100 ms", "ms", size, TARGET_QUEUE, 1_000),
            longest,
        ),
        fit_slope(
            Quantity("shard owner", "core decisions, queue", "% of a core", size, TARGET_QUEUE),
            steady,
        ),
    ]


def _queued_owner(length: int, seed: int) -> OwnerRun:
    """An owner of a full region with a queue behind it."""
    rng = random.Random(seed)
    run = start_owner(round(REGION_WORKERS), gangs=False)
    run.run(1_000)
    run.feed(JobSubmitted(0, JobSpec("full", "lab", 256, 2, command=LONG_RUN), 0))
    for number in range(length):
        tasks = rng.choice((64, 128, 200, 256))
        spec = JobSpec(f"queued{number}", "lab", tasks, 2, command=LONG_RUN)
        run.feed(JobSubmitted(number + 1, spec, 0))
    run.run(3_000)
    return run
