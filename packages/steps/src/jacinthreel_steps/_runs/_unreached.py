"""Marks in the stored progress for executors that the current owner has not reached.

A next owner has to allow for leases that this one may have granted, but it has granted none at an
executor that has not answered.  The runs of such executors are marked, and the marks are stored
with the progress, which no owner can write after the next takeover.  Before a lease is granted at
an executor that was marked, the rows without its marks have to be stored.

Targets owners that follow each other while executors are cut off: without the marks, the tasks
there wait for one more lease with each change of owner.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from jacinthreel_steps._runs._progress_rows import decode_progress
from jacinthreel_steps._tables import Executor, Tables


def mark_unreached(tables: Tables, has_answered: Callable[[str], bool]) -> None:
    """Marks the runs of earlier owners on executors that have not answered the current one."""
    for job in tables.jobs_by_id.values():
        runs = [
            run
            for run in job.live_runs()
            if run.is_recovered and not run.is_unreached and not has_answered(run.executor_id)
        ]
        for run in runs:
            run.is_unreached = True
        if runs:
            tables.bump_revision(job)


def unmark_reached(tables: Tables, executor: Executor) -> None:
    """Removes the marks of an executor that has answered, before a lease is granted there."""
    for run in executor.runs_by_task.values():
        if not run.is_unreached:
            continue
        run.is_unreached = False
        job = tables.jobs_by_id[run.run_id.task.job_id]
        tables.bump_revision(job)
        executor.unreached_revisions[job.job_id] = job.revision


def may_grant(tables: Tables, executor: Executor) -> bool:
    """Whether no stored progress tells any more that the executor was not reached."""
    for job_id, revision in list(executor.unreached_revisions.items()):
        job = tables.jobs_by_id.get(job_id)
        if job is not None and job.stored_revision < revision:
            return False
        del executor.unreached_revisions[job_id]
    return True


def find_unreached(values: Iterable[bytes], write_id_prefix: str) -> set[str]:
    """Returns the executors that an owner had not reached, by all progress rows that name them.

    `write_id_prefix` is common to all writes of that owner; marks of others tell nothing about it.
    """
    unreached: set[str] = set()
    others: set[str] = set()
    for value in values:
        row = decode_progress(value)
        if row is None:
            return set()
        is_by_owner = row.write_id.startswith(write_id_prefix)
        for index, (executor_id, _) in enumerate(row.executors):
            is_marked = is_by_owner and index in row.unreached
            (unreached if is_marked else others).add(executor_id)
    return unreached - others
