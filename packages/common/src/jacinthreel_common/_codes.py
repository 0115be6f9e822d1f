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
    JOB_EXCEEDS_QUOTA = 3011
    JOB_TOO_LATE = 3012
    JOB_CANCELLED = 3013
    TOO_MANY_CANCELS = 3014
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
        400, "The body or file has an unknown field.", "Remove or rename the field."
    ),
    ResultCode.WRONG_TYPE: ResultEntry(
        400, "A field is missing or has the wrong type.", "Correct the field."
    ),
    ResultCode.OUT_OF_RANGE: ResultEntry(
        400, "A field's value is out of range.", "Use a value in the range that the detail names."
    ),
    ResultCode.BODY_TOO_LARGE: ResultEntry(
        413, "The body exceeds the size limit.", "Send a smaller body."
    ),
    ResultCode.UNKNOWN_VERSION: ResultEntry(
        400,
        "The message has a version that this process does not support.",
        "Upgrade the older process.",
    ),
    ResultCode.NOT_AN_IP: ResultEntry(
        400,
        "The value is not an IP address.",
        "Use an IPv4 or IPv6 address; host names are not resolved.",
    ),
    ResultCode.BAD_SETTINGS: ResultEntry(
        400,
        "The settings cannot be read or are invalid.",
        "Correct the settings; the detail names the problem.",
    ),
    ResultCode.NO_SUCH_RESOURCE: ResultEntry(
        404, "The path, method or item does not exist.", "Check the path and the name."
    ),
    ResultCode.INTERNAL: ResultEntry(
        500,
        "An unexpected error occurred; the process continues to run.",
        "Report the error with its log line.",
    ),
    ResultCode.UNKNOWN_KEY: ResultEntry(
        401, "The API key belongs to no workspace.", "Request an API key from the operator."
    ),
    ResultCode.BAD_JOB_ID: ResultEntry(
        400, "The job id is not 16 hexadecimal digits.", "Use an id of 16 hexadecimal digits."
    ),
    ResultCode.OVERLOADED: ResultEntry(
        503,
        "Not run: the request queue is full, or too many calls are in progress.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.NO_EXECUTOR: ResultEntry(
        503,
        "Not run: no executor is available.",
        "Retry after the time in Retry-After; check the executors.",
    ),
    ResultCode.DEADLINE_UNREACHABLE: ResultEntry(
        503,
        "Not run: the deadline cannot be met or has passed.",
        "Retry after the time in Retry-After, or set a longer deadline.",
    ),
    ResultCode.REQUEST_STORE_OUT: ResultEntry(
        503,
        "Not run: a non-idempotent request needs the table service, which is unavailable.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.SHUTTING_DOWN: ResultEntry(
        503,
        "Not run: this process is shutting down.",
        "Retry; the load balancer selects another host.",
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultEntry(
        502,
        "The request may or may not have run.",
        "Retry an idempotent request; for any other, check its effect first.",
    ),
    ResultCode.REQUEST_IN_PROGRESS: ResultEntry(
        409,
        "A request with this id was already claimed, and its answer is not recorded.",
        "Retry later with the same id; the request will not run twice.",
    ),
    ResultCode.REQUEST_ID_CONFLICT: ResultEntry(
        409, "This request id was already used with another body.", "Use a new request id."
    ),
    ResultCode.JOB_NEVER_FITS: ResultEntry(
        422,
        "Not accepted: the job would not fit on the listed workers even if they were idle.",
        "Request fewer tasks, fewer resources per task or a weaker adjacency.",
    ),
    ResultCode.UNKNOWN_WORKSPACE: ResultEntry(
        404, "The workspace does not exist.", "Create the workspace or correct the name."
    ),
    ResultCode.JOB_ID_CONFLICT: ResultEntry(
        409, "This job id was already used with another specification.", "Use a new job id."
    ),
    ResultCode.NO_OWNER: ResultEntry(
        503,
        "Not accepted: no scheduler currently owns the shard.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.JOB_NOT_FOUND: ResultEntry(404, "The job does not exist.", "Check the job id."),
    ResultCode.JOB_ALREADY_ENDED: ResultEntry(409, "The job has ended.", "Nothing to do."),
    ResultCode.JOB_FAILS_EVERYWHERE: ResultEntry(
        422,
        "The job failed on several different healthy workers.",
        "Correct the job and submit it as a new one.",
    ),
    ResultCode.JOB_QUEUE_FULL: ResultEntry(
        503, "Not accepted: too many jobs are queued.", "Retry after the time in Retry-After."
    ),
    ResultCode.JOB_OUTCOME_UNKNOWN: ResultEntry(
        502,
        "The change to the job may or may not have been stored.",
        "Retry with the same job id.",
    ),
    ResultCode.JOB_KIND_UNSUPPORTED: ResultEntry(
        503,
        "Not accepted: the job uses an option that is not supported.",
        "Submit the job without the option that the detail names.",
    ),
    ResultCode.JOB_EXCEEDS_QUOTA: ResultEntry(
        503,
        "Not run: a gang or a task of the job is larger than the quota of its workspace.",
        "Submit a smaller gang, or ask the operator for a larger quota.",
    ),
    ResultCode.JOB_TOO_LATE: ResultEntry(
        429,
        "Not accepted: the system is overloaded, and the result would come too late to be useful. "
        "The job has not run and will not run.",
        "Retry after the time in Retry-After, or submit less.",
    ),
    ResultCode.JOB_CANCELLED: ResultEntry(
        503,
        "Not accepted: the job was cancelled before it was accepted. It has not run and will not "
        "run.",
        "Use a new job id, or retry after the time in Retry-After.",
    ),
    ResultCode.TOO_MANY_CANCELS: ResultEntry(
        503,
        "Not stored: the workspace has cancelled too many unknown jobs in the last minute.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.CONFIG_CONFLICT: ResultEntry(
        409, "Not accepted: another change was accepted first.", "Read the new version and retry."
    ),
    ResultCode.GUARANTEES_DO_NOT_FIT: ResultEntry(
        422,
        "Not accepted: the workers cannot hold all guarantees at the same time.",
        "Reduce the guarantees; the detail lists the cells that do not fit.",
    ),
    ResultCode.UNKNOWN_ZONE: ResultEntry(
        404,
        "No host is in an availability zone with this name.",
        "Check the name with `zone list`.",
    ),
    ResultCode.UNKNOWN_PRESET: ResultEntry(
        404, "There is no preset with this name.", "Use ordinary, peak or maintenance."
    ),
    ResultCode.CONFIG_OUTCOME_UNKNOWN: ResultEntry(
        502, "The change may or may not have been accepted.", "Retry with the same change id."
    ),
    ResultCode.BAD_CONFIG: ResultEntry(
        422,
        "Not accepted: the configuration is invalid or contradicts itself.",
        "Correct the configuration; the detail names the problem.",
    ),
    ResultCode.WORKSPACE_IN_USE: ResultEntry(
        409,
        "The workspace has jobs that have not ended.",
        "Cancel the jobs or wait until they have ended.",
    ),
    ResultCode.NO_CONFIG: ResultEntry(
        503,
        "This process has not received a configuration yet.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.STORE_UNAVAILABLE: ResultEntry(
        503,
        "The table service is unreachable or refuses requests.",
        "Check the platform's table service.",
    ),
    ResultCode.STORE_CONFLICT: ResultEntry(
        409, "A row changed before the write.", "Read the row again and retry."
    ),
    ResultCode.STORE_OUTCOME_UNKNOWN: ResultEntry(
        502,
        "A write may or may not have taken effect.",
        "Compare the write id in the row with that of the write.",
    ),
    ResultCode.STORE_BUDGET_SPENT: ResultEntry(
        503,
        "The row budget of this process for the table service is exhausted.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.STORE_HISTORY_LOST: ResultEntry(
        503,
        "The store no longer has the requested changes.",
        "Nothing to do; the process reads the whole table again.",
    ),
    ResultCode.STALE_EPOCH: ResultEntry(
        409,
        "The receiver has accepted a newer epoch of the shard.",
        "Nothing to do; the older owner steps down.",
    ),
    ResultCode.NO_CAPACITY: ResultEntry(
        409,
        "The worker has too few free resources for the task.",
        "Nothing to do; the gang is placed again.",
    ),
    ResultCode.RESERVATION_EXPIRED: ResultEntry(
        409,
        "The start command arrived after the reservation had expired.",
        "Nothing to do; the gang is placed again.",
    ),
    ResultCode.UNKNOWN_TASK: ResultEntry(
        404, "The worker has no such task.", "Nothing to do; the gang is placed again."
    ),
    ResultCode.TASK_FAILED: ResultEntry(
        500, "The task failed on its worker.", "Check the detail of the job."
    ),
    ResultCode.WORKER_UNREACHABLE: ResultEntry(
        503, "The worker does not reply.", "Check the worker; its tasks may still be running."
    ),
    ResultCode.TASK_EXISTS: ResultEntry(
        409,
        "The worker already has this task or another attempt of it.",
        "Nothing to do; the older attempt is stopped first.",
    ),
    ResultCode.WORKER_RESTARTED: ResultEntry(
        409,
        "The worker has restarted.",
        "Nothing to do; the tasks that ran on it are placed again.",
    ),
    ResultCode.NOT_OWNER: ResultEntry(
        503,
        "This process does not own the shard.",
        "Nothing to do; the sender looks up the owner again.",
    ),
    ResultCode.PEER_UNREACHABLE: ResultEntry(
        503,
        "Another process is unreachable; nothing was sent.",
        "Retry after the time in Retry-After.",
    ),
    ResultCode.BAD_FRAME: ResultEntry(
        400,
        "A stream frame is malformed; the connection is closed.",
        "If the two processes have different versions, upgrade the older one.",
    ),
    ResultCode.PEER_TIMEOUT: ResultEntry(
        502, "Another process did not reply in time.", "Retry with the same id."
    ),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """The reason why an operation failed; `retry_after_ms` is None if retrying cannot help."""

    code: ResultCode
    detail: str
    retry_after_ms: int | None = None
