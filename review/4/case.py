"""One job of many small tasks comes: the owner hangs after placing it, and so does each next one."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from deployment import BOUNDS, ZONES, Deployment, free_port, play  # noqa: E402

TRAFFIC_S = 24
EXECUTORS = 4
TROUBLE_S = 6
SPEC = {"ms": 1_500, "cpu": 4_000, "mem_mb": 2_000, "gpu": 1}
STEP = {"count": 2, "cpu": 4_000, "mem_mb": 2_000, "gpu": 1, "estimate_ms": 1_500}
LARGE_ID = "00000000000000f0"
TASKS = int(os.environ.get("TASKS", "5000"))
SHAPE = {"cpu": 100, "mem_mb": 64}
LARGE_SPEC = {"ms": 2_000, **SHAPE}
LARGE_STEP = {"count": TASKS, "estimate_ms": 2_000, **SHAPE}


async def case(site: Deployment, is_disturbed: bool) -> str:
    await site.start_store()
    for index in range(EXECUTORS):
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        site.start_executor(address, ZONES[index % 3], f"r{index % 2}")
    await site.start_nodes(3)
    await asyncio.sleep(2)
    site.say("traffic begins: a job of two tasks of 1.5 s each second")
    begin_s = time.monotonic()
    pending = []
    for second in range(TRAFFIC_S):
        if second == TROUBLE_S and is_disturbed:
            pending.append(asyncio.create_task(site.submit(LARGE_ID, LARGE_SPEC, [LARGE_STEP])))
        job_id = f"{0xabc0000000000000 + second:016x}"
        pending.append(asyncio.create_task(site.submit(job_id, SPEC, [STEP])))
        await asyncio.sleep(max(0, begin_s + second + 1 - time.monotonic()))
    jobs = await asyncio.gather(*pending)
    site.say("traffic ends")
    await asyncio.sleep(BOUNDS["finish_s"])
    watch_s = time.monotonic()
    await asyncio.sleep(3.5)
    running = site.jobs_running_since(watch_s)
    site.say(f"runs in the last 3.5 s, by job: {running}")
    large_cores = running.get(LARGE_ID, 0) * SHAPE["cpu"] / 1000
    small_cores = sum(count for key, count in running.items() if key != LARGE_ID) * SPEC["cpu"] / 1000
    if large_cores + small_cores > EXECUTORS * 128 / 2:
        site.say("more than half of the capacity is in use")
        return ""
    started = {event[3][:16] for event in site.events() if event[2] == "start"}
    waiting = [
        job for job in jobs if job.accepted_s is not None and not running.get(job.job_id)
    ]
    states = await asyncio.gather(*(site.state(job.job_id) for job in waiting))
    lost = []
    for job, (status, state) in zip(waiting, states, strict=True):
        if not (status == 200 and state in ("completed", "cancelled")):
            had = "was started once" if job.job_id in started else "was never started"
            lost.append(f"{job.job_id} ({status} {state}, {had})")
    for node in site.nodes:
        takeovers = len(site.log_events(node, "took_over"))
        placed = sum(event["job_id"] == LARGE_ID for event in site.log_events(node, "tasks_placed"))
        site.say(f"{node.name} took over {takeovers} times and placed the large job {placed} times")
    accepted = sum(job.accepted_s is not None for job in jobs)
    if not lost:
        return ""
    return (
        f"LOST: {len(lost)} of {accepted} accepted jobs have nothing running for 3 s, "
        f"{BOUNDS['finish_s']} s after the end of the traffic, with most capacity free: "
        + ", ".join(lost[:4])
    )


play(case, str(HERE))
