"""Messages on the streams between the project's own processes.

A frame is a four-byte big-endian length and a msgpack body that holds an `Envelope`.  The first
frame of each side is a `Hello`.  `kind` names the class of the body in `MESSAGES_BY_KIND`.  A call
has a non-zero `call_id` and gets exactly one `StreamReply` with the same id; a notice has id 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from jacinthreel_common._codes import ResultCode
from jacinthreel_common._config import Config
from jacinthreel_common._jobs import JobSpec

STREAM_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Envelope:
    """The outermost layer of a frame; `version` is `STREAM_VERSION`."""

    version: int
    kind: str
    call_id: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Hello:
    """Who opened the connection; `role` is router or scheduler."""

    host_id: str
    role: str
    zone: str


@dataclass(frozen=True, slots=True)
class StreamReply:
    """The answer to a call; `body` is plain data that depends on the call."""

    code: ResultCode
    detail: str = ""
    retry_after_ms: int | None = None
    body: Any = None


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Asks a shard's owner to accept a job; the reply's body is its `JobRecord`."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Asks a shard's owner to cancel a job; the reply's body is its `JobRecord`."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ListJobs:
    """Asks for the records of jobs; `job_id` narrows to one, empty strings mean all.

    The reply's body is a list of `JobRecord`.
    """

    job_id: str = ""
    workspace: str = ""
    state: str = ""
    limit: int = 1000


@dataclass(frozen=True, slots=True)
class ShardStatus:
    """Asks a shard's owner for its summary; the reply's body is a `ShardStatusReply`."""


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker as the shard's owner sees it; `tasks` counts those that may occupy it."""

    worker_id: str
    zone: str
    rack: str
    health: str
    accelerators: int
    free_accelerators: int
    tasks: int


@dataclass(frozen=True, slots=True)
class WorkspaceStatus:
    """A workspace in accelerators: `borrowed` is the part of `used` beyond the guarantee."""

    workspace: str
    guaranteed: int
    used: int
    borrowed: int
    queued_jobs: int
    active_jobs: int


@dataclass(frozen=True, slots=True)
class ShardStatusReply:
    """What a shard's owner knows; `longest_wait_s` is the age of the oldest queued job."""

    shard: str
    epoch: int
    host_id: str
    config_version: int
    workers: list[WorkerStatus] = field(default_factory=list)
    workspaces: list[WorkspaceStatus] = field(default_factory=list)
    jobs_by_state: dict[str, int] = field(default_factory=dict)
    longest_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Asks any process what it has in force; the reply's body is a `ProcessStatusReply`."""


@dataclass(frozen=True, slots=True)
class ProcessStatusReply:
    """What a process has in force; `epoch` is not 0 where it owns the shard.

    `config_version` is 0 where the process has not seen a configuration.
    """

    host_id: str
    role: str
    zone: str
    config_version: int
    preset: str = ""
    epoch: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """Announces a configuration; the receiver applies it only if the version is higher.

    `row_version` is the version of the configuration row in the table service.
    """

    config: Config
    row_version: int


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks a peer for the configuration it has; the reply's body is a `ConfigPush` or None."""


@dataclass(frozen=True, slots=True)
class InFlight:
    """How many requests the sender has in flight at each executor, and how many wait for a slot."""

    by_executor: dict[str, int] = field(default_factory=dict)
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Announces who owns a shard; the higher epoch wins."""

    shard: str
    epoch: int
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class JobStateQuery:
    """Asks the owner for the state of a job; the reply's body is a `JobStateAnswer`."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobStateAnswer:
    """The stored state of a job as a number, or 0 where the owner doesn't know the job."""

    state: int


@dataclass(frozen=True, slots=True)
class OwnerHeartbeat:
    """Says that the sender owns the jobs under `epoch`, and how many jobs wait in each queue.

    `resigned` is set on the last one of an owner that gives the jobs up.  `lease_age_ms` is how
    long ago the owner's lease was renewed, `lease_count` which renewal that was.  `policy_version`
    is that of the policy in force there.  Before `is_loaded`, the owner knows no jobs yet.
    """

    epoch: int
    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    resigned: bool = False
    lease_age_ms: int = 0
    lease_count: int = 0
    policy_version: int = 0
    is_loaded: bool = True


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store, handed from one process to another; `value` is None if deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class IntakeNotice:
    """Tells the owner of a row of the intake that the sender has just stored."""

    row: StoredRow


@dataclass(frozen=True, slots=True)
class IntakeInsert:
    """Asks a process that reaches the store to insert a row of the intake.

    The reply's body is an `IntakeInserted`.
    """

    key: str
    value: bytes
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class IntakeInserted:
    """Whether the row is new; false where it was there before."""

    is_new: bool


@dataclass(frozen=True, slots=True)
class PolicyPull:
    """Asks a process for the operator's rows; the reply's body is a `PolicyRows`."""


@dataclass(frozen=True, slots=True)
class PolicyRows:
    """The operator's rows as the sender last read them."""

    rows: list[StoredRow]


@dataclass(frozen=True, slots=True)
class LeaseQuery:
    """Sent by the owner of `epoch` to that of `former_epoch`, which sends no orders from then on.

    The reply's body is a `LeasesLeft`.
    """

    former_epoch: int
    epoch: int


@dataclass(frozen=True, slots=True)
class LeasesLeft:
    """How long leases that the sender gave may stand.

    `others_ms` holds for executors that aren't named.
    """

    left_ms_by_executor: dict[str, int]
    others_ms: int


MESSAGES_BY_KIND: Final[dict[str, type]] = {
    kind.__name__: kind
    for kind in (
        Hello,
        StreamReply,
        SubmitJob,
        CancelJob,
        ListJobs,
        ShardStatus,
        ProcessStatus,
        ConfigPush,
        ConfigPull,
        InFlight,
        OwnerNotice,
        JobStateQuery,
        JobStateAnswer,
        OwnerHeartbeat,
        StoredRow,
        IntakeNotice,
        IntakeInsert,
        IntakeInserted,
        PolicyPull,
        PolicyRows,
        LeaseQuery,
        LeasesLeft,
    )
}
