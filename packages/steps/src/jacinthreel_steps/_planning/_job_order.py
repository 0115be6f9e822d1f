"""The order in which jobs are scheduled.

Jobs are ordered by priority.  Within priority 0 they are ordered by time of acceptance, because
each workspace has to get its guarantee in time.  Within a lower priority, the job that has to start
soonest to meet its latency objective goes first; a job that has not begun and can't meet it any
more goes after those that can.  A job that is older than three times its latency objective goes
after all others, because its caller no longer waits for the result.

Targets overload: capacity goes to jobs that can still be in time.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._model import JobSpec, QueueTerms
from jacinthreel_steps._tables import Job

USELESS_AFTER_OBJECTIVES: Final = 3  # A result later than this many objectives is useless.


def objective_ms(spec: JobSpec, queue: QueueTerms) -> float:
    """Returns the latency objective: the longest chain times `stretch`, plus the target latency.

    >>> from jacinthreel_steps._model import Resources, StepSpec
    >>> shape = Resources(1, 1, 1)
    >>> spec = JobSpec("", (StepSpec(1, shape, 100), StepSpec(1, shape, 50, after=(0,))))
    >>> objective_ms(spec, QueueTerms("q", "s", 0, 3, 2.0, 30))
    330.0
    """
    return queue.stretch * longest_chain_ms(spec) + queue.target_latency_ms


def longest_chain_ms(spec: JobSpec) -> int:
    """Returns the length of the critical path of the steps, by the submitter's estimates."""
    ends: list[int] = []
    for step in spec.steps:
        begin_ms = max((ends[index] for index in step.after if index < len(ends)), default=0)
        ends.append(begin_ms + step.estimate_ms)
    return max(ends, default=0)


def job_sort_key(job: Job, now_ms: int) -> tuple[bool, int, bool, int, str]:
    """Returns the key that sorts jobs into scheduling order."""
    queue = job.record.queue
    spec = job.record.spec
    objective = objective_ms(spec, queue)
    is_useless = now_ms - job.accepted_ms > USELESS_AFTER_OBJECTIVES * objective
    if queue.priority == 0:
        return (is_useless, 0, False, job.accepted_ms, job.job_id)
    latest_start_ms = job.accepted_ms + round(objective) - longest_chain_ms(spec)
    is_late = not job.has_begun and now_ms > latest_start_ms
    return (is_useless, queue.priority, is_late, latest_start_ms, job.job_id)
