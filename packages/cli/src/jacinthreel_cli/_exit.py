"""Exit statuses of the command line and the error that carries one."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from jacinthreel_common import RESULT_TABLE, Fault, ResultCode


class ExitStatus(IntEnum):
    """What a script can tell from the exit status.

    `UNKNOWN` stands for no router reached and for an outcome that isn't known.
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
    """Ends a command with a numbered fault on stderr and an exit status."""

    def __init__(self, status: ExitStatus, fault: Fault) -> None:
        super().__init__(fault.detail)
        self.status = status
        self.fault = fault

    def lines(self) -> list[str]:
        """What the user sees: the code, the reason and the advice.

        >>> fault = Fault(ResultCode.UNKNOWN_ZONE, "no zone 'x'")
        >>> CommandError(ExitStatus.REFUSED, fault).lines()[0]
        "error 4003 UNKNOWN_ZONE: no zone 'x'"
        """
        code = self.fault.code
        lines = [f"error {int(code)} {code.name}: {self.fault.detail}"]
        lines.append(f"advice: {RESULT_TABLE[code].advice}")
        if self.fault.retry_after_ms is not None:
            lines.append(f"retry after: {self.fault.retry_after_ms / 1000:g} s")
        return lines


def refusal(fault: Fault) -> CommandError:
    """The error for what a server answered."""
    unknown = fault.code in UNKNOWN_OUTCOME_CODES
    return CommandError(ExitStatus.UNKNOWN if unknown else ExitStatus.REFUSED, fault)


def usage_error(code: ResultCode, detail: str) -> CommandError:
    """The error for bad arguments or settings."""
    return CommandError(ExitStatus.USAGE, Fault(code, detail))
