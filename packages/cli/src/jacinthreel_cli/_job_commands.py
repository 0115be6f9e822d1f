"""The `job` commands: submit, list, show, cancel, wait."""

from __future__ import annotations

import time
import uuid
from typing import Final
from urllib.parse import quote, urlencode

import cyclopts
from returns.result import Failure

from jacinthreel_cli._exit import CommandError, ExitStatus, usage_error
from jacinthreel_cli._routers import ApiCall
from jacinthreel_cli._session import Common, Progress, Session
from jacinthreel_cli._views import render_job, render_jobs
from jacinthreel_common import (
    ENDED_STATES,
    Adjacency,
    Fault,
    JobList,
    JobRecord,
    JobSpec,
    JobState,
    ResultCode,
    convert,
    encode_json,
    to_plain,
)

WAIT_POLL_S: Final = 0.5
DEFAULT_WAIT_S: Final = 3_600.0

job_app = cyclopts.App(name="job", help="Jobs: gangs of tasks that run together or not at all.")


@job_app.command
def submit(
    *,
    workspace: str,
    tasks: int,
    accelerators: int,
    cores: int = 1,
    memory_gb: int = 1,
    adjacency: Adjacency = Adjacency.ANY,
    run_s: int = 3_600,
    urgent: bool = False,
    priority: int = 5,
    checkpointable: bool = False,
    command: str = "",
    job_id: str = "",
    common: Common | None = None,
) -> None:
    """Submits a job; an accepted job is stored durably.

    Parameters
    ----------
    workspace
        The workspace that the job runs in.
    tasks
        Number of tasks.
    accelerators
        Number of accelerators for each task.
    cores
        Number of CPU cores for each task.
    memory_gb
        Memory for each task, in gigabytes.
    adjacency
        Level within which all tasks must be placed: any, zone, rack or worker.
    run_s
        Expected run time, in seconds.
    urgent
        Start the job ahead of others, within a second if capacity can be freed.
    priority
        From 0 to 9; jobs of higher priority start first within the workspace.
    checkpointable
        Whether the tasks can resume from a checkpoint.
    command
        Command that the worker runs for each task.
    job_id
        Id of the job; submitting again with the same id is safe.  Default: a new id.
    common
        Router addresses and output format.
    """
    session = Session(common)
    spec = JobSpec(
        job_id=job_id or f"job-{uuid.uuid4().hex[:16]}",
        workspace=workspace,
        tasks=tasks,
        accelerators_per_task=accelerators,
        cores_per_task=cores,
        memory_gb_per_task=memory_gb,
        adjacency=adjacency,
        declared_run_s=run_s,
        urgent=urgent,
        priority=priority,
        checkpointable=checkpointable,
        command=command,
    )
    checked = convert(JobSpec, to_plain(spec))
    if isinstance(checked, Failure):
        raise usage_error(checked.failure().code, checked.failure().detail)
    session.print_notice(f"job id: {spec.job_id}")
    call = ApiCall("POST", "/v1/jobs", encode_json(spec))
    session.show(session.fetch(JobRecord, call), render_job)


@job_app.command(name="list")
def list_jobs(
    *,
    workspace: str = "",
    state: JobState | None = None,
    limit: int = 1_000,
    common: Common | None = None,
) -> None:
    """Lists jobs.

    Parameters
    ----------
    workspace
        List only jobs of this workspace.
    state
        List only jobs in this state.
    limit
        Maximum number of jobs.
    common
        Router addresses and output format.
    """
    session = Session(common)
    query = urlencode({"workspace": workspace, "state": state or "", "limit": limit})
    session.show(session.get(JobList, f"/v1/jobs?{query}"), render_jobs)


@job_app.command
def show(job_id: str, *, common: Common | None = None) -> None:
    """Shows a job."""
    session = Session(common)
    session.show(session.get(JobRecord, _job_path(job_id)), render_job)


@job_app.command
def cancel(job_id: str, *, common: Common | None = None) -> None:
    """Cancels a job."""
    session = Session(common)
    session.show(session.fetch(JobRecord, ApiCall("DELETE", _job_path(job_id))), render_job)


@job_app.command
def wait(job_id: str, *, timeout_s: float = DEFAULT_WAIT_S, common: Common | None = None) -> None:
    """Waits until a job has ended; the exit status is 0 only if it finished successfully.

    Parameters
    ----------
    job_id
        Id of the job.
    timeout_s
        Timeout in seconds.
    common
        Router addresses and output format.
    """
    session = Session(common)
    job = _wait_until_ended(session, job_id, timeout_s)
    session.show(job, render_job)
    if job.state is not JobState.FINISHED:
        code = job.result if job.result is not ResultCode.OK else ResultCode.JOB_ALREADY_ENDED
        detail = f"job {job_id} is {job.state}: {job.detail}"
        raise CommandError(ExitStatus.REFUSED, Fault(code, detail))


def _wait_until_ended(session: Session, job_id: str, timeout_s: float) -> JobRecord:
    deadline_s = time.monotonic() + timeout_s
    last_status = "state not read yet"
    with Progress() as progress:
        while True:
            try:
                job = session.get(JobRecord, _job_path(job_id))
                last_status = f"{job.state}, attempt {job.attempt}, {job.run_s:.0f} s checkpointed"
                if job.state in ENDED_STATES:
                    return job
            except CommandError as error:
                if error.fault.code is ResultCode.JOB_NOT_FOUND:
                    raise
                last_status = error.stderr_lines()[0]
            progress.update(f"job {job_id}: {last_status}")
            if time.monotonic() >= deadline_s:
                break
            time.sleep(WAIT_POLL_S)
    detail = f"job {job_id} has not ended after {timeout_s:g} s: {last_status}"
    raise CommandError(ExitStatus.UNKNOWN, Fault(ResultCode.PEER_TIMEOUT, detail))


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
