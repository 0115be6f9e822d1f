"""The executors' HTTP interface: `POST /v1/execute` with the payload as the body.

A complete answer has status 200.  If the executor rejects a request before running it, the reply
has status 503, `X-Not-Run: true` and the reason in `X-Refusal`.  Every reply has the number of busy
slots in `X-Busy-Slots`.
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
    """The reason why an executor rejected a request before running it."""

    BUSY = "busy"
    LEAVING = "leaving"
