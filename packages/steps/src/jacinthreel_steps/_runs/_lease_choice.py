"""Chooses the length of an executor's lease from the work that runs there.

An executor stops its runs when its lease expires.  A longer lease saves them if the executor is
unreachable for some seconds.  If the executor is lost, they can be restarted only after the lease
has expired.  The longest lease is chosen if the work that an expiry would destroy exceeds the time
by which it would delay the restart of the tasks.  A gang of priority 0 that has done little work
makes the lease short in any case, because its workspace's guarantee depends on its restart.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step

PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """The shortest and the longest lease that is requested for an executor that isn't draining."""

    shortest_ms: int
    longest_ms: int

    @property
    def extension_ms(self) -> int:
        """By how much the longest lease exceeds the shortest one."""
        return self.longest_ms - self.shortest_ms


@dataclass(frozen=True, slots=True)
class LeaseChoice:
    """A chosen lease and the inputs that decided it.

    `work_at_stake_ms` is the run time that an expiry would destroy, summed over all tasks that
    would have to be restarted; `wait_ms` is what the longest lease would add to their waiting time.
    """

    lease_ms: int
    work_at_stake_ms: int = 0
    wait_ms: int = 0
    has_young_urgent_gang: bool = False


def choose_lease(
    executor: Executor, jobs_by_id: Mapping[str, Job], limits: LeaseLimits, now_ms: int
) -> LeaseChoice:
    """Returns the lease to request for an executor."""
    if limits.extension_ms <= 0:
        return LeaseChoice(limits.shortest_ms)
    work_at_stake_ms = wait_ms = 0
    has_young_urgent_gang = False
    counted_gangs: set[tuple[str, int]] = set()
    for task_id, run in executor.runs_by_task.items():
        job = jobs_by_id.get(task_id.job_id)
        if job is None:
            continue
        step = job.steps[task_id.step_index]
        run_work_ms = _work_at_stake_ms(run, step, now_ms)
        if step.spec.is_gang:
            is_urgent = job.queue.priority == 0
            has_young_urgent_gang |= is_urgent and run_work_ms < limits.extension_ms
            if (task_id.job_id, task_id.step_index) in counted_gangs:
                continue
            counted_gangs.add((task_id.job_id, task_id.step_index))
        restarted_count = len(step.tasks) if step.spec.is_gang else 1
        work_at_stake_ms += restarted_count * run_work_ms
        wait_ms += restarted_count * limits.extension_ms
    is_long = work_at_stake_ms > wait_ms and not has_young_urgent_gang
    lease_ms = limits.longest_ms if is_long else limits.shortest_ms
    return LeaseChoice(lease_ms, work_at_stake_ms, wait_ms, has_young_urgent_gang)


def _work_at_stake_ms(run: Run, step: Step, now_ms: int) -> int:
    """Returns the run time of one task that would be lost if the run ended now."""
    if run.state is not RunState.RUNNING or run.start_confirmed_ms is None:
        return 0
    if step.spec.saves_progress:
        return now_ms - max(run.start_confirmed_ms, run.checkpoint_changed_ms)
    # A run recovered at a takeover was confirmed late; its progress shows the work done before.
    return max(now_ms - run.start_confirmed_ms, step.spec.estimate_ms * run.percent // PERCENT)
