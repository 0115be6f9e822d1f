"""A model of an executor without I/O: slots, refusals and answers.

The run time of a request is given in its payload by the word `run=MILLISECONDS`, which the router
does not read.  An executor has no queue: it refuses a request before running it if all slots are
busy or the executor is leaving.

Invariants: at most `slots` requests run at the same time; each admitted request is in `runs` once.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import RefusalReason

DEFAULT_RUN_MS: Final = 50.0
ANSWER_CONTENT_TYPE: Final = "text/plain"


@dataclass(frozen=True, slots=True)
class ExecutorRun:
    """An admitted request; `ends_ms` is the time at which its answer is ready."""

    run_id: int
    request_id: str
    workspace: str
    started_ms: float
    ends_ms: float
    answer: bytes


@dataclass(frozen=True, slots=True)
class ExecutorRefusal:
    """The refusal of a request before it ran."""

    reason: RefusalReason


def parse_run_ms(payload: bytes) -> float:
    """Returns the run time given in a payload in ms, or `DEFAULT_RUN_MS` if there is none.

    >>> parse_run_ms(b"label 7 run=120"), parse_run_ms(b"label 7")
    (120.0, 50.0)
    """
    for word in payload[:1024].split():
        if not word.startswith(b"run="):
            continue
        try:
            return max(0.0, float(word[4:]))
        except ValueError:
            continue
    return DEFAULT_RUN_MS


def expected_answer(request_id: str, workspace: str, payload: bytes) -> bytes:
    """Returns the complete answer to a request, which is unique to the request.

    >>> expected_answer("r1", "labels", b"x")
    b'labels/r1 2d711642b726b044'
    """
    digest = hashlib.sha256(payload).hexdigest()[:16]
    return f"{workspace}/{request_id} {digest}".encode()


@dataclass(slots=True)
class ExecutorModel:
    """One executor.  Run times are divided by `speed`; if `leaving`, all new requests are refused.

    >>> executor = ExecutorModel("x1", slots=1)
    >>> run = executor.admit("r1", "labels", b"run=20", now_ms=0)
    >>> executor.admit("r2", "labels", b"run=20", now_ms=5)
    ExecutorRefusal(reason=<RefusalReason.BUSY: 'busy'>)
    >>> executor.finish(run.run_id); executor.busy_slots
    0
    """

    executor_id: str
    slots: int = 8
    speed: float = 1.0
    leaving: bool = False
    running_by_id: dict[int, ExecutorRun] = field(default_factory=dict)
    runs: list[ExecutorRun] = field(default_factory=list)

    @property
    def busy_slots(self) -> int:
        """The number of slots in use."""
        return len(self.running_by_id)

    def admit(
        self, request_id: str, workspace: str, payload: bytes, now_ms: float
    ) -> ExecutorRun | ExecutorRefusal:
        """Starts or refuses a request; the caller must call `finish` at the run's `ends_ms`."""
        if self.leaving:
            return ExecutorRefusal(RefusalReason.LEAVING)
        if self.busy_slots >= self.slots:
            return ExecutorRefusal(RefusalReason.BUSY)
        run = ExecutorRun(
            run_id=len(self.runs) + 1,
            request_id=request_id,
            workspace=workspace,
            started_ms=now_ms,
            ends_ms=now_ms + parse_run_ms(payload) / self.speed,
            answer=expected_answer(request_id, workspace, payload),
        )
        self.runs.append(run)
        self.running_by_id[run.run_id] = run
        return run

    def finish(self, run_id: int) -> None:
        """Frees the slot of a run that has ended; does nothing if the id is unknown."""
        self.running_by_id.pop(run_id, None)

    def count_runs(self, request_id: str) -> int:
        """Returns how often a request has been started on this executor."""
        return sum(run.request_id == request_id for run in self.runs)
