"""Exit statuses of the command line and the exception that carries one."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from jacinthreel_common import RESULT_TABLE, Fault, ResultCode


class ExitStatus(IntEnum):
    """Exit status of a command, for use by scripts.

    `UNKNOWN` means that no router could be reached or that the outcome is unknown.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


UNKNOWN_OUTCOME_CODES: Final = frozenset(
    {
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.JOB_OUTCOME_UNKNOWN,
        ResultCode.CONFIG_OUTCOME_UNKNOWN,
        ResultCode.STORE_OUTCOME_UNKNOWN,
        ResultCode.PEER_TIMEOUT,
    }
)


class CommandError(Exception):
    """Raised to end a command with an exit status and a result code with its detail on stderr."""

    def __init__(self, status: ExitStatus, fault: Fault) -> None:
        super().__init__(fault.detail)
        self.status = status
        self.fault = fault

    def stderr_lines(self) -> list[str]:
        """Returns the lines to print: code and detail, advice, and the retry delay if known.

        >>> fault = Fault(ResultCode.UNKNOWN_ZONE, "no zone 'x'")
        >>> CommandError(ExitStatus.REFUSED, fault).stderr_lines()[0]
        "error 4003 UNKNOWN_ZONE: no zone 'x'"
        """
        code = self.fault.code
        lines = [f"error {int(code)} {code.name}: {self.fault.detail}"]
        lines.append(f"advice: {RESULT_TABLE[code].advice}")
        if self.fault.retry_after_ms is not None:
            lines.append(f"retry after: {self.fault.retry_after_ms / 1000:g} s")
        return lines


def fault_error(fault: Fault) -> CommandError:
    """Returns the error for a fault that a router returned."""
    is_outcome_unknown = fault.code in UNKNOWN_OUTCOME_CODES
    return CommandError(ExitStatus.UNKNOWN if is_outcome_unknown else ExitStatus.REFUSED, fault)


def usage_error(code: ResultCode, detail: str) -> CommandError:
    """Returns the error for invalid arguments or settings."""
    return CommandError(ExitStatus.USAGE, Fault(code, detail))
