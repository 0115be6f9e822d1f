"""A job that was cancelled with the answer 410 runs, because its hand-in is carried out late."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from standins_3 import Executor, Record, World, call, now_ms, route, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 8_000, "mem_mb": 1_024, "estimate_ms": 1_000}]
OTHER_STEPS = [{"count": 1, "cpu": 8_000, "mem_mb": 1_024, "estimate_ms": 12_000}]
OTHERS = 4  # As many as executors: each takes a whole one.
WORK_MS, OTHER_WORK_MS = 1_000, 12_000
LATE_S = 6.0
CANCEL_MS = 3_000
CONTACT_MS = 3_000


async def hand_in(world: World, port: int, index: int) -> None:
    """Hands in another job after a while, so that the store has other writes to do."""
    await asyncio.sleep(index * 0.25)
    job = f"77aa{index:012x}"
    status, _ = await call(port, "POST", f"/scan/{job}", {"spec": "b", "steps": OTHER_STEPS})
    world.record.line(f"client: handed in {job}, answer {status}")


async def main(record: Record, has_trouble: bool) -> int:
    """Runs the case; returns its exit status."""
    world = World(record)
    started_ms: list[int] = []
    lost_ms: list[int] = []
    window = {"writes": 0, "lost": 0, "is_open": False}

    def note_start(executor: Executor, task: str, run: int) -> None:
        if task.startswith(JOB):
            started_ms.append(now_ms())

    try:
        await world.store.start()
        for index in range(4):
            executor = Executor(f"i-{index:04d}", world.store, record, zone="abc"[index % 3])
            executor.on_start = note_start
            executor.work_ms = lambda task, run: WORK_MS if task.startswith(JOB) else OTHER_WORK_MS
            executor.shape = lambda task: {"cpu": 8_000, "mem_mb": 1_024}
            world.executors.append(executor)
            await executor.start()
        world.configure([route("scan", "desk")], ["desk"])
        await world.start_nodes()
        await asyncio.sleep(3)

        def plan_tx(body: dict[str, Any]) -> None | float:
            if not window["is_open"]:
                return None
            window["writes"] += 1
            if not any(row["key"] == f"job/{JOB}" for row in body.get("writes", [])):
                return None
            window["lost"] += 1
            lost_ms.append(now_ms())
            record.line(f"store: a write of job/{JOB} is not answered, to be done {LATE_S} s later")
            return LATE_S

        world.store.plan_tx = plan_tx
        window["is_open"] = has_trouble
        ports = [node.front_port for node in world.nodes]
        others = [hand_in(world, ports[1 + index % 2], index) for index in range(OTHERS)]
        other_calls = asyncio.gather(*others)
        status, value = await call(ports[0], "POST", f"/scan/{JOB}", {"spec": "a", "steps": STEPS})
        record.line(f"client: handed in {JOB}, answer {status} {value}")
        status, value = await call(ports[1], "DELETE", f"/scan/{JOB}")
        acknowledged_ms = now_ms()
        record.line(f"client: cancelled {JOB}, answer {status} {value}")
        window["is_open"] = False
        await other_calls
        if not (200 <= status < 300 or status == 410):
            record.line("the cancelling was not acknowledged")
            return 2
        record.line(f"store: {window['lost']} of {window['writes']} writes were not answered")
        await asyncio.sleep(OTHER_WORK_MS / 1000 + 4)
        status, value = await call(ports[2], "GET", f"/scan/{JOB}")
        record.line(f"client: state of {JOB}: {status} {value}")
        stable_ms = max([world.store.late_ms, *lost_ms]) + CONTACT_MS
        late = [ms - acknowledged_ms for ms in started_ms if ms >= stable_ms]
        late = [ms for ms in late if ms > CANCEL_MS]
        record.line(f"starts later than {CANCEL_MS} ms after the acknowledgement: {late}")
        return 1 if late else 0
    finally:
        world.close()


run_case(main, FOLDER)
