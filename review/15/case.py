"""An executor leaves; room is then held for a wide gang, and no longer job runs on 14 empty executors."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from standins_3 import Executor, Record, World, call, now_ms, route, run_case  # noqa: E402

LONG, GANG, SMALL, OTHER = (
    "1010101010101010",
    "6a6a6a6a6a6a6a6a",
    "5555555555555555",
    "0b0b0b0b0b0b0b0b",
)
EXECUTORS = 16
GPUS = 8
GANG_TASKS = EXECUTORS - 1
WORK_MS = {LONG: 62_000, GANG: 3_000, SMALL: 500, OTHER: 45_000}
GPU = {LONG: 1, GANG: GPUS, SMALL: 1, OTHER: 1}
DRAIN_S = 3.0  # `drain_ms` is 2 s, "and a little longer".
GANG_S, SMALL_S, OTHER_S = 6.0, 7.0, 27.0  # After the first job.
FINISH_S = 14.0
IDLE_MS = 3_000
LATEST_S = 50.0  # After the acceptance; only recorded, the rule's bound is over before.


def shape(task: str) -> dict[str, int]:
    """Returns what a task needs."""
    return {"cpu": 500, "mem_mb": 1_024, "gpu": GPU[task.partition(".")[0]]}


def steps(job_id: str) -> list[dict[str, Any]]:
    """Returns the steps of a job; all estimates are true."""
    step = {"count": 1, "estimate_ms": WORK_MS[job_id], **shape(job_id)}
    if job_id == GANG:
        step.update(count=GANG_TASKS, gang=True)
    return [step]


def working_gpus(world: World) -> int:
    """Returns how many GPUs are in use."""
    tasks = [task for each in world.executors if each.is_up for task in each.runs]
    return sum(shape(task)["gpu"] for task in tasks)


async def main(record: Record, has_trouble: bool) -> int:
    """Runs the case; returns its exit status."""
    world = World(record)
    started_ms: dict[str, int] = {}

    async def hand_in(node: int, job_id: str, what: str) -> bool:
        port = world.nodes[node].front_port
        body = {"spec": "x", "steps": steps(job_id)}
        status, _ = await call(port, "POST", f"/scan/{job_id}", body)
        record.line(f"client: handed in {job_id}, {what}, answer {status}")
        return status == 200

    async def wait_for_start(job_id: str, end_ms: float) -> bool:
        while now_ms() < end_ms:
            if job_id in started_ms:
                return True
            await asyncio.sleep(0.05)
        return False

    try:
        await world.store.start()
        for index in range(EXECUTORS):
            executor = Executor(f"i-{index:04d}", world.store, record, zone="abc"[index % 3])
            executor.rack = f"r{index // 8}"
            executor.work_ms = lambda task, run: WORK_MS[task.partition(".")[0]]
            executor.shape = shape
            executor.on_start = lambda each, task, run: started_ms.setdefault(
                task.partition(".")[0], now_ms()
            )
            world.executors.append(executor)
            await executor.start()
        world.configure([route("scan", "desk", 1)], ["desk"])
        await world.start_nodes()
        await asyncio.sleep(3)
        begin_ms = now_ms()
        if not await hand_in(0, LONG, "one task of 62 s"):
            return 2
        if not await wait_for_start(LONG, now_ms() + 5_000):
            return 2
        if has_trouble:
            leaving = next(each for each in reversed(world.executors) if not each.runs)
            leaving.state = "draining"
            leaving.publish()
            record.line(f"{leaving.name}: says that it is draining, with {len(leaving.runs)} runs")
            await asyncio.sleep(DRAIN_S)
            leaving.leave()
        await asyncio.sleep(GANG_S - (now_ms() - begin_ms) / 1000)
        if not await hand_in(1, GANG, f"a gang of {GANG_TASKS} tasks with {GPUS} GPUs each"):
            return 2
        await asyncio.sleep(SMALL_S - (now_ms() - begin_ms) / 1000)
        if not await hand_in(2, SMALL, "one task of 0.5 s"):
            return 2
        await asyncio.sleep(OTHER_S - (now_ms() - begin_ms) / 1000)
        if not await hand_in(0, OTHER, "one task of 45 s, which needs 1 GPU"):
            return 2
        accepted_ms = now_ms()
        held_ms = FINISH_S * 1000 + IDLE_MS
        has_started = await wait_for_start(OTHER, accepted_ms + held_ms)
        up = [each for each in world.executors if each.is_up]
        empty = sum(not each.runs for each in up)
        record.line(
            f"in use: {working_gpus(world)} of {GPUS * len(up)} GPUs; {empty} of {len(up)} executors are empty"
        )
        status, value = await call(world.nodes[1].front_port, "GET", f"/scan/{OTHER}")
        record.line(f"client: state of {OTHER}: {status} {value}")
        if has_started:
            return 0
        record.line(f"{OTHER} had nothing running for {held_ms / 1000:.0f} s after its acceptance")
        await wait_for_start(OTHER, accepted_ms + LATEST_S * 1000)
        waited_ms = started_ms.get(OTHER, now_ms()) - accepted_ms
        record.line(f"it waited {waited_ms} ms in all, if it has started")
        return 1
    finally:
        world.close()


run_case(main, FOLDER)
