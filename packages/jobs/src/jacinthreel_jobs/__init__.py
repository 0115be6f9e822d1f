"""The scheduling core for jobs: gang starts and stops, workspace guarantees and recovery.

The core of a shard takes events and returns effects; it does no I/O.
"""

from jacinthreel_jobs._effects import (
    Effect,
    LogDecision,
    ReadRows,
    Reply,
    SendBatch,
    StepDown,
    Write,
    WritePriority,
)
from jacinthreel_jobs._estimates import RunTimeEstimator
from jacinthreel_jobs._events import (
    ConfigApplied,
    Event,
    HostsListed,
    JobCancelled,
    JobSubmitted,
    LeaseRenewed,
    OwnershipGained,
    OwnershipLost,
    RowsRead,
    Tick,
    WorkerReplied,
    WorkerUnreachable,
    WriteDone,
)
from jacinthreel_jobs._fit import check_job_fits
from jacinthreel_jobs._guarantees import check_guarantees
from jacinthreel_jobs._planner import GuaranteePlanner
from jacinthreel_jobs._planning import (
    Decision,
    Place,
    Planner,
    PlanTrigger,
    Preempt,
    PreemptMode,
    Promote,
)
from jacinthreel_jobs._shard import ShardCore
from jacinthreel_jobs._tables import (
    HeldResources,
    JobEntry,
    Tables,
    TaskKey,
    WorkerEntry,
    WorkerHealth,
)

__all__ = [
    "ConfigApplied",
    "Decision",
    "Effect",
    "Event",
    "GuaranteePlanner",
    "HeldResources",
    "HostsListed",
    "JobCancelled",
    "JobEntry",
    "JobSubmitted",
    "LeaseRenewed",
    "LogDecision",
    "OwnershipGained",
    "OwnershipLost",
    "Place",
    "PlanTrigger",
    "Planner",
    "Preempt",
    "PreemptMode",
    "Promote",
    "ReadRows",
    "Reply",
    "RowsRead",
    "RunTimeEstimator",
    "SendBatch",
    "ShardCore",
    "StepDown",
    "Tables",
    "TaskKey",
    "Tick",
    "WorkerEntry",
    "WorkerHealth",
    "WorkerReplied",
    "WorkerUnreachable",
    "Write",
    "WriteDone",
    "WritePriority",
    "check_guarantees",
    "check_job_fits",
]
