"""Random sequences of operations and faults on one shard.

Invariants are checked after every step, and the final state after all faults have ended.  The
cluster has two scheduler processes, one table and four workers in two zones.  Steps submit, cancel
and preempt jobs, close and open zones, inject faults into the store and the links, restart workers,
and freeze and crash owners.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from shard_cluster import Cluster, Link

from jacinthreel_common import ENDED_STATES, CommandKind, JobSpec, ResultCode
from jacinthreel_jobs import Preempt, PreemptMode

WORKER_IDS = st.sampled_from(["w0", "w1", "w2", "w3"])
ZONES = st.sampled_from(["z0", "z1"])
STORE_FAULTS = st.sampled_from(["down", "loses_requests", "loses_replies", "late", "slow"])
LINK_FAULTS = st.sampled_from(
    [
        Link(refuses_connections=True),
        Link(loses_requests=True),
        Link(loses_replies=True),
        Link(duplicates_replies=True),
        Link(lost_command=CommandKind.START, duplicates_replies=True, delay_ms=20),
        Link(lost_command=CommandKind.RELEASE),
        Link(delay_ms=300),
        Link(delay_ms=1_500),
        Link(delay_ms=4_000),
    ]
)
MAX_NODES = 5


class ShardMachine(RuleBasedStateMachine):
    """Steps and invariants of one shard."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(workers=4, zones=2, nodes=2)
        self.cluster.run(2_000)
        first = JobSpec("first", "lab", 2, 4, declared_run_s=120, command="run=120")
        self.calls_by_job_id = {"first": self.cluster.submit(first)}
        self.cluster.run(1_000)

    @rule(
        tasks=st.integers(1, 4),
        accelerators=st.sampled_from([1, 4, 8]),
        run_s=st.sampled_from([2, 20, 60]),
        checkpointable=st.booleans(),
        urgent=st.booleans(),
    )
    def submit(
        self, tasks: int, accelerators: int, run_s: int, checkpointable: bool, urgent: bool
    ) -> None:
        job_id = f"j{len(self.calls_by_job_id)}"
        spec = JobSpec(
            job_id,
            "lab",
            tasks,
            accelerators,
            checkpointable=checkpointable,
            urgent=urgent,
            declared_run_s=run_s,
            command=f"run={run_s}",
        )
        self.calls_by_job_id[job_id] = self.cluster.submit(spec)
        self.cluster.run(30)

    @precondition(lambda self: self.calls_by_job_id)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        self.cluster.cancel(data.draw(st.sampled_from(sorted(self.calls_by_job_id))))
        self.cluster.run(10)

    @precondition(lambda self: self.calls_by_job_id)
    @rule(data=st.data(), mode=st.sampled_from(PreemptMode))
    def preempt(self, data: st.DataObject, mode: PreemptMode) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.calls_by_job_id)))
        self.cluster.planner.pending_preemptions.append(Preempt(job_id, "other", mode, "test"))

    @rule(duration_ms=st.sampled_from([300, 1_000, 5_000, 15_000]))
    def pass_time(self, duration_ms: int) -> None:
        self.cluster.run(duration_ms)

    @rule(fault=STORE_FAULTS, duration_ms=st.sampled_from([10, 1_000, 8_000]))
    def break_store(self, fault: str, duration_ms: int) -> None:
        self.cluster.store_state = fault
        self.cluster.schedule(duration_ms, self._end_store_fault)

    def _end_store_fault(self) -> None:
        self.cluster.store_state = "up"

    @rule(
        worker_id=WORKER_IDS,
        fault=LINK_FAULTS,
        duration_ms=st.sampled_from([1_000, 25_000]),
    )
    def break_link(self, worker_id: str, fault: Link, duration_ms: int) -> None:
        self.cluster.links[worker_id] = fault
        self.cluster.schedule(duration_ms, lambda: self._end_link_fault(worker_id))

    def _end_link_fault(self, worker_id: str) -> None:
        self.cluster.links[worker_id] = Link()

    @rule(worker_id=WORKER_IDS)
    def restart_worker(self, worker_id: str) -> None:
        self.cluster.workers[worker_id].restart()

    @rule(worker_id=WORKER_IDS, faulty=st.booleans())
    def set_worker_faulty(self, worker_id: str, faulty: bool) -> None:
        self.cluster.workers[worker_id].fails_everything = faulty

    @rule(duration_ms=st.sampled_from([500, 3_000, 9_000, 25_000]), at_start=st.booleans())
    def freeze_owner(self, duration_ms: int, at_start: bool) -> None:
        owner = self.cluster.owner()
        if owner is None:
            return
        if at_start:
            owner.freeze_on_start_ms = duration_ms
        else:
            self.cluster.freeze(owner, duration_ms)

    @precondition(lambda self: len(self.cluster.nodes) < MAX_NODES)
    @rule()
    def crash_owner(self) -> None:
        owner = self.cluster.owner()
        if owner is not None:
            self.cluster.crash(owner)
            self.cluster.add_node(f"n{len(self.cluster.nodes)}")

    @rule(zone=ZONES, after_ms=st.sampled_from([50, 2_000, 20_000]))
    def close_zone(self, zone: str, after_ms: int) -> None:
        if self.cluster.store_state != "down":
            self.cluster.close_zone(zone, after_ms=after_ms)

    @rule(zone=ZONES, after_ms=st.sampled_from([0, 50, 2_000]))
    def open_zone(self, zone: str, after_ms: int) -> None:
        if self.cluster.store_state != "down":
            self.cluster.open_zone(zone, after_ms=after_ms)

    @invariant()
    def no_task_runs_twice_or_starts_in_a_closed_zone(self) -> None:
        self.cluster.check_no_task_runs_twice()
        self.cluster.check_no_start_in_closed_zones()
        for node in self.cluster.nodes:
            for worker in node.core.tables.workers_by_id.values():
                assert worker.free_accelerators >= 0

    def teardown(self) -> None:
        """Ends all faults, then checks that every accepted job ends and releases its resources."""
        cluster = self.cluster
        cluster.store_state = "up"
        for zone in list(cluster.closed_ms_by_zone):
            cluster.open_zone(zone)
        for worker_id, worker in cluster.workers.items():
            cluster.links[worker_id] = Link()
            worker.fails_everything = False
        cluster.run(60_000)
        assert not cluster.partial_gangs()
        accepted = [
            job_id
            for job_id, call_id in self.calls_by_job_id.items()
            if call_id in cluster.replies_by_call_id
            and cluster.replies_by_call_id[call_id].code is ResultCode.OK
        ]
        stored = [job_id for job_id in self.calls_by_job_id if cluster.state(job_id)]
        assert set(accepted) <= set(stored)
        ended = cluster.run_until(
            lambda: all(cluster.state(job_id) in ENDED_STATES for job_id in stored), 2_000_000
        )
        states = {job_id: cluster.state(job_id) for job_id in stored}
        assert ended, f"jobs have not ended: {states}"
        cluster.run(5_000)
        assert not cluster.running_tasks()
        owner = cluster.owner()
        assert owner is not None and owner.core.idle()
        held = [worker.held for worker in owner.core.tables.workers_by_id.values() if worker.held]
        assert not held
        remaining_tasks = [
            worker.tasks_by_key for worker in cluster.workers.values() if worker.tasks_by_key
        ]
        assert not remaining_tasks


ShardMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
test_shard_machine = ShardMachine.TestCase
