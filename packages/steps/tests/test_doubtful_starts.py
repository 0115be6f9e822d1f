"""Starts and stops without an answer."""

from __future__ import annotations

from steps_world import World, listing, step

from jacinthreel_steps import EndReason, ExecutorReport, Run, StartOutcome, StopOrder


def place_without_answer(world: World) -> Run:
    """Places a task whose start goes unanswered until it is given up on and a stop is ordered."""
    world.submit("j1", step())
    world.scheduler.plan(world.now_ms)
    world.store()
    run = world.scheduler.take_starts()[0]
    world.now_ms += 2_000
    world.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, world.now_ms)
    assert len(world.scheduler.take_stops()) == 1
    return run


def test_stop_without_an_answer_is_repeated_although_the_run_is_not_reported() -> None:
    world = World(listing("e1"))
    run = place_without_answer(world)

    world.now_ms += 1_000
    world.report("e1")

    assert [stop.run_id for stop in world.scheduler.take_stops()] == [run.run_id]


def test_confirmed_stop_is_not_repeated_until_the_next_question_is_answered() -> None:
    world = World(listing("e1"))
    place_without_answer(world)
    stops = world.scheduler.tables.executors_by_id["e1"].runs_by_task.values()
    orders = [StopOrder("e1", run.incarnation, run.run_id) for run in stops]

    for _ in range(3):  # Each question waits a second; each stop is confirmed just after it.
        sent_ms = world.now_ms
        for order in orders:
            world.scheduler.record_stop_confirmation(order, sent_ms + 5)
        world.now_ms += 1_000
        world.scheduler.apply_report("e1", ExecutorReport(1, sent_ms, (), ()), world.now_ms)
        orders = world.scheduler.take_stops()

    assert world.scheduler.tables.executors_by_id["e1"].runs_by_task == {}


def test_task_is_placed_again_once_the_stop_is_confirmed() -> None:
    world = World(listing("e1"))
    place_without_answer(world)
    world.settle()
    assert world.started == []

    world.now_ms += 1_000
    world.report("e1")
    world.settle()

    assert [run.run_id.number for run in world.runs("j1")] == [2]


def test_refused_start_after_one_without_an_answer_is_stopped_first() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.scheduler.plan(world.now_ms)
    world.store()
    run = world.scheduler.take_starts()[0]
    world.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, world.now_ms)
    world.scheduler.take_starts()

    world.scheduler.record_start_outcome(run, StartOutcome.REFUSED_UNHEALTHY, world.now_ms)

    assert [stop.run_id for stop in world.scheduler.take_stops()] == [run.run_id]


def test_start_whose_order_got_lost_is_stopped_and_placed_again() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.scheduler.plan(world.now_ms)
    world.store()
    world.scheduler.take_starts()  # Nobody carries them out.

    world.pass_time(6_000)

    assert [run.run_id.number for run in world.runs("j1")] == [2]


def test_gang_with_a_member_whose_order_got_lost_is_placed_again() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(2, is_gang=True))
    world.scheduler.plan(world.now_ms)
    world.store()
    first, _ = world.scheduler.take_starts()
    world.running["e1"] = {str(first.run_id): first}
    world.scheduler.record_start_outcome(first, StartOutcome.STARTED, world.now_ms)
    world.now_ms += 4_000
    world.end(first, EndReason.ALONE)

    world.pass_time(6_000)

    assert [run.run_id.number for run in world.runs("j1")] == [2, 2]
