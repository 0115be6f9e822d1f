"""Observes how long tasks of a queue run, and predicts the run times of jobs (`_run_time_model`).

Run times are corrected by the speeds of the executors.  The members of a gang end together, with
its slowest member, so a gang gives one observation.  The tasks of other steps share one estimate
and its error, so they have the weight of one observation together.

Runs from a checkpoint, adopted runs, and runs on another rack than that of their data give no
observation, because they do not show the run time of the whole task.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context
from jacinthreel_steps._planning._job_order import longest_chain_ms
from jacinthreel_steps._tables import Job, Run, Step


def observe_run_time(context: Context, job: Job, step: Step, run: Run, now_ms: int) -> None:
    """Records the run time of a successful run, or of its whole gang."""
    runs = [run]
    if step.spec.is_gang:
        runs += [task.run for task in step.tasks if task.run is not None and task.run is not run]
    if not all(_shows_whole_run_time(context, step, each) for each in runs):
        return
    speed = min(context.speeds.speed(each.executor_id) for each in runs)
    weight = 1.0 if step.spec.is_gang else 1 / len(step.tasks)
    run_ms = (now_ms - run.placed_ms) * speed
    context.run_times.observe(job.queue.name, step.spec.estimate_ms, run_ms, weight)


def predict_run_times(context: Context, job: Job) -> None:
    """Predicts the longest chain of the job's steps and its latency objective."""
    queue = job.queue
    job.chain_ms = longest_chain_ms(
        job.record.spec, lambda step: context.run_times.median_ms(queue.name, step.estimate_ms)
    )
    job.objective_ms = queue.stretch * job.chain_ms + queue.target_latency_ms


def update_predictions(context: Context) -> None:
    """Applies new observations, and predicts again for the jobs of queues that have changed."""
    changed_queues = context.run_times.fit()
    if not changed_queues:
        return
    for job in context.tables.open_jobs_by_id.values():
        if job.queue.name in changed_queues:
            predict_run_times(context, job)


def _shows_whole_run_time(context: Context, step: Step, run: Run) -> bool:
    executor = context.tables.executors_by_id.get(run.executor_id)
    data_rack = step.spec.rack_near_data
    return (
        executor is not None
        and run.is_from_zero
        and (not data_rack or data_rack == executor.listing.rack)
    )
