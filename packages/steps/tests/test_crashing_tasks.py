"""A task that crashes executors is given up after a few starts, and no sound job with it."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
from crash_world import CrashWorld
from scheduler_harness import listing, queue, step

from jacinthreel_steps import EndReason, StoredProgress

MAX_STARTS = 5
MAX_LATE_STARTS = 2


def executors(count: int, per_rack: int = 4) -> list[object]:
    return [listing(f"e{index:03}", rack=f"r{index // per_rack}") for index in range(count)]


CASES = {
    "crash after the answer": {"crash_delay_ms": 500},
    "crash before the answer": {"crash_delay_ms": 0},
    "crash late in the run": {"crash_delay_ms": 3_000},
    "executor away beyond its lease": {"down_ms": 8_000},
}


@pytest.mark.parametrize("name", CASES)
def test_task_that_crashes_its_executors_is_given_up(name: str) -> None:
    world = CrashWorld(*executors(8), **CASES[name])
    world.submit_crashing("crashing", step(1))
    world.pass_time(90_000)
    assert world.state("crashing") == "failed"
    assert max(world.starts.values()) <= MAX_STARTS
    assert max(world.late_starts.values(), default=0) <= MAX_LATE_STARTS


@pytest.mark.parametrize("is_gang", [False, True])
def test_crashes_are_counted_across_changes_of_owner(is_gang: bool) -> None:
    world = CrashWorld(*executors(8))
    world.submit_crashing("crashing", step(3, accelerators=4, is_gang=is_gang))
    for _ in range(60):
        world.pass_time(1_250)
        world.take_over()
    world.pass_time(10_000)
    assert world.state("crashing") == "failed"
    assert max(world.late_starts.values(), default=0) <= MAX_LATE_STARTS


@pytest.mark.parametrize("is_announced", [False, True])
def test_crash_that_the_former_owner_did_not_store_counts_unless_the_executor_was_to_leave(
    is_announced: bool,
) -> None:
    world = CrashWorld(listing("e0"), listing("e1"))
    world.submit("job", step())
    world.settle()
    [run] = world.runs("job")
    if is_announced:
        leaving = replace(world.listings[run.executor_id], is_draining=True)
        world.scheduler.apply_listing(leaving, world.now_ms)
    world.store()
    del world.listings[run.executor_id]

    world.take_over()
    world.scheduler.expire_orphans(lambda _: world.now_ms, world.now_ms)

    record = world.scheduler.tables.jobs_by_id["job"].steps[0].tasks[0].crash_record
    assert (0 if record is None else record.crashes) == (0 if is_announced else 1)


def test_wide_step_that_crashes_executors_takes_few_of_them_down() -> None:
    world = CrashWorld(*executors(24))
    world.submit_crashing("crashing", step(12, accelerators=8))
    world.pass_time(60_000)
    assert world.state("crashing") == "failed"
    assert world.executor_crashes <= 12 + MAX_STARTS


def test_several_jobs_that_crash_executors_at_once_are_given_up() -> None:
    world = CrashWorld(*executors(24))
    for index in range(4):
        world.submit_crashing(f"crashing{index}", step(4, accelerators=4, is_gang=index % 2 == 0))
    world.pass_time(90_000)
    assert world.states("crashing") == {"failed"}
    assert max(world.late_starts.values(), default=0) <= MAX_LATE_STARTS


def test_task_is_given_up_once_it_has_lost_an_executor_of_its_own() -> None:
    world = CrashWorld(*executors(8))
    world.submit_crashing("crashing", step(1))
    world.pass_time(30_000)
    assert world.state("crashing") == "failed"
    assert world.executor_crashes == 3


@pytest.mark.parametrize("is_gang", [False, True])
def test_jobs_that_crash_executors_at_once_do_not_explain_each_others_losses(is_gang: bool) -> None:
    world = CrashWorld(*executors(60))
    for index in range(6):
        world.submit_crashing(f"crashing{index}", step(1, accelerators=8, is_gang=is_gang))
    world.pass_time(60_000)
    assert world.states("crashing") == {"failed"}
    assert max(world.starts.values()) < MAX_STARTS


def test_jobs_beside_a_task_that_crashes_executors_are_completed() -> None:
    world = CrashWorld(*executors(12))
    world.submit_crashing("crashing", step(2))
    for index in range(10):
        world.submit(f"sound{index}", step(4, is_gang=index % 3 == 0), terms=queue(index % 2))
    world.pass_time(90_000)
    assert world.state("crashing") == "failed"
    assert world.states("sound") == {"completed"}


@pytest.mark.parametrize("seed", range(3))
def test_outages_of_many_executors_fail_no_job(seed: int) -> None:
    rng = random.Random(seed)
    world = CrashWorld(*executors(40))
    for index in range(60):
        shape = step(rng.randint(1, 8), rng.choice([1, 2, 4]), is_gang=rng.random() < 0.4)
        world.submit(f"sound{index}", shape, terms=queue(rng.randrange(2)))
        if index % 10 == 9:
            world.pass_time(2_000)
            for name in rng.sample(sorted(world.listings), 10):
                world.crash(name)
            world.pass_time(2_000)
    for _ in range(6):
        for name in rng.sample(sorted(world.listings), 10):
            world.crash(name)
        world.pass_time(4_000)
    world.pass_time(120_000)
    assert world.states("sound") == {"completed"}


def test_executor_that_crashes_by_itself_fails_no_job() -> None:
    world = CrashWorld(*executors(6), down_ms=1_000)
    for index in range(12):
        world.submit(f"sound{index}", step(4, accelerators=2, is_gang=index % 2 == 0))
    for _ in range(30):
        world.crash("e000")
        world.pass_time(1_500)
    world.pass_time(60_000)
    assert world.states("sound") == {"completed"}


def test_failed_run_uses_one_of_the_last_starts() -> None:
    world = CrashWorld(*executors(8))
    world.submit("unlucky", step(1), terms=queue(max_attempts=9))
    world.pass_time(500)
    for index in range(3):  # In outages, so that nothing is shown about the task.
        names = ["e005", "e006", "e007", world.runs("unlucky")[0].executor_id]
        for name in names:
            world.crash(name)
        world.pass_time(8_500 if index == 2 else 3_000)
    for _ in range(MAX_LATE_STARTS):
        world.end(world.runs("unlucky")[0], EndReason.FAILED)
        world.pass_time(500)
    assert world.state("unlucky") == "failed"


def test_executor_is_closed_to_other_jobs_only_during_a_trial() -> None:
    world = CrashWorld(*executors(3), work_ms=20_000)
    world.submit("suspect", step(1))
    for _ in range(2):
        world.pass_time(1_000)
        world.crash(world.runs("suspect")[0].executor_id)
        world.pass_time(3_000)
    tried = world.runs("suspect")[0].executor_id
    world.submit("others", step(24))
    world.pass_time(500)
    assert tried not in {run.executor_id for run in world.runs("others")}
    world.pass_time(12_000)
    assert tried in {run.executor_id for run in world.runs("others")}


def test_gang_that_fits_only_on_executors_that_it_has_lost_does_not_wait_for_others() -> None:
    world = CrashWorld(*executors(2))
    world.submit_crashing("crashing", step(4, accelerators=4, is_gang=True))
    world.pass_time(50_000)
    assert world.state("crashing") == "failed"
    assert max(world.late_starts.values()) <= MAX_LATE_STARTS


def crash_under_member(world: CrashWorld, job_id: str, member: int) -> None:
    """Crashes the executor of a task once it runs, some seconds after the last crash."""
    world.pass_time(6_000)
    for _ in range(60):
        assert world.state(job_id) == "running"
        runs = [run for run in world.runs(job_id) if run.run_id.task.task_index == member]
        if runs:
            world.crash(runs[0].executor_id)
            return
        world.pass_time(1_000)
    raise AssertionError("the task does not start again")


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("width", [3, 4, 9])
def test_gang_of_which_each_member_loses_an_executor_is_not_given_up(
    width: int, takes_over: bool
) -> None:
    # Members shared the evidence, so that crashes anywhere under a wide gang added up.
    world = CrashWorld(*executors(width + 3), work_ms=15_000, down_ms=4_500)
    world.submit("sound", step(width, is_gang=True, max_per_executor=1))
    for member in range(2 * width):
        crash_under_member(world, "sound", member % width)
        if takes_over:
            world.take_over()
    world.pass_time(60_000)
    assert world.state("sound") == "completed"


def test_job_of_which_each_task_loses_an_executor_is_not_given_up() -> None:
    world = CrashWorld(*executors(9), work_ms=60_000, down_ms=4_500)
    world.submit("sound", step(8, max_per_executor=1))
    for task in range(8):
        crash_under_member(world, "sound", task)
    world.pass_time(200_000)
    assert world.state("sound") == "completed"


def test_member_that_crashes_its_executors_fails_its_gang() -> None:
    # Without the shared evidence of the gang, its other members must not hide that member.
    world = CrashWorld(*executors(8), work_ms=15_000, down_ms=4_500)
    world.submit("crashing", step(4, is_gang=True, max_per_executor=1))
    for _ in range(3):
        crash_under_member(world, "crashing", 2)
    world.pass_time(20_000)
    assert world.state("crashing") == "failed"


@pytest.mark.parametrize("seed", range(12))
def test_wide_job_whose_tasks_lose_executors_by_chance_is_not_given_up(seed: int) -> None:
    # Losses beside siblings counted like those of an executor that ran nothing else.
    rng = random.Random(seed)
    world = CrashWorld(*executors(7), work_ms=25_000, down_ms=4_500)
    world.submit("sound", step(40))
    for _ in range(4):
        world.pass_time(6_000)
        world.crash(rng.choice(sorted({run.executor_id for run in world.runs("sound")})))
    world.pass_time(120_000)
    assert world.state("sound") == "completed"


def test_evidence_of_a_row_of_an_earlier_version_is_not_shared_by_a_gang() -> None:
    world = CrashWorld(*executors(8), work_ms=15_000, down_ms=4_500)
    world.submit("sound", step(4, is_gang=True, max_per_executor=1))
    for member in range(2):
        crash_under_member(world, "sound", member)
    world.pass_time(1_000)
    row = msgspec.msgpack.decode(world.rows["sound"].value)
    shared = ["e000:80", "e001:80", "e002:80"]
    row[3][0][2] = [[member, 1, shared, 3, 2_000, 0] for member in range(4)]
    del row[3][0][3:]
    world.rows["sound"] = StoredProgress(msgspec.msgpack.encode(row), world.rows["sound"].version)
    world.take_over()
    records = [
        task.crash_record for task in world.scheduler.tables.jobs_by_id["sound"].steps[0].tasks
    ]
    assert [record.unexplained for record in records if record is not None] == [1] * 4
    assert world.scheduler.suspect_count == 4
    crash_under_member(world, "sound", 2)
    world.pass_time(60_000)
    assert world.state("sound") == "completed"


@pytest.mark.parametrize("seed", range(5))
def test_crashing_tasks_are_bounded_and_no_sound_job_is_given_up(seed: int) -> None:
    # Both promises at once, for random jobs, crashes of executors and changes of owner.
    rng = random.Random(seed)
    world = CrashWorld(
        *executors(rng.choice([12, 24])),
        crash_delay_ms=rng.choice([0, 300, 1_500]),
        down_ms=rng.choice([2_000, 4_500, 8_000]),
        work_ms=rng.choice([3_000, 9_000]),
    )
    for index in range(3):
        shape = step(rng.choice([1, 4, 12]), rng.choice([1, 4]), is_gang=rng.random() < 0.5)
        world.submit_crashing(f"crashing{index}", shape, terms=queue(rng.randrange(2)))
    for index in range(12):
        shape = step(rng.randint(1, 8), rng.choice([1, 2, 4]), is_gang=rng.random() < 0.4)
        world.submit(f"sound{index}", shape, terms=queue(rng.randrange(2)))
    for _ in range(20):
        world.pass_time(rng.choice([1_000, 2_500, 4_000]))
        if rng.random() < 0.15:
            world.take_over()
        if rng.random() < 0.1:
            world.crash(rng.choice(sorted(world.listings)))
    world.pass_time(120_000)
    late = [count for task, count in world.late_starts.items() if task.job_id.startswith("crash")]
    assert max(late, default=0) <= MAX_LATE_STARTS
    assert world.states("crashing") == {"failed"}
    assert world.states("sound") == {"completed"}
