"""A queue moves to another service and one executor leaves: an accepted job never runs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from standins_3 import Executor, Record, World, call, now_ms, route, run_case  # noqa: E402

OLD, NEW = "desk-old", "desk-new"
JOB, LATER_JOB = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
KIND = "wide"  # One of the old executors has this label, and all of the new ones.
OLD_COUNT, NEW_COUNT = 16, 8
TASKS = {"count": 2, "cpu": 2_000, "mem_mb": 1_024, "requires": KIND}
STEPS = [{**TASKS, "estimate_ms": 8_000}, {**TASKS, "estimate_ms": 1_000, "after": [0]}]
FIRST_STEP_MS, SECOND_STEP_MS = 8_000, 1_000
FINISH_S = 14.0
IDLE_S = 3.0


def at_work(world: World) -> int:
    """Returns how many runs there are at all executors."""
    return sum(len(executor.runs) for executor in world.executors if executor.is_up)


async def main(record: Record, has_trouble: bool) -> int:
    """Runs the case; returns its exit status."""
    world = World(record)
    try:
        await world.store.start()
        for index in range(OLD_COUNT + NEW_COUNT):
            service = OLD if index < OLD_COUNT else NEW
            executor = Executor(
                f"i-{index:04d}", world.store, record, service, "abc"[index % 3], f"r{index % 3}"
            )
            executor.kind = KIND if index == 0 or service == NEW else "k"
            executor.work_ms = lambda task, run: (
                FIRST_STEP_MS if task.split(".")[2] == "0" else SECOND_STEP_MS
            )
            executor.shape = lambda task: {"cpu": 2_000, "mem_mb": 1_024}
            world.executors.append(executor)
            await executor.start()
        world.configure([route("scan", OLD)], [OLD, NEW])
        await world.start_nodes()
        await asyncio.sleep(3)
        ports = [node.front_port for node in world.nodes]
        status, _ = await call(ports[0], "POST", f"/scan/{JOB}", {"spec": "a", "steps": STEPS})
        record.line(f"client: handed in {JOB}, answer {status}")
        if status != 200:
            return 2
        await asyncio.sleep(1.0)
        if not at_work(world):
            record.line("the first step has not begun")
            return 2
        if has_trouble:
            await move(world)
        else:
            await asyncio.sleep(8)
        status, _ = await call(
            ports[1], "POST", f"/scan/{LATER_JOB}", {"spec": "b", "steps": STEPS}
        )
        record.line(f"client: handed in {LATER_JOB}, answer {status}")
        await asyncio.sleep(FINISH_S)
        return await judge(world, ports)
    finally:
        world.close()


async def move(world: World) -> None:
    """Moves the queue to the new service, then empties and takes away one old executor."""
    world.configure([route("scan", NEW)], [OLD, NEW])
    world.record.line(f"operator: a configuration sends the queue to {NEW}")
    await asyncio.sleep(3)
    leaving = world.executors[0]
    leaving.state = "draining"
    leaving.publish()
    world.record.line(f"1 of the old service's {OLD_COUNT} executors says that it is draining")
    while leaving.runs:
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    leaving.leave()
    world.record.line("it has left; nothing ran there")


async def judge(world: World, ports: list[int]) -> int:
    """Returns 1 if an accepted job has nothing running for 3 s although its service is empty."""
    record = world.record
    idle_since_ms = now_ms()
    while now_ms() - idle_since_ms < IDLE_S * 1000:
        await asyncio.sleep(0.05)
        if at_work(world):
            idle_since_ms = now_ms()
    states = {}
    for job in (JOB, LATER_JOB):
        status, value = await call(ports[2], "GET", f"/scan/{job}")
        states[job] = (value or {}).get("state", status)
        record.line(f"client: state of {job}: {status} {value}")
    free = [each for each in world.executors if each.is_up and each.service == NEW]
    record.line(f"nothing has run for {IDLE_S} s; {len(free)} executors of {NEW} are up and empty")
    if states[LATER_JOB] != "completed":
        record.line("the later job is not done either: the world is not sound")
        return 2
    return 0 if states[JOB] == "completed" else 1


run_case(main, FOLDER)
