"""The runs that may be preempted on each executor, with the cost of stopping them.

The victims of an executor are computed when they are first asked for in a pass, and again after
`forget`, which has to be called when the runs of an executor change.  The members of a gang form
one victim, because none of them can continue alone: stopping it frees capacity on every executor
that the gang uses.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources, sum_resources, weighted_cores
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables
from jacinthreel_steps._workspaces._shares import Shares

CHECKPOINTED_LOSS_MS: Final = 1_000  # Maximum work lost if progress is saved; added for every run.
PRIORITY_0_COST_FACTOR: Final = 20.0  # Cost multiplier for victims of priority 0.
STOP_MARGIN_MS: Final = 400  # A run that takes this much longer to stop ignores the order.


@dataclass(slots=True, eq=False)
class Victim:
    """Runs that are stopped together, and the cost of stopping them; compared by identity.

    `urgent_workspace` is the workspace of a victim of priority 0, None for lower priorities.
    `is_entitled` is set if the policy has weights and the workspace is not over its entitlement; at
    equal cost, other victims are preferred.
    """

    runs: list[Run]
    cost: float
    urgent_workspace: str | None
    is_entitled: bool = False

    @property
    def resources(self) -> Resources:
        """What the runs use on all executors."""
        total = NO_RESOURCES
        for run in self.runs:
            total = total.plus(run.shape)
        return total

    @property
    def accelerators(self) -> int:
        """The accelerators that the runs use."""
        return sum(run.shape.accelerators for run in self.runs)


class VictimIndex:
    """The victims of all executors during one scheduling pass."""

    def __init__(
        self, tables: Tables, stop_limit_ms: int, now_ms: int, shares: Shares | None = None
    ) -> None:
        self._shares = shares
        self._tables = tables
        self._stop_limit_ms = stop_limit_ms
        self._now_ms = now_ms
        self._victims_by_executor: dict[str, list[Victim]] = {}
        self._victim_by_gang: dict[tuple[str, int], Victim] = {}

    def victims_on(self, executor: Executor) -> list[Victim]:
        """Returns the executor's victims of all priorities, the cheapest first."""
        victims = self._victims_by_executor.get(executor.executor_id)
        if victims is None:
            victims = self._find_victims(executor)
            self._victims_by_executor[executor.executor_id] = victims
        return victims

    def forget(self, executor_id: str) -> None:
        """Discards what is known of an executor, because its runs have changed."""
        for victim in self._victims_by_executor.pop(executor_id, ()):
            task_id = victim.runs[0].run_id.task
            self._victim_by_gang.pop((task_id.job_id, task_id.step_index), None)
            for run in victim.runs:
                self._victims_by_executor.pop(run.executor_id, None)

    def capacity_if_cleared(self, executor: Executor) -> Resources:
        """Returns the capacity that is free once all runs of lower priority have been stopped."""
        freed = sum_resources(
            capacity_freed_on(victim, executor.executor_id)
            for victim in self.victims_on(executor)
            if victim.urgent_workspace is None
        )
        return self.capacity_soon(executor).plus(freed)

    def capacity_soon(self, executor: Executor) -> Resources:
        """Returns the capacity that is free or held by runs that are about to stop."""
        freed = sum_resources(
            run.shape for run in executor.runs_by_task.values() if self.is_about_to_stop(run)
        )
        return executor.free_resources.plus(freed)

    def is_about_to_stop(self, run: Run) -> bool:
        """Whether a run is stopping and is expected to end soon.

        It is not once the stop takes too long: its executor may ignore the orders.
        """
        if run.state is not RunState.STOPPING or run.stopping_since_ms is None:
            return False
        return self._now_ms - run.stopping_since_ms <= self._stop_limit_ms + STOP_MARGIN_MS

    def _find_victims(self, executor: Executor) -> list[Victim]:
        victim_by_id: dict[int, Victim] = {}  # Runs of a gang share one victim.
        for run in executor.runs_by_task.values():
            job = self._tables.jobs_by_id.get(run.run_id.task.job_id)
            if job is None or run.state is RunState.STOPPING:
                continue
            victim = self._make_victim(job, run)
            victim_by_id[id(victim)] = victim
        victims = list(victim_by_id.values())
        victims.sort(key=lambda victim: (victim.cost, victim.is_entitled))
        return victims

    def _make_victim(self, job: Job, run: Run) -> Victim:
        urgent_workspace = job.record.workspace if job.queue.priority == 0 else None
        is_entitled = self._shares is not None and not self._shares.is_over_entitlement(
            job.record.workspace
        )
        step = job.steps[run.run_id.task.step_index]
        if not step.spec.is_gang:
            cost = _preemption_cost(job, step, [run], self._now_ms)
            return Victim([run], cost, urgent_workspace, is_entitled)
        key = (job.job_id, run.run_id.task.step_index)
        victim = self._victim_by_gang.get(key)
        if victim is None:
            runs = [task.run for task in step.tasks if task.run is not None]
            runs = [member for member in runs if member.state is not RunState.STOPPING]
            cost = _preemption_cost(job, step, runs, self._now_ms)
            victim = Victim(runs, cost, urgent_workspace, is_entitled)
            self._victim_by_gang[key] = victim
        return victim


def capacity_freed_on(victim: Victim, executor_id: str) -> Resources:
    """Returns the capacity that stopping the victim frees on one executor."""
    return sum_resources(run.shape for run in victim.runs if run.executor_id == executor_id)


def _preemption_cost(job: Job, step: Step, runs: list[Run], now_ms: int) -> float:
    """Returns the core-seconds lost if the runs are stopped, weighted by the job's priority."""
    lost = 0.0
    for run in runs:
        ran_ms = max(0, now_ms - run.placed_ms)
        if step.spec.saves_progress:
            ran_ms = min(ran_ms, CHECKPOINTED_LOSS_MS)
        lost += weighted_cores(run.shape) * (CHECKPOINTED_LOSS_MS + ran_ms) / 1000
    priority = job.queue.priority
    return lost * PRIORITY_0_COST_FACTOR if priority == 0 else lost / priority
