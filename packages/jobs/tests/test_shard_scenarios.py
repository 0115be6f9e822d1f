"""Step definitions for the scenarios of the shard core in `features`."""

from __future__ import annotations

from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from shard_cluster import SHARD, Cluster, Link, has_command

from jacinthreel_common import (
    ENDED_STATES,
    CellLevel,
    CommandBatch,
    CommandKind,
    GuaranteedShape,
    JobSpec,
    JobState,
    ResultCode,
    TaskCommand,
    Workspace,
    job_key,
)
from jacinthreel_jobs import (
    ConfigApplied,
    Effect,
    GuaranteePlanner,
    Preempt,
    PreemptMode,
    WorkerHealth,
    Write,
)

scenarios("features")

LINK_BY_FAULT = {
    "refuses connections": Link(refuses_connections=True),
    "loses requests": Link(loses_requests=True),
    "loses replies": Link(loses_replies=True),
    "duplicates replies": Link(duplicates_replies=True),
    "loses start commands and duplicates replies": Link(
        lost_command=CommandKind.START, duplicates_replies=True, delay_ms=20
    ),
    "loses release commands": Link(lost_command=CommandKind.RELEASE),
    "recovers from its link fault": Link(),
}
STORE_STATE_BY_FAULT = {
    "is down": "down",
    "loses replies": "loses_replies",
    "loses requests": "loses_requests",
    "applies writes late": "late",
    "replies after 5 s": "slow",
    "recovers": "up",
}
JOB_PATTERN = (
    r'job "(?P<job_id>\w+)" with (?P<tasks>\d+) tasks? of (?P<accelerators>\d+) accelerators '
    r"runs for (?P<run_s>\d+) s"
)
JOB_CONVERTERS = {"tasks": int, "accelerators": int, "run_s": int}


def stores(state: JobState, effect: Effect) -> bool:
    """Whether the effect writes a job row with this state."""
    if not isinstance(effect, Write):
        return False
    values = [write.value for write in effect.writes if isinstance(write.value, dict)]
    return any(value.get("state") == state for value in values)


EFFECT_TEST_BY_STEP = {
    "it stores the placement": lambda effect: stores(JobState.PLACED, effect),
    "it sends a reservation": lambda effect: has_command(effect, CommandKind.RESERVE),
    "it sends a start": lambda effect: has_command(effect, CommandKind.START),
    "it stores that the job ran": lambda effect: stores(JobState.RUNNING, effect),
    "it stores the end": lambda effect: stores(JobState.FINISHED, effect),
    "it releases a task": lambda effect: has_command(effect, CommandKind.RELEASE),
}


@pytest.fixture
def cluster() -> Cluster:
    return Cluster(workers=0, nodes=0)


@given(parsers.parse("a shard with {workers:d} workers in {zones:d} zones"))
def _create_shard(cluster: Cluster, workers: int, zones: int) -> None:
    cluster.__init__(workers, zones)  # type: ignore[misc]
    cluster.run(2_000)


@given(
    parsers.parse(
        "a shard with {workers:d} workers in {zones:d} zones, planned by the guarantee planner"
    )
)
def _create_shard_with_guarantees(cluster: Cluster, workers: int, zones: int) -> None:
    cluster.__init__(workers, zones, nodes=0)  # type: ignore[misc]
    cluster.add_node("n0", GuaranteePlanner())
    cluster.run(2_000)


@given(parsers.parse('workspace "{name}" has a guarantee of {cells:d} worker cells'))
def _set_guarantee(cluster: Cluster, name: str, cells: int) -> None:
    workspace = Workspace(name, [GuaranteedShape(CellLevel.WORKER, cells)])
    cluster.change_config(workspaces={**cluster.config.workspaces, name: workspace})


@given(parsers.parse('workspace "{name}" has no guarantee'))
def _add_workspace_without_guarantee(cluster: Cluster, name: str) -> None:
    cluster.change_config(workspaces={**cluster.config.workspaces, name: Workspace(name)})


def job_spec(
    job_id: str, tasks: int, accelerators: int, run_s: int, workspace: str = "lab"
) -> JobSpec:
    command = f"run={run_s}"
    return JobSpec(job_id, workspace, tasks, accelerators, declared_run_s=run_s, command=command)


@when(parsers.re(JOB_PATTERN), converters=JOB_CONVERTERS)
def _submit(cluster: Cluster, job_id: str, tasks: int, accelerators: int, run_s: int) -> None:
    cluster.submit(job_spec(job_id, tasks, accelerators, run_s))


@when(parsers.re("checkpointable " + JOB_PATTERN), converters=JOB_CONVERTERS)
def _submit_with_checkpoints(
    cluster: Cluster, job_id: str, tasks: int, accelerators: int, run_s: int
) -> None:
    cluster.submit(replace(job_spec(job_id, tasks, accelerators, run_s), checkpointable=True))


