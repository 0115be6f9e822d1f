"""An entry of the executors' table that no one can read stops the whole system."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from deployment import BOUNDS, ZONES, Deployment, free_port, play  # noqa: E402

TRAFFIC_S = 24
TROUBLE_S = 8
SPEC = {"ms": 1_500, "cpu": 4_000, "mem_mb": 2_000, "gpu": 1}
STEP = {"count": 2, "cpu": 4_000, "mem_mb": 2_000, "gpu": 1, "estimate_ms": 1_500}
NESTED = 3_000


def bad_entry() -> bytes:
    """Returns an entry in which `seq`, a number, is of another type: nested lists."""
    entry = {
        "service": "desk", "addr": "127.0.0.1:9", "zone": ZONES[0], "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "labels": ["a", "r1"],
        "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0}, "born": 1,
    }  # fmt: skip
    return (json.dumps(entry)[:-1] + ', "seq": ' + "[" * NESTED + "]" * NESTED + "}").encode()


async def repeat_entry(site: Deployment, value: bytes) -> None:
    """Writes the entry again each heartbeat interval, so that the store keeps it."""
    while True:
        await site.put("servers", "other-writer", value, "beat")
        await asyncio.sleep(1.5)


async def case(site: Deployment, is_disturbed: bool) -> str:
    await site.start_store()
    for index in range(4):
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        site.start_executor(address, ZONES[index % 3], f"r{index % 2}")
    await site.start_nodes(3)
    await asyncio.sleep(2)
    site.say("traffic begins: a job of two tasks of 1.5 s each second")
    begin_s = time.monotonic()
    pending = []
    writer: asyncio.Task[None] | None = None
    for second in range(TRAFFIC_S):
        if second == TROUBLE_S and is_disturbed:
            value = bad_entry()
            writer = asyncio.create_task(repeat_entry(site, value))
            site.say(
                f"another writer puts servers/other-writer, again each 1.5 s, "
                f"{len(value)} bytes: {value[:300]}"
            )
        job_id = f"{0xabc0000000000000 + second:016x}"
        pending.append(asyncio.create_task(site.submit(job_id, SPEC, [STEP])))
        await asyncio.sleep(max(0, begin_s + second + 1 - time.monotonic()))
    jobs = await asyncio.gather(*pending)
    site.say("traffic ends")
    await asyncio.sleep(BOUNDS["finish_s"])
    # From here on nothing is disturbed: the entry was written long ago and names no executor.
    watch_s = time.monotonic()
    await asyncio.sleep(3.5)
    running = site.jobs_running_since(watch_s)
    lost = []
    for job in jobs:
        if job.accepted_s is None or running.get(job.job_id):
            continue
        status, state = await site.state(job.job_id)
        if status == 200 and state in ("completed", "cancelled"):
            continue
        lost.append(f"{job.job_id} ({status} {state})")
    if writer is not None:
        writer.cancel()
    for node in site.nodes:
        for event in site.log_events(node, "owner_failed", "task_failed")[:2]:
            site.say(f"{node.name} logs {event['event']}: {event.get('error')}")
    site.say(f"runs in the last 3.5 s, by job: {running}")
    accepted = sum(job.accepted_s is not None for job in jobs)
    if not lost or running:
        return ""
    return (
        f"LOST: {len(lost)} of {accepted} accepted jobs have nothing running for 3 s, "
        f"{BOUNDS['finish_s']} s after the end of the traffic, with all executors free: "
        + ", ".join(lost[:4])
    )


play(case, str(HERE))
