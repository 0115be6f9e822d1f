"""Two executors crash in turn under a wide gang: then no other job runs, with much room free."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from standins_3 import Executor, Record, World, call, now_ms, route, run_case  # noqa: E402

GANG, OTHER = "5c0e7a21d94b36f8", "77aa000000000000"
EXECUTORS = 8
GANG_STEPS = [
    {
        "count": EXECUTORS,
        "cpu": 1_000,
        "mem_mb": 1_024,
        "gpu": 1,
        "estimate_ms": 45_000,
        "gang": True,
        "anti_affinity": 1,
    }
]
OTHER_STEPS = [{"count": 1, "cpu": 1_000, "mem_mb": 1_024, "gpu": 1, "estimate_ms": 1_000}]
SHAPE = {"cpu": 1_000, "mem_mb": 1_024, "gpu": 1}
GANG_WORK_MS, OTHER_WORK_MS = 45_000, 1_000
CRASHES = 2
CRASH_AFTER_S = 15.0
DOWN_S = 4.0
FINISH_S = 14.0
IDLE_MS = 3_000
CONTACT_MS = 3_000
LATEST_S = 50.0  # Only recorded; the rule's bound is over before.


def members(world: World) -> int:
    """Returns how many members of the gang are at work."""
    tasks = [task for each in world.executors if each.is_up for task in each.runs]
    return sum(task.startswith(GANG) for task in tasks)


async def wait_for_gang(world: World, limit_s: float) -> bool:
    """Waits until the whole gang is at work."""
    end_ms = now_ms() + limit_s * 1000
    while now_ms() < end_ms:
        if members(world) == EXECUTORS:
            return True
        await asyncio.sleep(0.05)
    return False


async def wait_for_start(started_ms: dict[str, int], end_ms: float) -> bool:
    """Waits until the other job has started; returns false at `end_ms`."""
    while now_ms() < end_ms:
        if any(task.startswith(OTHER) for task in started_ms):
            return True
        await asyncio.sleep(0.05)
    return False


async def main(record: Record, has_trouble: bool) -> int:
    """Runs the case; returns its exit status."""
    world = World(record)
    started_ms: dict[str, int] = {}

    def end_gang(how: str) -> None:
        """A member has ended: the others end with it."""
        for executor in world.executors:
            for task in [task for task in executor.runs if task.startswith(GANG)]:
                executor._end(task, how)

    try:
        await world.store.start()
        for index in range(EXECUTORS):
            executor = Executor(f"i-{index:04d}", world.store, record, zone="abc"[index % 3])
            executor.work_ms = lambda task, run: (
                GANG_WORK_MS if task.startswith(GANG) else OTHER_WORK_MS
            )
            executor.shape = lambda task: SHAPE
            executor.on_start = lambda each, task, run: started_ms.setdefault(task, now_ms())
            world.executors.append(executor)
            await executor.start()
        world.configure([route("scan", "desk", 1), route("quick", "desk", 0)], ["desk"])
        await world.start_nodes()
        await asyncio.sleep(3)
        ports = [node.front_port for node in world.nodes]
        status, _ = await call(
            ports[0], "POST", f"/scan/{GANG}", {"spec": "a", "steps": GANG_STEPS}
        )
        record.line(f"client: handed in {GANG}, a gang of {EXECUTORS}, answer {status}")
        if not await wait_for_gang(world, 5):
            return 2
        for index in range(CRASHES if has_trouble else 0):
            await asyncio.sleep(CRASH_AFTER_S)
            crashing = world.executors[index * 3]
            crashing.crash()
            world.store.remove("servers", crashing.name)
            end_gang("broken")
            await asyncio.sleep(DOWN_S)
            await crashing.restart(f"{crashing.name}-{index}")
            if not await wait_for_gang(world, 20):
                record.line("the gang is not at work again")
                return 2
            record.line("the whole gang is at work again")
        await asyncio.sleep(CONTACT_MS / 1000)
        status, _ = await call(
            ports[1], "POST", f"/quick/{OTHER}", {"spec": "b", "steps": OTHER_STEPS}
        )
        record.line(f"client: handed in {OTHER}, which needs 1 GPU, answer {status}")
        if status != 200:
            return 2
        accepted_ms = now_ms()
        held_ms = FINISH_S * 1000 + IDLE_MS
        has_started = await wait_for_start(started_ms, accepted_ms + held_ms)
        used = sum(len(each.runs) for each in world.executors)
        record.line(f"in use: {used} of {8 * EXECUTORS} GPUs; all {EXECUTORS} executors are up")
        status, value = await call(ports[2], "GET", f"/quick/{OTHER}")
        record.line(f"client: state of {OTHER}: {status} {value}")
        if has_started:
            return 0
        record.line(f"{OTHER} had nothing running for {held_ms / 1000:.0f} s after its acceptance")
        await wait_for_start(started_ms, accepted_ms + LATEST_S * 1000)
        waited_ms = started_ms.get(f"{OTHER}.0.0.0", now_ms()) - accepted_ms
        record.line(f"it waited {waited_ms} ms in all, if it has started")
        return 1
    finally:
        world.close()


run_case(main, FOLDER)
