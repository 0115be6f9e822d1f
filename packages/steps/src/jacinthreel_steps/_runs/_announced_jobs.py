"""Jobs that are announced to the owner while the commit that accepts them is under way.

Their tasks are placed, and the placement is stored, at the same time as the acceptance; the starts
are ordered once both are stored.  An announcement that is not followed by the acceptance within
`ANNOUNCEMENT_KEEP_MS` is withdrawn: its placements are released, and none are made.

Targets a slow store, where each commit takes a large part of a caller's latency objective.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._run_times import predict_run_times
from jacinthreel_steps._model import JobRecord, StopCause, StopReason
from jacinthreel_steps._queue_terms import restore_terms
from jacinthreel_steps._runs._lifecycle import stop_run
from jacinthreel_steps._tables import Job, make_job

WITHDRAWN = StopReason(StopCause.WITHDRAWN, "not accepted")


def is_same_submission(job: Job, record: JobRecord) -> bool:
    """Whether an accepted record is what was announced.

    The time of its acceptance may differ, and the terms of its queue: nodes may have accepted it
    by different versions of the configuration.
    """
    announced = job.record
    return (
        announced.spec == record.spec
        and announced.queue.name == record.queue.name
        and announced.workspace == record.workspace
    )


def accept_announced(context: Context, job: Job, record: JobRecord, accepted_ms: int) -> None:
    """Records that an announced job is accepted; its stored placements may be started."""
    context.arrivals.remove(job)
    job.record = record
    restore_terms(job, record.queue, record.policy_version)
    predict_run_times(context, job)
    job.accepted_ms = accepted_ms
    job.announced_ms = None
    context.arrivals.record(job)


def replace_announced(
    context: Context, job: Job, record: JobRecord, accepted_ms: int, now_ms: int
) -> Job:
    """Returns a new job in place of an announced one that differs from what was accepted.

    The new job continues the revisions of the announced one, whose progress may be stored.
    """
    release_placements(context, job, now_ms)
    context.arrivals.remove(job)
    new_job = make_job(record, accepted_ms)
    new_job.revision = job.revision
    new_job.stored_revision = job.stored_revision
    new_job.stored_version = job.stored_version
    return new_job


def withdraw_expired(context: Context, now_ms: int) -> None:
    """Releases the placements of announced jobs that were not accepted in time."""
    for job in list(context.tables.open_jobs_by_id.values()):
        if not job.may_be_planned(now_ms) and job.live_runs():
            context.log("announcement_withdrawn", {"job_id": job.job_id})
            release_placements(context, job, now_ms)


def release_placements(context: Context, job: Job, now_ms: int) -> None:
    """Releases the placements of a job that was not accepted; none of its runs was started."""
    for run in job.live_runs():
        stop_run(context, run, WITHDRAWN, now_ms)
