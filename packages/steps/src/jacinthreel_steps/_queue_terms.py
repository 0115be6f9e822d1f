"""The terms of its queue that a job is scheduled by.

An accepted job follows its queue: a configuration that sends the queue to another service, or
changes its priority, limit of attempts or objective, applies to what has not been decided yet.
Runs that are placed go on where they are; tasks that are placed later, and claims, go to the
service in force.  A failure counts against the limit that is in force when it is counted, so that
a lower limit fails no job without a further failure.

The same queue is described by the accepted record, the stored progress and the active policy.  The
one from the highest version of the configuration counts, so that a node that has seen a newer
version than the owner, or a next owner that has not seen any, doesn't take a job back to older
terms.  A queue that the policy doesn't name keeps its last terms.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._run_times import predict_run_times
from jacinthreel_steps._model import Policy, QueueTerms
from jacinthreel_steps._tables import Job


def apply_policy_to_jobs(context: Context, policy: Policy) -> None:
    """Applies the queues of a new policy to all open jobs, and logs each queue that changed them.

    Changed terms are stored with the jobs' progress: the next owner may find the queue removed.
    """
    count_by_queue: dict[str, int] = {}
    for job in context.tables.open_jobs_by_id.values():
        if not adopt_terms(job, policy):
            continue
        predict_run_times(context, job)
        name = job.queue.name
        count_by_queue[name] = count_by_queue.get(name, 0) + 1
        if job.announced_ms is None:
            context.tables.bump_revision(job)
    for name, count in count_by_queue.items():
        terms = policy.queues_by_name[name]
        fields = {
            "queue": name,
            "jobs": count,
            "service": terms.service,
            "priority": terms.priority,
            "max_attempts": terms.max_attempts,
            "policy_version": policy.version,
        }
        context.log("queue_terms_changed", fields)


def adopt_terms(job: Job, policy: Policy) -> bool:
    """Applies a policy that is as new as the job's terms; returns whether these have changed."""
    terms = policy.queues_by_name.get(job.queue.name)
    if terms is None or policy.version < job.queue_version:
        return False
    return _replace_terms(job, terms, policy.version)


def restore_terms(job: Job, terms: QueueTerms, version: int) -> None:
    """Applies terms that an earlier owner stored, unless the accepted ones are newer."""
    if terms.name == job.queue.name and version >= job.queue_version:
        _replace_terms(job, terms, version)


def _replace_terms(job: Job, terms: QueueTerms, version: int) -> bool:
    has_changed = job.queue != terms
    job.queue = terms
    job.queue_version = version
    return has_changed
