"""The order in which jobs are scheduled.

Jobs are ordered by priority.  Within priority 0 they are ordered by time of acceptance, because
each workspace has to get its guarantee in time.  Within a lower priority, the job that has to start
soonest to meet its latency objective goes first, by the predicted run times (`_run_times`); a job
that has not begun and can't meet it any more goes after those that can.  A job that is older than
three times its latency objective goes after all others, because its caller no longer waits for the
result.

Targets overload: capacity goes to jobs that can still be in time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from jacinthreel_steps._model import JobSpec, QueueTerms, StepSpec
from jacinthreel_steps._tables import Job

USELESS_AFTER_OBJECTIVES: Final = 3  # A result later than this many objectives is useless.


def objective_ms(spec: JobSpec, queue: QueueTerms) -> float:
    """Returns the latency objective by the submitter's estimates.

    This is the longest chain times `stretch`, plus the target latency.

    >>> from jacinthreel_steps._model import Resources, StepSpec
    >>> shape = Resources(1, 1, 1)
    >>> spec = JobSpec("", (StepSpec(1, shape, 100), StepSpec(1, shape, 50, after=(0,))))
    >>> objective_ms(spec, QueueTerms("q", "s", 0, 3, 2.0, 30))
    330.0
    """
    chain_ms = longest_chain_ms(spec, lambda step: step.estimate_ms)
    return queue.stretch * chain_ms + queue.target_latency_ms


def longest_chain_ms(spec: JobSpec, run_time_ms: Callable[[StepSpec], float]) -> float:
    """Returns the length of the critical path of the steps, by the run time of each step."""
    ends: list[float] = []
    for step in spec.steps:
        begin_ms = max((ends[index] for index in step.after if index < len(ends)), default=0.0)
        ends.append(begin_ms + run_time_ms(step))
    return max(ends, default=0.0)


def job_sort_key(job: Job, now_ms: int) -> tuple[bool, int, bool, float, str]:
    """Returns the key that sorts jobs into scheduling order."""
    priority = job.queue.priority
    is_useless = now_ms - job.accepted_ms > USELESS_AFTER_OBJECTIVES * job.objective_ms
    if priority == 0:
        return (is_useless, 0, False, job.accepted_ms, job.job_id)
    latest_start_ms = job.accepted_ms + round(job.objective_ms - job.chain_ms)
    is_late = not job.has_begun and now_ms > latest_start_ms
    return (is_useless, priority, is_late, latest_start_ms, job.job_id)
