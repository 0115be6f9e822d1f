"""Jobs wait for an executor that refuses starts; after a change of owner they aren't counted."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand-2"))

from deployment import Deployment, now_ms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KILL = os.environ.get("KILL", "1") != "0"  # KILL=0 leaves out only the end of the owner.
EXECUTORS = 12
UNHEALTHY_S = 6.5
KILL_AFTER_S = 2.2
ASK_AFTER_S = 5.4  # After the last acceptance: `visible_ms` and 2 s are 5 s.
SHAPE = {"cpu": 15_000, "mem_mb": 61_000, "gpu": 2}
JOBS = [f"00000000000000d{index}" for index in range(4)]
NODE = "front-akaki-1"


async def submit(deployment: Deployment, job: str, work_ms: int) -> bool:
    step = {"count": 1, **SHAPE, "estimate_ms": work_ms, "requires": "a"}
    body = {"spec": json.dumps({"work_ms": work_ms, **SHAPE}), "steps": [step]}
    status, _ = await deployment.client(NODE, "POST", f"/scan/{job}", body)
    deployment.note("client submits a job", job=job, status=status)
    return status == 200


async def kill_owner(deployment: Deployment) -> str:
    name = deployment.owner() or ""
    process = deployment.nodes[name]["process"]
    deployment.note(f"the process of {name}, the owner, is killed (SIGKILL)")
    process.kill()
    process.wait()
    await asyncio.sleep(0.5)
    deployment.note(f"{name} starts again")
    deployment.start_node(name)
    return name


async def run(deployment: Deployment) -> int:
    if not await deployment.begin():
        return 2
    flag = deployment.folder / "unhealthy"
    deployment.start_executor("i-1", kind="a", unhealthy=str(flag))
    for index in range(2, EXECUTORS + 1):
        deployment.start_executor(f"i-{index}", kind="b")
    await asyncio.sleep(2)
    killed = ""
    if TROUBLE:
        flag.touch()
        unhealthy_ms = now_ms()
        deployment.note("i-1 is unhealthy: it refuses starts with 503")
    for job in JOBS:
        if not await submit(deployment, job, 500):
            return 2
    accepted_ms = now_ms()
    if TROUBLE and KILL:
        await asyncio.sleep(KILL_AFTER_S)
        killed = await kill_owner(deployment)
    await asyncio.sleep(ASK_AFTER_S - (now_ms() - accepted_ms) / 1000)
    counts: list[int] = []
    for name in deployment.nodes:
        if name == killed:
            continue
        status, value = await deployment.client(name, "GET", "/scan/")
        deployment.note(f"client asks {name} for the queue", status=status, answer=value)
        if status == 200:
            counts.append(value["waiting"])
    events = deployment.read_events()
    begun = {event["task"].split(".")[0] for event in events if event["what"] == "start"}
    waiting = [job for job in JOBS if job not in begun]
    deployment.note("jobs of the queue that have not begun", count=len(waiting))
    if TROUBLE:
        await asyncio.sleep(max(0.0, UNHEALTHY_S - (now_ms() - unhealthy_ms) / 1000))
        flag.unlink()
        deployment.note("i-1 is healthy again")
    await asyncio.sleep(4)
    for job in JOBS:
        _, value = await deployment.client(NODE, "GET", f"/scan/{job}")
        deployment.note("client asks for a job", job=job, answer=value)
    if not counts or (TROUBLE and not waiting):
        return 2
    return 1 if any(2 * count < len(waiting) for count in counts) else 0


async def main() -> int:
    deployment = Deployment(CASE)
    verdict = 2
    try:
        verdict = await run(deployment)
    finally:
        text = {0: "the rule held", 1: "MIXED broken: under half of the waiting jobs are given"}
        deployment.write_record(text.get(verdict, "the case could not run"))
        deployment.close()
    return verdict


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
