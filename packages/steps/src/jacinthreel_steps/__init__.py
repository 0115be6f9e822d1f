"""Scheduling of multi-step jobs on leased executors.

`Scheduler` takes events with the current time, and returns rows to store and orders to send.  The
package does no I/O, reads no clock and uses no random numbers.
"""

from jacinthreel_steps._admission._forecast import OPTIMISM, Forecast, PredictedStart
from jacinthreel_steps._admission._refusal import Refusal, find_refusal, retry_after_ms
from jacinthreel_steps._context import DEFAULT_STOP_LIMIT_MS, DecisionLog, StopOrder, run_name
from jacinthreel_steps._job_rules import is_record_usable, spec_problem
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
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS
from jacinthreel_steps._runs._lease_choice import LeaseChoice, LeaseLimits, choose_lease
from jacinthreel_steps._runs._progress_rows import decode_progress_state, progress_write_id
from jacinthreel_steps._scheduler import Scheduler, StoredProgress, UnstoredRow
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Tables
from jacinthreel_steps._workspaces._limits import find_step_beyond_quota
from jacinthreel_steps._workspaces._summary import WorkspaceSummary

__all__ = [
    "DEFAULT_STOP_LIMIT_MS",
    "MAX_REPORT_AGE_MS",
    "OPTIMISM",
    "DecisionLog",
    "EndReason",
    "Executor",
    "ExecutorListing",
    "ExecutorReport",
    "Job",
    "Forecast",
    "JobRecord",
    "JobSpec",
    "JobState",
    "LeaseChoice",
    "LeaseLimits",
    "Policy",
    "PredictedStart",
    "QueueTerms",
    "Refusal",
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
    "WorkspaceSummary",
    "choose_lease",
    "decode_progress_state",
    "find_step_beyond_quota",
    "find_refusal",
    "is_record_usable",
    "objective_ms",
    "progress_write_id",
    "retry_after_ms",
    "run_name",
    "spec_problem",
]
