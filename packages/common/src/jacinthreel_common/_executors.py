"""The executors' HTTP interface: `POST /v1/execute` with the payload as the body.

A whole answer has status 200.  A refusal before running has status 503 with `X-Not-Run: true` and
the reason in `X-Refusal`.  Every reply tells the slots in use in `X-Busy-Slots`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

EXECUTE_PATH: Final = "/v1/execute"
REQUEST_ID_HEADER: Final = "X-Request-Id"
WORKSPACE_HEADER: Final = "X-Workspace"
DEADLINE_HEADER: Final = "X-Deadline-Ms"
NOT_RUN_HEADER: Final = "X-Not-Run"
REFUSAL_HEADER: Final = "X-Refusal"
BUSY_SLOTS_HEADER: Final = "X-Busy-Slots"


class RefusalReason(StrEnum):
    """Why an executor refused a request before running it."""

    BUSY = "busy"
    LEAVING = "leaving"
