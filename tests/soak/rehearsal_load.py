"""The jobs of a rehearsal, all drawn from its seed."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

HOST_CAPACITY: Final = {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}
REFERENCE_EXECUTORS: Final = 176
WORKSPACES: Final = 10
FILL_S: Final = 1.0  # The service is filled in this time.
TRAFFIC_START_S: Final = 2.0
WIDTH_SPREAD: Final = 0.8  # Standard deviation of the logarithm.
WORK_SPREAD: Final = 0.3
MIN_WORK_MS: Final = 300
PASSING_USE: Final = 0.7
PASSING_WORK_MS: Final = 1_000
WIDE_QUARTERS: Final = 3  # Quarters of the hosts that the wide gang needs.
RESERVED_AFTER_MS: Final = 8_000
RESERVATION_CHECK_MS: Final = 250
SHARED_FOR_MS: Final = 10_000  # Urgent or overdue jobs may use reserved room for this time.
PLACEMENT_MS: Final = 1_000  # To plan, store, order and start.


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """What is submitted to a queue; widths are those of `REFERENCE_EXECUTORS`.

    `filled_jobs` are submitted before the traffic.  `work_ms` is the mean run time of a task, and
    `accelerators` the choices for a task.
    """

    name: str
    priority: int
    stretch: float
    jobs_per_s: float
    filled_jobs: int
    mean_tasks: float
    max_tasks: int
    cpu: int
    mem_mb: int
    accelerators: tuple[int, ...]
    is_gang: bool
    work_ms: int


QUEUES: Final = (
    QueueLoad("quote", 0, 1.5, 4.47, 0, 5.4, 32, 15_000, 22_000, (1, 2, 4, 8, 8), True, 2_500),
    QueueLoad("profile", 1, 3.0, 1.05, 14, 13, 78, 52_000, 140_000, (1, 2, 4, 8, 8), True, 6_800),
    QueueLoad("batch", 2, 3.0, 1.03, 18, 39, 230, 11_000, 23_000, (1,), False, 6_100),
)


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job of one step, submitted `at_s` after the start; each task runs for `work_ms`."""

    index: int
    queue: str
    workspace: int
    at_s: float
    tasks: int
    shape: dict[str, int]
    is_gang: bool
    work_ms: int
    estimate_ms: int

    def step(self) -> dict[str, Any]:
        """Returns the step as a caller submits it."""
        return {
            "count": self.tasks,
            **self.shape,
            "gang": self.is_gang,
            "estimate_ms": self.estimate_ms,
        }


def draw_load(seed: int, executors: int, traffic_s: float, load: float) -> list[DrawnJob]:
    """Returns the jobs of all queues; `load` multiplies the rates of the traffic."""
    rng = random.Random(seed)
    jobs: list[DrawnJob] = []
    for queue in QUEUES:
        times_s = [rng.uniform(0, FILL_S) for _ in range(queue.filled_jobs)]
        for _ in range(round(queue.jobs_per_s * load * traffic_s)):
            times_s.append(TRAFFIC_START_S + rng.uniform(0, traffic_s))
        for at_s in times_s:
            jobs.append(_draw_job(f"{seed} {len(jobs)}", len(jobs), queue, at_s, executors))
    return jobs


def draw_passing_load(seed: int, executors: int, traffic_s: float) -> list[DrawnJob]:
    """Returns a wide gang in a stream of later, narrow gangs of its queue; a task fills a host.

    The stream is even and keeps `PASSING_USE` of the hosts in use, so that the hosts that the wide
    gang needs are never free at the same time unless something keeps them free for it.
    """
    rng = random.Random(seed)
    queue = next(queue for queue in QUEUES if queue.is_gang and queue.priority)
    accelerators = HOST_CAPACITY["gpu"]
    shape = {"cpu": queue.cpu, "mem_mb": queue.mem_mb, "gpu": accelerators}
    wide_tasks, work_ms = executors * WIDE_QUARTERS // 4, PASSING_WORK_MS
    jobs = [DrawnJob(0, queue.name, 0, FILL_S, wide_tasks, shape, True, work_ms, work_ms)]
    interval_s = 1.5 * work_ms / 1_000 / (PASSING_USE * executors)  # 1.5 tasks are the mean.
    for index in range(1, round(traffic_s / interval_s)):
        at_s = (index + rng.uniform(-0.5, 0.5)) * interval_s
        workspace, tasks = rng.randrange(WORKSPACES), rng.randint(1, 2)
        task_ms = round(work_ms * rng.uniform(0.8, 1.2))
        jobs.append(
            DrawnJob(index, queue.name, workspace, at_s, tasks, shape, True, task_ms, work_ms)
        )
    return jobs


def first_run_bound_ms(jobs: Sequence[DrawnJob], earlier_waits: int) -> int:
    """Returns the longest allowed wait of an accepted job for its first run, without faults.

    It is the bound of docs/design/reservations.md.  It depends on how long the tasks run and on
    `earlier_waits`, the earlier accepted jobs for which room may be reserved first, not on later
    jobs.
    """
    run_ms = longest_work_ms(jobs)
    reserved_ms = RESERVED_AFTER_MS + RESERVATION_CHECK_MS + earlier_waits * run_ms
    return reserved_ms + SHARED_FOR_MS + run_ms + PLACEMENT_MS


def longest_work_ms(jobs: Sequence[DrawnJob]) -> int:
    """Returns the longest run time of a task."""
    return max(job.work_ms for job in jobs)


def _draw_job(seed: str, index: int, queue: QueueLoad, at_s: float, executors: int) -> DrawnJob:
    rng = random.Random(seed)
    tasks = _draw_width(rng, queue, executors / REFERENCE_EXECUTORS)
    accelerators = rng.choice(queue.accelerators)
    work_ms = max(MIN_WORK_MS, round(queue.work_ms * rng.lognormvariate(0, WORK_SPREAD)))
    return DrawnJob(
        index,
        queue.name,
        min(WORKSPACES - 1, int(rng.expovariate(0.5))),  # A few workspaces submit most jobs.
        at_s,
        tasks,
        {"cpu": queue.cpu, "mem_mb": queue.mem_mb, "gpu": accelerators},
        queue.is_gang,
        work_ms,
        max(100, round(work_ms * rng.uniform(0.6, 1.4))),
    )


def _draw_width(rng: random.Random, queue: QueueLoad, share: float) -> int:
    """Returns a number of tasks; widths shrink with the fleet, rates stay."""
    mean = max(1.0, queue.mean_tasks * share)
    top = max(1, round(queue.max_tasks * share))
    drawn = rng.lognormvariate(math.log(mean) - WIDTH_SPREAD**2 / 2, WIDTH_SPREAD)
    return max(1, min(top, int(drawn)))
