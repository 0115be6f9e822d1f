"""Numbered result codes, shared by code, logs, replies and documentation.

Every result that a process reports to another process or to a user carries a `ResultCode`.  The
thousands digit denotes the subsystem: 1 input, 2 requests, 3 jobs, 4 configuration, 5 platform
services, 6 workers, 7 hosts.  `RESULT_TABLE` adds the HTTP status, the meaning and the advice;
docs/RESULT-CODES.md is generated from it.  Codes are never renumbered or reused.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final


class ResultCode(IntEnum):
    """The result of an operation."""

    OK = 0
    MALFORMED_BODY = 1001
    UNKNOWN_FIELD = 1002
    WRONG_TYPE = 1003
    OUT_OF_RANGE = 1004
    BODY_TOO_LARGE = 1005
    UNKNOWN_VERSION = 1006
    NOT_AN_IP = 1007
    BAD_SETTINGS = 1008
    NO_SUCH_RESOURCE = 1009
    INTERNAL = 1010
    UNKNOWN_KEY = 1011
    BAD_JOB_ID = 1012
    OVERLOADED = 2001
    NO_EXECUTOR = 2002
    DEADLINE_UNREACHABLE = 2003
    REQUEST_STORE_OUT = 2004
    SHUTTING_DOWN = 2005
    OUTCOME_UNKNOWN = 2006
    REQUEST_IN_PROGRESS = 2007
    REQUEST_ID_CONFLICT = 2008
    JOB_NEVER_FITS = 3001
    UNKNOWN_WORKSPACE = 3002
    JOB_ID_CONFLICT = 3003
    NO_OWNER = 3004
    JOB_NOT_FOUND = 3005
    JOB_ALREADY_ENDED = 3006
    JOB_FAILS_EVERYWHERE = 3007
    JOB_QUEUE_FULL = 3008
    JOB_OUTCOME_UNKNOWN = 3009
    JOB_KIND_UNSUPPORTED = 3010
    CONFIG_CONFLICT = 4001
    GUARANTEES_DO_NOT_FIT = 4002
    UNKNOWN_ZONE = 4003
    UNKNOWN_PRESET = 4004
    CONFIG_OUTCOME_UNKNOWN = 4005
    BAD_CONFIG = 4006
    WORKSPACE_IN_USE = 4007
    NO_CONFIG = 4008
    STORE_UNAVAILABLE = 5001
    STORE_CONFLICT = 5002
    STORE_OUTCOME_UNKNOWN = 5003
    STORE_BUDGET_SPENT = 5004
    STORE_HISTORY_LOST = 5005
    STALE_EPOCH = 6001
    NO_CAPACITY = 6002
    RESERVATION_EXPIRED = 6003
    UNKNOWN_TASK = 6004
    TASK_FAILED = 6005
    WORKER_UNREACHABLE = 6006
    TASK_EXISTS = 6007
    WORKER_RESTARTED = 6008
    NOT_OWNER = 7001
    PEER_UNREACHABLE = 7002
    BAD_FRAME = 7003
    PEER_TIMEOUT = 7004


@dataclass(frozen=True, slots=True)
class ResultEntry:
    """An entry of `RESULT_TABLE`: HTTP status, meaning of the code and advice to the caller."""

    http_status: int
    meaning: str
    advice: str


RESULT_TABLE: Final[dict[ResultCode, ResultEntry]] = {
    ResultCode.OK: ResultEntry(200, "The operation succeeded.", "Nothing to do."),
    ResultCode.MALFORMED_BODY: ResultEntry(
        400, "The body is not valid JSON or msgpack.", "Correct the body and send it again."
    ),
    ResultCode.UNKNOWN_FIELD: ResultEntry(
        400, "The body or file holds a field that does not exist.", "Remove or rename the field."
    ),
    ResultCode.WRONG_TYPE: ResultEntry(
        400, "A field is missing or has the wrong type.", "Correct the field."
    ),
    ResultCode.OUT_OF_RANGE: ResultEntry(
        400, "A field's value is out of its range.", "Use a value in the range given."
    ),
    ResultCode.BODY_TOO_LARGE: ResultEntry(
        413, "The body exceeds the size limit.", "Send a smaller body."
    ),
    ResultCode.UNKNOWN_VERSION: ResultEntry(
        400, "The message has a version that this process does not read.", "Upgrade the older side."
    ),
    ResultCode.NOT_AN_IP: ResultEntry(
        400, "An address is not an IP number.", "Write the address as an IPv4 or IPv6 number."
    ),
    ResultCode.BAD_SETTINGS: ResultEntry(
        400, "The settings file can't be read or checked.", "Correct the file; the reason names it."
    ),
    ResultCode.NO_SUCH_RESOURCE: ResultEntry(
        404, "The path or item does not exist.", "Check the name."
    ),
    ResultCode.INTERNAL: ResultEntry(
        500, "An unexpected error; the process goes on.", "Report it with the log line."
    ),
    ResultCode.UNKNOWN_KEY: ResultEntry(
        401, "The key belongs to no workspace.", "Ask the operator for a key."
    ),
    ResultCode.BAD_JOB_ID: ResultEntry(
        400, "The job id is not 16 hexadecimal digits.", "Choose another id."
    ),
    ResultCode.OVERLOADED: ResultEntry(
        503, "Not run: the request queue is full.", "Come back after Retry-After."
    ),
    ResultCode.NO_EXECUTOR: ResultEntry(
        503, "Not run: no executor takes work.", "Come back after Retry-After; check executors."
    ),
    ResultCode.DEADLINE_UNREACHABLE: ResultEntry(
        503,
        "Not run: the deadline can't be met or has passed.",
        "Come back after Retry-After or allow more time.",
    ),
    ResultCode.REQUEST_STORE_OUT: ResultEntry(
        503,
        "Not run: a non-idempotent request needs the table service, which is out.",
        "Come back after Retry-After.",
    ),
    ResultCode.SHUTTING_DOWN: ResultEntry(
        503, "Not run: this host is stopping.", "Send it again; the balancer picks another host."
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultEntry(
        502,
        "The request may or may not have run.",
        "An idempotent request may be sent again; check the effect of any other.",
    ),
    ResultCode.REQUEST_IN_PROGRESS: ResultEntry(
        409,
        "A request with this id was dispatched before and its answer is not on record.",
        "Ask again with the same id later; it will not run twice.",
    ),
    ResultCode.REQUEST_ID_CONFLICT: ResultEntry(
        409, "This request id was used with another body.", "Use a new request id."
    ),
    ResultCode.JOB_NEVER_FITS: ResultEntry(
        422, "Refused: no arrangement of the known workers can hold the job.", "Reduce the shape."
    ),
    ResultCode.UNKNOWN_WORKSPACE: ResultEntry(
        404, "The workspace does not exist.", "Create the workspace or correct the name."
    ),
    ResultCode.JOB_ID_CONFLICT: ResultEntry(
        409, "This job id was used with another specification.", "Use a new job id."
    ),
    ResultCode.NO_OWNER: ResultEntry(
        503, "Not accepted: no scheduler owns the shard now.", "Come back after Retry-After."
    ),
    ResultCode.JOB_NOT_FOUND: ResultEntry(404, "The job does not exist.", "Check the job id."),
    ResultCode.JOB_ALREADY_ENDED: ResultEntry(409, "The job has ended.", "Nothing to do."),
    ResultCode.JOB_FAILS_EVERYWHERE: ResultEntry(
        422, "The job failed on distinct healthy workers.", "Correct the job; submit a new one."
    ),
    ResultCode.JOB_QUEUE_FULL: ResultEntry(
        503, "Not accepted: too many jobs are queued.", "Come back after Retry-After."
    ),
    ResultCode.JOB_OUTCOME_UNKNOWN: ResultEntry(
        502,
        "It is not known whether the change to the job was stored.",
        "Repeat it with the same job id.",
    ),
    ResultCode.JOB_KIND_UNSUPPORTED: ResultEntry(
        503,
        "Not accepted: the job asks for an option that is not built.",
        "The reason names the option; submit the job without it.",
    ),
    ResultCode.CONFIG_CONFLICT: ResultEntry(
        409, "Not accepted: another change was accepted first.", "Read the new version and retry."
    ),
    ResultCode.GUARANTEES_DO_NOT_FIT: ResultEntry(
        422, "Not accepted: the guarantees do not fit together.", "The reason says what is missing."
    ),
    ResultCode.UNKNOWN_ZONE: ResultEntry(
        404, "No host is in an availability zone of this name.", "Check the name with `zone list`."
    ),
    ResultCode.UNKNOWN_PRESET: ResultEntry(
        404, "There is no preset of this name.", "Use ordinary, peak or maintenance."
    ),
    ResultCode.CONFIG_OUTCOME_UNKNOWN: ResultEntry(
        502, "It is not known whether the change was accepted.", "Repeat with the same change id."
    ),
    ResultCode.BAD_CONFIG: ResultEntry(
        422, "Not accepted: the configuration contradicts itself.", "The reason names the field."
    ),
    ResultCode.WORKSPACE_IN_USE: ResultEntry(
        409, "The workspace has jobs that have not ended.", "Cancel them or wait."
    ),
    ResultCode.NO_CONFIG: ResultEntry(
        503, "This host has not seen a configuration yet.", "Come back after Retry-After."
    ),
    ResultCode.STORE_UNAVAILABLE: ResultEntry(
        503, "The table service can't be reached.", "Check the platform."
    ),
    ResultCode.STORE_CONFLICT: ResultEntry(
        409, "A row changed before the write.", "Read again and retry."
    ),
    ResultCode.STORE_OUTCOME_UNKNOWN: ResultEntry(
        502, "It is not known whether a write took effect.", "Read the row's write id."
    ),
    ResultCode.STORE_BUDGET_SPENT: ResultEntry(
        503, "This host's share of table operations is spent.", "Come back after Retry-After."
    ),
    ResultCode.STORE_HISTORY_LOST: ResultEntry(
        503, "The changes asked for are no longer kept.", "The reader reads the table anew."
    ),
    ResultCode.STALE_EPOCH: ResultEntry(
        409, "A worker has seen a newer owner of the shard.", "The older owner steps down."
    ),
    ResultCode.NO_CAPACITY: ResultEntry(
        409, "The worker can't hold the task.", "The gang is placed again."
    ),
    ResultCode.RESERVATION_EXPIRED: ResultEntry(
        409, "The start came after the reservation had lapsed.", "The gang is placed again."
    ),
    ResultCode.UNKNOWN_TASK: ResultEntry(
        404, "The worker does not hold this task.", "The gang is placed again."
    ),
    ResultCode.TASK_FAILED: ResultEntry(500, "The task failed on its worker.", "See the job."),
    ResultCode.WORKER_UNREACHABLE: ResultEntry(
        503, "The worker does not answer.", "Check the worker; its tasks are doubtful."
    ),
    ResultCode.TASK_EXISTS: ResultEntry(
        409, "The worker holds another attempt of this task.", "The older attempt is stopped first."
    ),
    ResultCode.WORKER_RESTARTED: ResultEntry(
        409, "The worker has started a new life.", "What ran there is placed again."
    ),
    ResultCode.NOT_OWNER: ResultEntry(
        503, "This host does not own the shard.", "The sender looks up the owner again."
    ),
    ResultCode.PEER_UNREACHABLE: ResultEntry(
        503, "Another host can't be reached; nothing was sent.", "Come back after Retry-After."
    ),
    ResultCode.BAD_FRAME: ResultEntry(
        400, "A stream frame can't be read.", "The connection is closed; upgrade the older side."
    ),
    ResultCode.PEER_TIMEOUT: ResultEntry(
        502, "Another host did not answer in time.", "Repeat with the same id."
    ),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """The reason why an operation failed; `retry_after_ms` is None if retrying cannot help."""

    code: ResultCode
    detail: str
    retry_after_ms: int | None = None
