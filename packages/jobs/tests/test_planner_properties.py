"""Properties of the planner under random sequences of submissions, job ends and zone outages.

`World` applies the decisions of the planner at once and checks each of them: free resources,
adjacency and closed zones.
"""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from jacinthreel_common import (
    CELL_ACCELERATORS,
    Adjacency,
    CellLevel,
    Config,
    GuaranteedShape,
    Host,
    HostKind,
    JobRecord,
    JobSpec,
    JobState,
    PresetName,
    PresetSettings,
    Workspace,
    ZoneOutage,
)
from jacinthreel_jobs import (
    GuaranteePlanner,
    Place,
    PlanTrigger,
    Preempt,
    PreemptMode,
    Promote,
    check_guarantees,
)
from jacinthreel_jobs._fit import adjacency_group
from jacinthreel_jobs._tables import (
    HeldResources,
    JobEntry,
    Tables,
    WorkerEntry,
    WorkerHealth,
)

RACKS = {"r1": ("fukuoka", 8), "r2": ("kumamoto", 8), "r3": ("kagoshima", 4)}
WORKERS = [
    Host(f"{rack}-w{i}", HostKind.WORKER, "127.0.0.1", 1, zone, "kyushu", rack,
         cores=128, memory_gb=512, accelerators=8)  # fmt: skip
    for rack, (zone, count) in RACKS.items()
    for i in range(count)
]
GRACE_MS = PresetSettings().checkpoint_grace_ms
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=25)


