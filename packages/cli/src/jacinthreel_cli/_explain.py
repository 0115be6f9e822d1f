"""Implements `jacinthreel explain`: prints the log lines of one job in order of time.

For a job that was late, the last line says which stage cost most; for one that was never accepted,
what its caller was told.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

from jacinthreel_cli._exit import CommandError, ExitStatus
from jacinthreel_cli._job_history import JobHistory, read_histories
from jacinthreel_cli._log_lines import LogLine, read_lines
from jacinthreel_common import Fault, ResultCode

RUN_LISTS: Final = ("stopped", "runs")
"""Fields that list runs: those that were stopped, and those that were lost with an executor."""


def explain(job_id: str, files: list[Path] | None = None) -> None:
    """Prints the log lines that concern a job, in order of time, and what delayed it.

    Parameters
    ----------
    job_id
        The job id that the caller chose.
    files
        Log files of any number of processes.  Default: standard input.
    """
    job_lines = [line for line in read_lines(files) if _concerns_job(line, job_id)]
    if not job_lines:
        fault = Fault(ResultCode.JOB_NOT_FOUND, f"no log line mentions job {job_id}")
        raise CommandError(ExitStatus.REFUSED, fault)
    for line in job_lines:
        print(line.format())
    history = read_histories(job_lines).get(job_id)
    conclusion = describe(history) if history is not None else ""
    if conclusion:
        print(conclusion)


def describe(history: JobHistory) -> str:
    """Returns what delayed, refused or failed a job in one line, "" if nothing did.

    >>> describe(JobHistory("a", refusal="5001 the store does not answer"))
    'not accepted; last answer: 5001 the store does not answer'
    """
    if not history.accepted_s and history.refusal:
        return f"not accepted; last answer: {history.refusal}"
    lost = ", ".join(f"{cause} {core_s:.0f}" for cause, core_s in history.lost_by_cause.items())
    if history.state == "failed":
        return f"failed; core-seconds lost: {lost or 'none'}"
    if not history.is_late:
        return ""
    times = history.stage_times().items()
    stages = ", ".join(f"{stage.value} {time_s:.1f} s" for stage, time_s in times if time_s >= 0.05)
    late_s = history.completion_s - history.objective_s
    parts = [f"late by {late_s:.1f} s: {stages}"]
    if history.held_by:
        parts.append(f"passed by {history.passed_by} later jobs, held by {history.held_by}")
    if lost:
        parts.append(f"core-seconds lost: {lost}")
    return "; ".join(parts)


def _concerns_job(line: LogLine, job_id: str) -> bool:
    """Whether the line has the job id, a path that ends with it, or lists runs of the job."""
    if line.job_id == job_id:
        return True
    if line.text("path").endswith(job_id):
        return True
    for name in RUN_LISTS:
        runs = line.fields.get(name)
        if isinstance(runs, list) and any(str(run).startswith(f"{job_id}.") for run in runs):
            return True
    return False