@when(parsers.re("urgent " + JOB_PATTERN), converters=JOB_CONVERTERS)
def _submit_urgent(
    cluster: Cluster, job_id: str, tasks: int, accelerators: int, run_s: int
) -> None:
    cluster.submit(replace(job_spec(job_id, tasks, accelerators, run_s), urgent=True))


@given(parsers.parse("at most {count:d} jobs may be queued"))
def _limit_queue(cluster: Cluster, count: int) -> None:
    settings = replace(cluster.config.settings, max_queued_jobs=count)
    cluster.change_config(presets={**cluster.config.presets, cluster.config.preset: settings})
    cluster.run(100)


@when("all queued jobs are cancelled")
def _cancel_all_queued(cluster: Cluster) -> None:
    cluster.writes.clear()
    for job_id in list(cluster.owner().core.tables.queued_by_id):
        cluster.cancel(job_id)


@then(parsers.parse("{jobs:d} jobs are cancelled, in at most {limit:d} transactions"))
def _check_cancelled_in_batches(cluster: Cluster, jobs: int, limit: int) -> None:
    counts = cluster.owner().core.status()["jobs_by_state"]
    assert counts["cancelled"] == jobs
    cancelling = [write for write in cluster.writes if stores(JobState.CANCELLED, write)]
    assert len(cancelling) <= limit


@when(parsers.re("failing " + JOB_PATTERN), converters=JOB_CONVERTERS)
def _submit_failing(
    cluster: Cluster, job_id: str, tasks: int, accelerators: int, run_s: int
) -> None:
    spec = job_spec(job_id, tasks, accelerators, run_s)
    cluster.submit(replace(spec, command=f"run={run_s} fail=1"))


@when(
    parsers.parse("{count:d} jobs with 1 task of {accelerators:d} accelerators run for {run_s:d} s")
)
def _submit_many(cluster: Cluster, count: int, accelerators: int, run_s: int) -> None:
    for index in range(count):
        cluster.submit(job_spec(f"many{cluster.now_ms}-{index}", 1, accelerators, run_s))
    cluster.run(100)


@when(
    parsers.re(
        r'"guest" fills the shard with (?P<checkpointable>checkpointable )?jobs of 1 task '
        r"of 8 accelerators for (?P<run_s>\d+) s"
    )
)
def _fill_shard(cluster: Cluster, checkpointable: str | None, run_s: str) -> None:
    for index in range(len(cluster.workers)):
        spec = job_spec(f"guest{index}", 1, 8, int(run_s), "guest")
        cluster.submit(replace(spec, checkpointable=bool(checkpointable)))


@when(parsers.parse("{duration_ms:d} ms pass"))
def _pass_time(cluster: Cluster, duration_ms: int) -> None:
    cluster.run(duration_ms)


@when(parsers.parse('job "{job_id}" is cancelled'))
def _cancel(cluster: Cluster, job_id: str) -> None:
    cluster.cancel(job_id)


@when(parsers.parse('job "{job_id}" is preempted with a checkpoint'))
def _preempt(cluster: Cluster, job_id: str) -> None:
    decision = Preempt(job_id, "other", PreemptMode.CHECKPOINT, "test")
    cluster.planner.pending_preemptions.append(decision)
    cluster.submit(job_spec("other", 1, 1, 1))


@given(parsers.re(r'worker "(?P<worker_id>\w+)" (?P<fault>refuses connections|loses requests)'))
@given(
    parsers.re(
        r'worker "(?P<worker_id>\w+)" (?P<fault>(loses|duplicates) replies|loses release commands)'
    )
)
@given(
    parsers.re(
        r'worker "(?P<worker_id>\w+)" (?P<fault>loses start commands and duplicates replies)'
    )
)
@when(parsers.re(r'worker "(?P<worker_id>\w+)" (?P<fault>refuses connections|loses requests)'))
@when(parsers.re(r'worker "(?P<worker_id>\w+)" (?P<fault>recovers from its link fault)'))
def _set_link(cluster: Cluster, worker_id: str, fault: str) -> None:
    cluster.links[worker_id] = LINK_BY_FAULT[fault]


