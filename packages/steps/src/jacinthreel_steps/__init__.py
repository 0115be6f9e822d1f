"""Scheduling of multi-step jobs on leased executors.

`Scheduler` takes events with the current time, and returns rows to store and orders to send.  The
package does no I/O, reads no clock and uses no random numbers.
"""

from jacinthreel_steps._context import DEFAULT_STOP_LIMIT_MS, DecisionLog, StopOrder, run_name
from jacinthreel_steps._model import (
    EndReason,
    ExecutorListing,
    ExecutorReport,
    JobRecord,
    JobSpec,
    JobState,
    Policy,
    QueueTerms,
    ReportedEnd,
    ReportedRun,
    Resources,
    RunId,
    StartOutcome,
    StepSpec,
    TaskId,
)
from jacinthreel_steps._planning._job_order import objective_ms
from jacinthreel_steps._planning._planner import MAX_REPORT_AGE_MS
from jacinthreel_steps._runs._lease_choice import LeaseChoice, LeaseLimits, choose_lease
from jacinthreel_steps._runs._progress_rows import decode_progress_state, progress_write_id
from jacinthreel_steps._scheduler import Scheduler, StoredProgress, UnstoredRow
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Tables
from jacinthreel_steps._workspaces._limits import find_step_beyond_quota
from jacinthreel_steps._workspaces._summary import WorkspaceSummary

__all__ = [
    "DEFAULT_STOP_LIMIT_MS",
    "MAX_REPORT_AGE_MS",
    "DecisionLog",
    "EndReason",
    "Executor",
    "ExecutorListing",
    "ExecutorReport",
    "Job",
    "JobRecord",
    "JobSpec",
    "JobState",
    "LeaseChoice",
    "LeaseLimits",
    "Policy",
    "QueueTerms",
    "ReportedEnd",
    "ReportedRun",
    "Resources",
    "Run",
    "RunId",
    "RunState",
    "Scheduler",
    "StartOutcome",
    "StepSpec",
    "StopOrder",
    "StoredProgress",
    "Tables",
    "TaskId",
    "UnstoredRow",
    "choose_lease",
    "WorkspaceSummary",
    "decode_progress_state",
    "find_step_beyond_quota",
    "objective_ms",
    "progress_write_id",
    "run_name",
]
