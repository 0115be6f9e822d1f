"""Executors crash under a sound gang, each under another member: the job is shown as failed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from deployment import ZONES, Deployment, free_port, play  # noqa: E402

EXECUTORS = 7
CRASHES = 4
DOWN_S = 4.5
RUN_FOR_S = 1.5
PLAY_S = 90
JOB = "00000000000000c1"
MEMBERS = 4
SHAPE = {"cpu": 16_000, "mem_mb": 8_000, "gpu": 1}
SPEC = {"ms": 15_000, "gang": MEMBERS, **SHAPE}
STEP = {"count": MEMBERS, "gang": True, "anti_affinity": 1, "estimate_ms": 15_000, **SHAPE}
OTHER_SPEC = {"ms": 6_000, "cpu": 16_000, "mem_mb": 8_000, "gpu": 1}
OTHER_STEP = {"count": 3, "cpu": 16_000, "mem_mb": 8_000, "gpu": 1, "estimate_ms": 6_000}


def find_member(site: Deployment, member: int, dead: set[str]) -> tuple[float, str] | None:
    """Returns since when and at which living executor a member works, None if the gang doesn't."""
    found: tuple[float, str] | None = None
    for seconds, executor_id, kind, task, _, _ in sorted(site.events()):
        if task != f"{JOB}.0.0.{member}":
            continue
        if kind == "whole" and executor_id not in dead:
            found = (seconds, executor_id)
        elif kind == "end":
            found = None
    return found


async def submit_others(site: Deployment, stop: asyncio.Event) -> None:
    number = 0
    while not stop.is_set():
        await site.submit(f"{0xdef0000000000000 + number:016x}", OTHER_SPEC, [OTHER_STEP])
        number += 1
        await asyncio.sleep(3)


async def case(site: Deployment, is_disturbed: bool) -> str:
    await site.start_store()
    lives = {}
    for index in range(EXECUTORS):
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        process = site.start_executor(address, ZONES[index % 3], f"r{index % 2}")
        lives[f"i-{site.life_count:08x}"] = (address, process)
    await site.start_nodes(3)
    await asyncio.sleep(2)
    stop = asyncio.Event()
    others = asyncio.create_task(submit_others(site, stop))
    await asyncio.sleep(1)
    job = await site.submit(JOB, SPEC, [STEP])
    if job.accepted_s is None:
        return ""
    crashes = 0
    dead: set[str] = set()
    end_s = time.monotonic() + PLAY_S
    state = ""
    while time.monotonic() < end_s:
        await asyncio.sleep(0.25)
        run = find_member(site, crashes % MEMBERS, dead)
        if not is_disturbed or crashes == CRASHES or run is None:
            _, state = await site.state(JOB)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.75)
            continue
        since_s, executor_id = run
        if time.monotonic() - since_s < RUN_FOR_S:
            continue
        address, process = lives[executor_id]
        site.crash_executor(executor_id, process)
        crashes += 1
        dead.add(executor_id)
        site.say(
            f"executor {executor_id} crashes, the {crashes}. that does; "
            f"it ran member {crashes - 1} of the gang"
        )
        await asyncio.sleep(DOWN_S)
        process = site.start_executor(address, ZONES[0], "r0")
        lives[f"i-{site.life_count:08x}"] = (address, process)
    stop.set()
    await others
    failed = sum(
        event[2] == "end" and event[5] == "failed" and event[3].startswith(JOB)
        for event in site.events()
    )
    for node in site.nodes:
        for event in site.log_events(node, "job_given_up"):
            site.say(f"{node.name} logs {event}")
    site.say(f"the job is {state!r} after {crashes} crashes; {failed} of its runs ended as failed")
    if state == "failed" and failed < site.max_attempts:
        return (
            f"LOST: {JOB} is shown as failed after {crashes} executors had crashed, each under another "
            f"member of its gang; "
            f"{failed} of its runs ended as failed, max_attempts is {site.max_attempts}"
        )
    return ""


play(case, str(HERE))