@given(parsers.parse('worker "{worker_id}" replies after {delay_ms:d} ms'))
def _set_link_delay(cluster: Cluster, worker_id: str, delay_ms: int) -> None:
    cluster.links[worker_id] = Link(delay_ms=delay_ms // 2)


@when(parsers.parse('worker "{worker_id}" restarts'))
def _restart_worker(cluster: Cluster, worker_id: str) -> None:
    cluster.workers[worker_id].restart()


@given(parsers.parse('worker "{worker_id}" fails every task'))
def _make_worker_fail_tasks(cluster: Cluster, worker_id: str) -> None:
    cluster.workers[worker_id].fails_everything = True


@when(parsers.parse('worker "{worker_id}" stops failing tasks'))
def _stop_worker_failing_tasks(cluster: Cluster, worker_id: str) -> None:
    cluster.workers[worker_id].fails_everything = False


@given(parsers.parse('worker "{worker_id}" is listed as leaving'))
@when(parsers.parse('worker "{worker_id}" is listed as leaving'))
def _list_worker_as_leaving(cluster: Cluster, worker_id: str) -> None:
    cluster.mark_leaving(worker_id)


@given(
    parsers.parse(
        'worker "{worker_id}" runs a task of {count:d} accelerators that belongs to no stored job'
    )
)
def _start_task_of_unknown_job(cluster: Cluster, worker_id: str, count: int) -> None:
    commands = [
        TaskCommand(CommandKind.RESERVE, "ghost", 1, 0, count, 1, 1, command="run=900"),
        TaskCommand(CommandKind.START, "ghost", 1, 0),
    ]
    batch = CommandBatch(SHARD, 1, 60_000, 0, commands)
    cluster.workers[worker_id].handle(batch, cluster.now_ms)


@given(parsers.parse("the store {fault}"))
@when(parsers.parse("the store {fault}"))
def _set_store_state(cluster: Cluster, fault: str) -> None:
    cluster.store_state = STORE_STATE_BY_FAULT[fault]


@when(parsers.parse('zone "{zone}" is closed and the owner is notified after {after_ms:d} ms'))
def _close_zone(cluster: Cluster, zone: str, after_ms: int) -> None:
    cluster.close_zone(zone, after_ms=after_ms)


@when("the owner receives the previous configuration again")
def _feed_previous_config(cluster: Cluster) -> None:
    older = replace(cluster.config, version=cluster.config.version - 1, zones_out={})
    cluster.feed(cluster.owner(), ConfigApplied(older, 1))


@when(parsers.parse('zone "{zone}" is opened'))
def _open_zone(cluster: Cluster, zone: str) -> None:
    cluster.open_zone(zone)


@given("another process starts")
@when("another process starts")
def _start_process(cluster: Cluster) -> None:
    cluster.add_node(f"n{len(cluster.nodes)}")


@when(parsers.parse('the row of job "{job_id}" has an unknown {part}'))
def _write_newer_row(cluster: Cluster, job_id: str, part: str) -> None:
    row = cluster.table.rows_by_key[job_key(SHARD, job_id)]
    row.value = {**row.value, {"field": "color", "state": "state"}[part]: "blue"}


@when("the owner crashes")
def _crash_owner(cluster: Cluster) -> None:
    cluster.crash(cluster.owner())


@when(parsers.parse("the owner will crash before {step}"))
def _crash_owner_before(cluster: Cluster, step: str) -> None:
    cluster.crash_before = EFFECT_TEST_BY_STEP[step]


@when(parsers.parse("the owner is frozen for {duration_ms:d} ms"))
def _freeze_owner(cluster: Cluster, duration_ms: int) -> None:
    cluster.freeze(cluster.owner(), duration_ms)


@when(parsers.parse("the owner freezes for {duration_ms:d} ms as it sends a start"))
def _freeze_owner_at_start(cluster: Cluster, duration_ms: int) -> None:
    cluster.owner().freeze_on_start_ms = duration_ms


@when(parsers.re(JOB_PATTERN + r" and uses (?P<memory_gb>\d+) GB"), converters=JOB_CONVERTERS)
def _submit_with_memory_use(
    cluster: Cluster, job_id: str, tasks: int, accelerators: int, run_s: int, memory_gb: str
) -> None:
    spec = job_spec(job_id, tasks, accelerators, run_s)
    cluster.submit(replace(spec, command=f"run={run_s} memory={memory_gb}"))


@then(parsers.re(r'(?P<count>no|a) decision "(?P<event>\w+)" is logged'))
def _check_decision_logged(cluster: Cluster, count: str, event: str) -> None:
    assert any(line.event == event for line in cluster.logged_decisions) is (count == "a")


@then('no "worker_health" decision reports a quarantine')
def _check_no_quarantine(cluster: Cluster) -> None:
    assert not any(line.fields.get("health") == "quarantined" for line in cluster.logged_decisions)


@then(parsers.parse('no task of job "{job_id}" ever started'))
def _check_no_task_started(cluster: Cluster, job_id: str) -> None:
    for worker in cluster.workers.values():
        assert job_id not in {start.job_id for start in worker.starts}


@then(parsers.parse('no task of job "{job_id}" runs'))
def _check_no_task_runs(cluster: Cluster, job_id: str) -> None:
    assert not cluster.running_tasks(job_id)


@then(parsers.re(r'(?P<count>\d+) tasks? of job "(?P<job_id>\w+)" runs?'))
def _check_running_count(cluster: Cluster, count: str, job_id: str) -> None:
    assert len(cluster.running_tasks(job_id)) == int(count)


@then(parsers.re(r'job "(?P<job_id>\w+)" becomes (?P<state>\w+) within (?P<limit_ms>\d+) ms'))
def _check_job_reaches_state(cluster: Cluster, job_id: str, state: str, limit_ms: str) -> None:
    reached = cluster.run_until(lambda: cluster.state(job_id) == state, int(limit_ms))
    assert reached, cluster.record(job_id)


@then(
    parsers.parse(
        'job "{job_id}" becomes running on another worker than "{worker_id}" within {limit_ms:d} ms'
    )
)
def _check_job_runs_on_another_worker(
    cluster: Cluster, job_id: str, worker_id: str, limit_ms: int
) -> None:
    def runs_on_another_worker() -> bool:
        record = cluster.record(job_id)
        has_moved = all(item.worker_id != worker_id for item in record.placement)
        return record.state is JobState.RUNNING and has_moved

    assert cluster.run_until(runs_on_another_worker, limit_ms), cluster.record(job_id)


@then(parsers.parse("all jobs become finished within {limit_ms:d} ms"))
def _check_all_jobs_finish(cluster: Cluster, limit_ms: int) -> None:
    jobs = cluster.owner().core.tables.jobs_by_id
    ended = cluster.run_until(
        lambda: all(job.state in ENDED_STATES for job in jobs.values()), limit_ms
    )
    assert ended
    assert {job.state for job in jobs.values()} == {JobState.FINISHED}


@then(parsers.re(r'job "(?P<job_id>\w+)" took (?P<attempts>\d+) attempts?'))
def _check_attempts(cluster: Cluster, job_id: str, attempts: str) -> None:
    assert cluster.record(job_id).attempt == int(attempts)


@then(parsers.parse('job "{job_id}" is placed on "{worker_id}"'))
def _check_placed_on(cluster: Cluster, job_id: str, worker_id: str) -> None:
    assert worker_id in {item.worker_id for item in cluster.record(job_id).placement}
    held = cluster.owner().core.tables.workers_by_id[worker_id].held
    assert job_id in {key[0] for key in held}


@then(parsers.parse('job "{job_id}" ended with {code}'))
def _check_result(cluster: Cluster, job_id: str, code: str) -> None:
    assert cluster.record(job_id).result is ResultCode[code]


@then(parsers.parse("the last call is answered with {code}"))
def _check_last_reply(cluster: Cluster, code: str) -> None:
    assert cluster.replies_by_call_id[max(cluster.replies_by_call_id)].code is ResultCode[code]
    assert max(cluster.replies_by_call_id) == cluster.last_call_id


@then("no task ran twice at the same time")
def _check_no_task_ran_twice(cluster: Cluster) -> None:
    cluster.check_no_task_runs_twice()


@then(parsers.parse("no gang ran partially for longer than {limit_ms:d} ms"))
def _check_partial_gangs(cluster: Cluster, limit_ms: int) -> None:
    assert cluster.longest_partial_ms <= limit_ms


@then("no task started in a closed zone after the allowed delay")
def _check_no_late_start(cluster: Cluster) -> None:
    cluster.check_no_start_in_closed_zones()


@then(parsers.parse('no task runs in zone "{zone}"'))
def _check_zone_is_empty(cluster: Cluster, zone: str) -> None:
    for host in cluster.hosts:
        assert host.zone != zone or not cluster.workers[host.host_id].running()


@then(parsers.parse('no task ever started on "{worker_id}"'))
def _check_nothing_started(cluster: Cluster, worker_id: str) -> None:
    assert not cluster.workers[worker_id].starts


@then(parsers.parse('worker "{worker_id}" has no task'))
def _check_worker_has_no_task(cluster: Cluster, worker_id: str) -> None:
    assert not cluster.workers[worker_id].tasks_by_key


@then(parsers.parse('worker "{worker_id}" is {health}'))
def _check_worker_health(cluster: Cluster, worker_id: str, health: str) -> None:
    workers = cluster.owner().core.tables.workers_by_id
    assert workers[worker_id].health is WorkerHealth(health)


@then("no resources are allocated and no task remains on any worker")
def _check_everything_released(cluster: Cluster) -> None:
    cluster.run_until(lambda: cluster.owner() is not None)
    cluster.run(3_000)
    workers = cluster.owner().core.tables.workers_by_id.values()
    assert not any(worker.held for worker in workers)
    assert not any(worker.tasks_by_key for worker in cluster.workers.values())
