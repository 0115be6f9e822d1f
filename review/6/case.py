"""An executor is cut off, crashes behind the cut and starts again under its id; then it gets work."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand-2"))

from deployment import HOST, Deployment, free_ports  # noqa: E402
from proxy import Proxy  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 5.5  # The site's longest cut of executors.
CRASH_AFTER_S = 4.0
START_AFTER_S = 5.1
SUBMIT_AFTER_HOLD_S = 0.75  # So the task is young when the next report is asked for.
CUT_AFTER_HOLD_S = 0.9  # The cut begins so long after the last report was asked for.
SHAPE = {"cpu": 15_000, "mem_mb": 61_000, "gpu": 1}
NODE = "front-akaki-1"


async def submit(deployment: Deployment, job: str, count: int, work_ms: int) -> bool:
    step = {"count": count, **SHAPE, "estimate_ms": work_ms, "requires": "a"}
    body = {"spec": json.dumps({"work_ms": work_ms, **SHAPE}), "steps": [step]}
    status, _ = await deployment.client(NODE, "POST", f"/scan/{job}", body)
    deployment.note("client submits a job", job=job, tasks=count, status=status)
    return status == 200


async def is_completed(deployment: Deployment, job: str) -> bool:
    status, value = await deployment.client(NODE, "GET", f"/scan/{job}")
    return status == 200 and value == {"state": "completed"}


async def wait_for_hold(proxy: Proxy, more_s: float) -> None:
    """Waits for the next request for a report, and `more_s` after it."""
    seen_s = proxy.last_hold_s
    while proxy.last_hold_s == seen_s:
        await asyncio.sleep(0.005)
    await asyncio.sleep(more_s)


async def cut_and_restart(deployment: Deployment, proxy: Proxy) -> None:
    loop = asyncio.get_running_loop()
    await wait_for_hold(proxy, CUT_AFTER_HOLD_S)
    began_s = loop.time()
    deployment.note("i-1 is cut off from the nodes, not from the store")
    proxy.cut()
    await asyncio.sleep(began_s + CRASH_AFTER_S - loop.time())
    deployment.note("i-1 crashes (SIGKILL) behind the cut")
    deployment.executors["i-1"]["process"].kill()
    deployment.executors["i-1"]["process"].wait()
    await asyncio.sleep(began_s + START_AFTER_S - loop.time())
    deployment.note("i-1 starts again under its id and at its address")
    deployment.start_executor("i-1")
    await asyncio.sleep(began_s + CUT_S - loop.time())
    deployment.note("the cut heals")
    proxy.heal()


def find_broken(events: list[dict]) -> list[str]:
    """Returns the tasks that started after an end `done` that had been acknowledged.

    An end counts only if the executor's lease did not lapse between it and its acknowledgement.
    """
    ended_done: set[tuple[str, str, int]] = set()
    noted: set[str] = set()
    broken: list[str] = []
    for event in events:
        match event["what"]:
            case "end" if event["how"] == "done":
                ended_done.add((event["who"], event["task"], event["run"]))
            case "end acknowledged" if event["how"] == "done" and not event["lapsed"]:
                if (event["who"], event["task"], event["run"]) in ended_done:
                    noted.add(event["task"])
            case "start" if event["task"] in noted:
                broken.append(f"{event['task']} run {event['run']}")
    return broken


async def run(deployment: Deployment) -> int:
    if not await deployment.begin():
        return 2
    public, inner = free_ports(2)
    proxy = Proxy(HOST, public, inner)
    await proxy.start()
    deployment.start_executor("i-1", kind="a", port=inner, public_port=public)
    for index in range(2, 9):
        deployment.start_executor(f"i-{index}", kind="b")
    await asyncio.sleep(2)
    first, long, last = "00000000000000a1", "00000000000000a2", "00000000000000a3"
    if not await submit(deployment, first, 6, 300):
        return 2
    if not await deployment.wait_for(first, lambda: is_completed(deployment, first), 10):
        return 2
    await asyncio.sleep(1.5)
    await wait_for_hold(proxy, SUBMIT_AFTER_HOLD_S)
    if not await submit(deployment, long, 1, 3_000):
        return 2
    if TROUBLE:
        await cut_and_restart(deployment, proxy)
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(2)
    if not await submit(deployment, last, 4, 500):
        return 2
    await asyncio.sleep(12)
    for job in (first, long, last):
        _, value = await deployment.client(NODE, "GET", f"/scan/{job}")
        deployment.note("client asks for a job", job=job, answer=value)
    broken = find_broken(deployment.read_events())
    for each in broken:
        deployment.note("started again after an acknowledged end done", task=each)
    return 1 if broken else 0


async def main() -> int:
    deployment = Deployment(CASE)
    verdict = 2
    try:
        verdict = await run(deployment)
    finally:
        text = {0: "the rule held", 1: "TWICE broken: starts after acknowledged ends `done`"}
        deployment.write_record(text.get(verdict, "the case could not run"))
        deployment.close()
    return verdict


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
