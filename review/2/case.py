"""More than 500 runs end at one executor while the store is down: those beyond run again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from deployment import ZONES, Deployment, free_port, play  # noqa: E402

DOWN_S = 4.5
JOBS = 7
TASKS = 100  # Of each job.
APART_S = 2.5
LONGEST_MS = 24_000
LABEL = "r0"  # One executor has it: 128 cores, room for 1,280 such tasks.


def job_of(index: int) -> tuple[str, dict[str, Any], dict[str, Any]]:
    """Returns id, spec and step of a job; all jobs end at about the same time."""
    work_ms = int(LONGEST_MS - index * APART_S * 1000)
    shape = {"cpu": 100, "mem_mb": 64}
    step = {"count": TASKS, "estimate_ms": work_ms, "requires": LABEL, **shape}
    return f"{0xa0 + index:016x}", {"ms": work_ms, **shape}, step


def find_second_starts(site: Deployment) -> list[str]:
    """Returns the starts after an end `done` that is taken note of then or later.

    An end counts only if the executor's lease did not lapse between the end and the note.
    """
    events = sorted(site.events())
    lapses = [(event[0], event[1]) for event in events if event[2] == "lease-lapsed"]
    noted: dict[tuple[str, int], float] = {}
    for seconds, executor_id, kind, task, run, detail in events:
        if kind == "acked" and detail == "done":
            noted[task, run] = seconds
    done: dict[str, tuple[float, str, int]] = {}
    found: list[str] = []
    for seconds, executor_id, kind, task, run, detail in events:
        if kind == "end" and detail == "done" and task not in done:
            noted_s = noted.get((task, run))
            if noted_s is None:
                continue
            if any(seconds <= at_s <= noted_s and of == executor_id for at_s, of in lapses):
                continue
            done[task] = (seconds, executor_id, run)
        elif kind == "start" and task in done:
            ended_s, ended_at, ended_run = done[task]
            found.append(
                f"{task} started as run {run} at {executor_id}, {seconds - ended_s:.2f} s after "
                f"run {ended_run} had ended as done at {ended_at}"
            )
    return found


async def case(site: Deployment, is_disturbed: bool) -> str:
    await site.start_store()
    for index in range(3):
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        site.start_executor(address, ZONES[index], f"r{index}")
    await site.start_nodes(3)
    await asyncio.sleep(2)
    begin_s = time.monotonic()
    jobs = []
    for index in range(JOBS):
        await asyncio.sleep(max(0, begin_s + index * APART_S - time.monotonic()))
        job_id, spec, step = job_of(index)
        jobs.append(await site.submit(job_id, spec, [step]))
    await asyncio.sleep(max(0, begin_s + LONGEST_MS / 1000 - 0.3 - time.monotonic()))
    started = sum(event[2] == "start" for event in site.events())
    site.say(f"{started} of {JOBS * TASKS} tasks have been started")
    if is_disturbed:
        await site.set_store_down(True)
    await asyncio.sleep(DOWN_S)
    ended = sum(event[2] == "end" for event in site.events())
    site.say(f"{ended} of them have ended")
    if is_disturbed:
        await site.set_store_down(False)
    end_s = time.monotonic() + 45
    left = [job for job in jobs if job.accepted_s is not None]
    while left and time.monotonic() < end_s:
        left = [job for job in left if (await site.state(job.job_id))[1] != "completed"]
        await asyncio.sleep(1)
    await asyncio.sleep(2)
    counts: dict[str, int] = {}
    for event in site.events():
        if event[2] in ("start", "end", "acked"):
            name = f"{event[2]} {event[5] if event[2] != 'start' else ''}"
            counts[name] = counts.get(name, 0) + 1
    site.say(f"counts: {counts}")
    found = find_second_starts(site)
    for line in found[:20]:
        site.say(line)
    return f"TWICE: {len(found)} starts of tasks that had ended; {found[0]}" if found else ""


play(case, str(HERE))
