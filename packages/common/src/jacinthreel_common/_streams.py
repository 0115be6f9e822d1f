"""Messages on the stream connections between the project's own processes.

A frame is a four-byte big-endian length followed by a msgpack-encoded `Envelope`.  The first frame
that each side sends is a `Hello`.  `kind` is the class name of the body, a key of
`MESSAGES_BY_KIND`.  A call has a non-zero `call_id` and gets exactly one `StreamReply` with the
same id; a notice has the id 0 and gets no reply.
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
    """The content of a frame: a message with its kind; `version` is `STREAM_VERSION`."""

    version: int
    kind: str
    call_id: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Hello:
    """Identifies the sender to its peer; `role` is router or scheduler."""

    host_id: str
    role: str
    zone: str


@dataclass(frozen=True, slots=True)
class StreamReply:
    """The reply to a call; the type of `body`, as plain data, depends on the call."""

    code: ResultCode
    detail: str = ""
    retry_after_ms: int | None = None
    body: Any = None


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Requests that the shard's owner accept a job; the reply's body is the job's `JobRecord`."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Requests that the shard's owner cancel a job; the reply's body is the job's `JobRecord`."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ListJobs:
    """Requests the job records that match all non-empty fields, at most `limit`.

    The reply's body is a list of `JobRecord`.
    """

    job_id: str = ""
    workspace: str = ""
    state: str = ""
    limit: int = 1000


@dataclass(frozen=True, slots=True)
class ShardStatus:
    """Requests the status of a shard from its owner; the reply's body is a `ShardStatusReply`."""


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker's state at the shard's owner; `tasks` counts the tasks that may occupy it."""

    worker_id: str
    zone: str
    rack: str
    health: str
    accelerators: int
    free_accelerators: int
    tasks: int


@dataclass(frozen=True, slots=True)
class WorkspaceStatus:
    """A workspace's use of accelerators; `borrowed` is the part of `used` beyond the guarantee."""

    workspace: str
    guaranteed: int
    used: int
    borrowed: int
    queued_jobs: int
    active_jobs: int


@dataclass(frozen=True, slots=True)
class ShardStatusReply:
    """The state of a shard at its owner; `longest_wait_s` is the age of the oldest queued job."""

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
    """Requests a process's role and configuration; the reply's body is a `ProcessStatusReply`."""


@dataclass(frozen=True, slots=True)
class ProcessStatusReply:
    """The role and the configuration of a process; `epoch` is 0 unless it owns the shard.

    `config_version` is 0 if the process has not received a configuration yet.
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
    """Requests the configuration of a peer; the reply's body is a `ConfigPush` or None."""


@dataclass(frozen=True, slots=True)
class InFlight:
    """The sender's requests in flight per executor, and its requests waiting for a slot."""

    by_executor: dict[str, int] = field(default_factory=dict)
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Announces the owner of a shard; if notices conflict, the highest epoch applies."""

    shard: str
    epoch: int
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class JobStateQuery:
    """Requests the state of a job from the owner; the reply's body is a `JobStateAnswer`."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobStateAnswer:
    """The stored state of a job as a number, or 0 if the owner has no such job."""

    state: int


@dataclass(frozen=True, slots=True)
class OwnerHeartbeat:
    """Announces periodically that the sender owns the jobs under `epoch`.

    `waiting_by_queue` is the number of waiting jobs in each queue.  `resigned` is set in the last
    heartbeat of an owner that gives up ownership.  `lease_age_ms` is the time since the owner last
    renewed its lease and `lease_count` the sequence number of that renewal.  `policy_version` is
    the version of the policy that the owner applies.  While `is_loaded` is false, the owner has not
    loaded the jobs yet and `waiting_by_queue` is not valid.  `forecast` is the plain data of the
    forecast of starts, computed `forecast_age_ms` ago, or None if no job would have to wait.
    """

    epoch: int
    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    resigned: bool = False
    lease_age_ms: int = 0
    lease_count: int = 0
    policy_version: int = 0
    is_loaded: bool = True
    forecast: Any = None
    forecast_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store, sent between processes; `value` is None if the row is deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class IntakeNotice:
    """Notifies the owner of a row that the sender has stored in the intake."""

    row: StoredRow


@dataclass(frozen=True, slots=True)
class JobAnnouncement:
    """Announces a job to the owner whose acceptance the sender is storing; it may yet fail."""

    job_id: str
    value: bytes


@dataclass(frozen=True, slots=True)
class IntakeInsert:
    """Requests that a process with access to the store insert a row into the intake.

    The reply's body is an `IntakeInserted`.
    """

    key: str
    value: bytes
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class IntakeInserted:
    """Whether the row was inserted; false if it already existed.

    `has_job` is false for a cancellation of a job that does not exist.
    """

    is_new: bool
    has_job: bool = True


@dataclass(frozen=True, slots=True)
class PolicyPull:
    """Requests the operators' configuration rows; the reply's body is a `PolicyRows`."""


@dataclass(frozen=True, slots=True)
class PolicyRows:
    """The operators' configuration rows as last read by the sender."""

    rows: list[StoredRow]


@dataclass(frozen=True, slots=True)
class LeaseQuery:
    """Requests the remaining leases from the owner of `former_epoch`, on behalf of that of `epoch`.

    The former owner sends no commands to executors after it has received the query.  The reply's
    body is a `LeasesLeft`.
    """

    former_epoch: int
    epoch: int


@dataclass(frozen=True, slots=True)
class LeasesLeft:
    """The longest remaining time of the leases at each executor, in ms.

    `others_ms` applies to all executors that are not in `left_ms_by_executor`.  The times are those
    of the leases that the sender granted, and also of all owners before it if
    `covers_earlier_owners` is set; senders of earlier versions never set it.
    """

    left_ms_by_executor: dict[str, int]
    others_ms: int
    covers_earlier_owners: bool = False


@dataclass(frozen=True, slots=True)
class OwnerAnnouncement:
    """Announces the owner row that a takeover wrote, as the store may not serve every process.

    A new owner sends it to the former one, which passes it on to its peers.  `row_version` is the
    version of the row in the store.
    """

    epoch: int
    host_id: str
    address: str
    port: int
    nonce: str
    row_version: int


@dataclass(frozen=True, slots=True)
class RelayOrders:
    """Orders of the owner of `epoch` to a relay of executor exchanges.

    `body` is encoded by the node package: these messages are frequent, and their entries are
    decoded directly into types.
    """

    epoch: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayReport:
    """What a relay reports to the owner of `epoch`; see `RelayOrders` for `body`."""

    epoch: int
    body: bytes


MESSAGES_BY_KIND: Final[dict[str, type]] = {
    message_class.__name__: message_class
    for message_class in (
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
        JobAnnouncement,
        IntakeInsert,
        IntakeInserted,
        PolicyPull,
        PolicyRows,
        LeaseQuery,
        LeasesLeft,
        OwnerAnnouncement,
        RelayOrders,
        RelayReport,
    )
}