class World:
    """Scheduler tables whose gangs start and stop as soon as the planner decides so."""

    def __init__(self, workspaces: list[Workspace], planner: GuaranteePlanner) -> None:
        by_name = {workspace.name: workspace for workspace in workspaces}
        self.tables = Tables("kyushu", Config(1, PresetName.ORDINARY, workspaces=by_name))
        self.planner = planner
        self.now_ms = 0
        for host in WORKERS:
            self.tables.workers_by_id[host.host_id] = WorkerEntry(
                host.host_id, host.zone, host.rack, "127.0.0.1", 1,
                host.accelerators, host.cores, host.memory_gb,
                free_accelerators=host.accelerators, free_cores=host.cores,
                free_memory_gb=host.memory_gb,
            )  # fmt: skip

    def submit(self, spec: JobSpec) -> None:
        record = JobRecord(spec, JobState.QUEUED, 0)
        job = JobEntry(record, 0, self.now_ms, expected_run_s=60.0)
        self.tables.jobs_by_id[spec.job_id] = job
        self.tables.queued_by_id[spec.job_id] = job

    def end(self, job_id: str) -> None:
        job = self._remove_job(job_id)
        del self.tables.jobs_by_id[job.job_id]

    def plan(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now_ms += 1_000
            for decision in self.planner.plan(self.tables, PlanTrigger.TICK, self.now_ms):
                match decision:
                    case Place():
                        self._place(decision)
                    case Preempt():
                        self._preempt(decision)
                    case Promote():
                        self._promote(decision)

    def is_running(self, job_id: str) -> bool:
        return job_id in self.tables.active_by_id

    def _place(self, decision: Place) -> None:
        job = self.tables.queued_by_id.pop(decision.job_id)
        spec = job.record.spec
        groups = set()
        assert [t.task_index for t in decision.placement] == list(range(spec.tasks))
        for task in decision.placement:
            worker = self.tables.workers_by_id[task.worker_id]
            assert worker.health in (WorkerHealth.HEALTHY, WorkerHealth.PROBATION)
            assert worker.zone not in self.tables.config.zones_out
            groups.add(adjacency_group(spec.adjacency, worker.zone, worker.rack, task.worker_id))
            held = HeldResources(
                spec.accelerators_per_task, spec.cores_per_task, spec.memory_gb_per_task
            )
            worker.hold((spec.job_id, 1, task.task_index), held)
            assert worker.free_accelerators >= 0, "accelerators overcommitted"
            assert worker.free_cores >= 0 and worker.free_memory_gb >= 0, "overcommitted"
            assert worker.health is WorkerHealth.HEALTHY or len(worker.held) == 1
        assert len(groups) == 1, "adjacency constraint violated"
        job.record = JobRecord(
            spec, JobState.RUNNING, 0, 1, decision.placement, borrowed=decision.borrowed
        )
        job.started_ms = self.now_ms
        self.tables.active_by_id[spec.job_id] = job

    def _preempt(self, decision: Preempt) -> None:
        job = self.tables.active_by_id[decision.job_id]
        assert job.record.borrowed, "a guaranteed gang was preempted"
        self._remove_job(decision.job_id)
        self.submit(job.record.spec)

    def _promote(self, decision: Promote) -> None:
        job = self.tables.active_by_id[decision.job_id]
        current = [task.worker_id for task in job.record.placement]
        assert current == [task.worker_id for task in decision.placement]
        job.record = replace(job.record, placement=decision.placement, borrowed=False)

    def _remove_job(self, job_id: str) -> JobEntry:
        queued = self.tables.queued_by_id.pop(job_id, None)
        if queued is not None:
            return queued
        job = self.tables.active_by_id.pop(job_id)
        for task in job.record.placement:
            self.tables.workers_by_id[task.worker_id].free((job_id, 1, task.task_index))
        return job


def borrower_spec(rng: random.Random, number: int) -> JobSpec:
    size = rng.choice([0, 1, 1, 2, 3, 4, 8])
    return JobSpec(
        f"b{number}", "borrower", rng.choice([1, 1, 2, 3, 8, 20]), size,
        cores_per_task=rng.choice([1, 4, 16, 60]), memory_gb_per_task=rng.choice([1, 30, 200]),
        adjacency=rng.choice(list(Adjacency)), checkpointable=rng.random() < 0.5,
    )  # fmt: skip


def guaranteed_spec(workspace: str, level: CellLevel, cells: int, number: int) -> JobSpec:
    """Returns the spec of a gang that needs exactly `cells` cells of a level."""
    if level is CellLevel.RACK:
        return JobSpec(f"g{number}", workspace, 8, 8, 16, 64, Adjacency.RACK)
    size = CELL_ACCELERATORS[level]
    return JobSpec(f"g{number}", workspace, cells, size, 16 * size, 64 * size)


GUARANTEES = st.lists(
    st.lists(
        st.builds(GuaranteedShape, st.sampled_from(list(CellLevel)), st.integers(1, 5)),
        min_size=1, max_size=3,
    ),
    min_size=1, max_size=3,
)  # fmt: skip


@PROPERTY_SETTINGS
@given(GUARANTEES, st.integers(0, 10_000))
def test_gang_within_guarantee_is_placed_after_grace_time_despite_borrowers(
    guarantees: list[list[GuaranteedShape]], seed: int
) -> None:
    workspaces = [Workspace(f"w{i}", shapes) for i, shapes in enumerate(guarantees)]
    workspaces.append(Workspace("borrower"))
    if not is_successful(check_guarantees(workspaces, WORKERS)):
        return
    rng = random.Random(seed)
    world = World(workspaces, GuaranteePlanner())
    unused_cells: dict[tuple[str, CellLevel], int] = {}
    for workspace in workspaces:
        for shape in workspace.guarantee:
            key = (workspace.name, shape.cell)
            unused_cells[key] = unused_cells.get(key, 0) + shape.count
    running: dict[str, tuple[tuple[str, CellLevel], int]] = {}
    for step in range(40):
        for index in range(3):
            world.submit(borrower_spec(rng, 10 * step + index))
        world.plan()
        if running and rng.random() < 0.4:
            job_id = rng.choice(sorted(running))
            key, cells = running.pop(job_id)
            unused_cells[key] += cells
            world.end(job_id)
        key = rng.choice(sorted(unused_cells))
        if not unused_cells[key]:
            continue
        cells = 1 if key[1] is CellLevel.RACK else rng.randint(1, unused_cells[key])
        spec = guaranteed_spec(key[0], key[1], cells, step)
        unused_cells[key] -= cells
        running[spec.job_id] = (key, cells)
        world.submit(spec)
        world.plan()
        world.now_ms += GRACE_MS
        world.plan(rounds=2)
        assert world.is_running(spec.job_id), f"{spec} was not placed within its guarantee"


@PROPERTY_SETTINGS
@given(st.integers(0, 10_000))
def test_placements_stay_valid_during_zone_outages_and_worker_failures(seed: int) -> None:
    rng = random.Random(seed)
    shapes = [GuaranteedShape(CellLevel.WORKER, 3), GuaranteedShape(CellLevel.QUAD, 2)]
    world = World([Workspace("w0", shapes), Workspace("borrower")], GuaranteePlanner())
    zones = sorted({zone for zone, _ in RACKS.values()})
    for step in range(40):
        for index in range(3):
            world.submit(borrower_spec(rng, 10 * step + index))
        if rng.random() < 0.5:
            level = rng.choice([CellLevel.WORKER, CellLevel.QUAD, CellLevel.PAIR])
            world.submit(guaranteed_spec("w0", level, rng.randint(1, 3), step))
        if rng.random() < 0.3:
            out = {z: ZoneOutage(z, "power", 0) for z in rng.sample(zones, rng.randint(0, 2))}
            config = world.tables.config
            world.tables.config = Config(
                config.version + 1, config.preset, workspaces=config.workspaces, zones_out=out
            )
        worker = world.tables.workers_by_id[rng.choice(sorted(world.tables.workers_by_id))]
        if not worker.held:
            worker.health = rng.choice(list(WorkerHealth))
        world.plan()
        for job_id in sorted(world.tables.active_by_id):
            if rng.random() < 0.2:
                world.end(job_id)


def filled_world(guarantee: list[GuaranteedShape]) -> World:
    """Returns a world in which one gang of the workspace `borrower` uses every accelerator."""
    world = World([Workspace("borrower", guarantee), Workspace("other")], GuaranteePlanner())
    world.submit(JobSpec("filler", "borrower", len(WORKERS), 8, checkpointable=True))
    world.plan()
    assert world.is_running("filler")
    return world


def test_urgent_gang_preempts_borrower_on_urgent_trigger() -> None:
    world = filled_world([])
    world.submit(JobSpec("now", "other", 1, 1, urgent=True))
    decisions = world.planner.plan(world.tables, PlanTrigger.URGENT, world.now_ms)
    assert [(d.job_id, d.mode) for d in decisions if isinstance(d, Preempt)] == [
        ("filler", PreemptMode.STOP)
    ]


def test_urgent_gang_does_not_preempt_guaranteed_gang() -> None:
    world = filled_world([GuaranteedShape(CellLevel.WORKER, len(WORKERS))])
    world.submit(JobSpec("now", "other", 1, 1, urgent=True))
    assert world.planner.plan(world.tables, PlanTrigger.URGENT, world.now_ms) == []


def test_after_loss_of_a_rack_guaranteed_gang_leaves_the_last_whole_rack() -> None:
    worker_guarantee = [GuaranteedShape(CellLevel.WORKER, 2)]
    rack_guarantee = [GuaranteedShape(CellLevel.RACK, 1)]
    world = World(
        [Workspace("small", worker_guarantee), Workspace("large", rack_guarantee)],
        GuaranteePlanner(),
    )
    for worker_id, worker in world.tables.workers_by_id.items():
        if worker_id.startswith("r1"):
            worker.health = WorkerHealth.SUSPECT
        elif worker_id.startswith("r3"):
            worker.health = WorkerHealth.QUARANTINED
    world.submit(JobSpec("mover", "small", 2, 8, checkpointable=True))
    world.plan()
    assert not world.tables.active_by_id["mover"].record.borrowed
    for worker_id, worker in world.tables.workers_by_id.items():
        if worker_id.startswith("r1"):
            worker.health = WorkerHealth.HEALTHY
    world.tables.workers_by_id["r1-w0"].health = WorkerHealth.QUARANTINED
    world.submit(guaranteed_spec("large", CellLevel.RACK, 1, 1))
    decisions = world.planner.plan(world.tables, PlanTrigger.TICK, world.now_ms)
    assert [d.job_id for d in decisions if isinstance(d, Preempt)] == ["mover"]
