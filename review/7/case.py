"""Three executors crash, one at a time, under a sound task: its job is shown as failed."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand-2"))

from deployment import Deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 12
CRASHES = 3
CRASH_AFTER_S = 3.0  # After the start of the task.
DOWN_S = 1.0
WORK_MS = 8_500
SHAPE = {"cpu": 52_000, "mem_mb": 210_000, "gpu": 8}
NODE = "front-akaki-1"
JOB = "00000000000000c1"


async def state_of(deployment: Deployment) -> str:
    status, value = await deployment.client(NODE, "GET", f"/scan/{JOB}")
    return value["state"] if status == 200 else f"status {status}"


def starts(deployment: Deployment) -> list[dict]:
    return [event for event in deployment.read_events() if event["what"] == "start"]


async def crash_under_task(deployment: Deployment, number: int) -> bool:
    async def has_started() -> bool:
        return len(starts(deployment)) >= number

    if not await deployment.wait_for(f"start {number}", has_started, 20):
        return False
    await asyncio.sleep(CRASH_AFTER_S)
    name = starts(deployment)[-1]["who"].split(" ")[0]
    deployment.note(f"the executor {name} crashes (SIGKILL)")
    process = deployment.executors[name]["process"]
    process.kill()
    process.wait()
    await asyncio.sleep(DOWN_S)
    deployment.start_executor(name)
    return True


async def run(deployment: Deployment) -> int:
    if not await deployment.begin():
        return 2
    for index in range(1, EXECUTORS + 1):
        deployment.start_executor(f"i-{index}")
    await asyncio.sleep(2)
    step = {"count": 1, **SHAPE, "estimate_ms": WORK_MS}
    body = {"spec": json.dumps({"work_ms": WORK_MS, **SHAPE}), "steps": [step]}
    status, _ = await deployment.client(NODE, "POST", f"/scan/{JOB}", body)
    deployment.note("client submits a job of one task, max_attempts is 4", status=status)
    if status != 200:
        return 2
    if TROUBLE:
        for number in range(1, CRASHES + 1):
            if not await crash_under_task(deployment, number):
                return 2
    state = ""
    for _ in range(40):
        state = await state_of(deployment)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(0.5)
    failed = [e for e in deployment.read_events() if e["what"] == "end" and e["how"] == "failed"]
    deployment.note("client asks for the job", state=state, ends_failed=len(failed))
    if state in ("failed", "cancelled") and len(failed) < 4:
        return 1
    return 0 if state == "completed" else 2


async def main() -> int:
    deployment = Deployment(CASE)
    verdict = 2
    try:
        verdict = await run(deployment)
    finally:
        text = {0: "the rule held", 1: "LOST broken: an accepted job is shown as failed"}
        deployment.write_record(text.get(verdict, "the case could not run"))
        deployment.close()
    return verdict


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
