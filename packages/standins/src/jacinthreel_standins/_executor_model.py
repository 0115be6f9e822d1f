"""An executor's behaviour, without I/O: slots, refusals and answers.

The run time of a request is in its payload, as the word `run=MILLISECONDS`; the router never
reads it.  An executor has no queue: a request that finds every slot busy, or the executor leaving,
is refused before it runs.

Invariants: at most `slots` requests run at once; each admitted request is in `runs` once.
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
    """A request that was admitted; `ends_ms` is when its answer is ready."""

    run_id: int
    request_id: str
    workspace: str
    started_ms: float
    ends_ms: float
    answer: bytes


@dataclass(frozen=True, slots=True)
class ExecutorRefusal:
    """A request that was refused before it ran."""

    reason: RefusalReason


def parse_run_ms(payload: bytes) -> float:
    """Reads the run time from a payload, in milliseconds.

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
    """The whole answer to a request, which no other request has.

    >>> expected_answer("r1", "labels", b"x")
    b'labels/r1 2d711642b726b044'
    """
    digest = hashlib.sha256(payload).hexdigest()[:16]
    return f"{workspace}/{request_id} {digest}".encode()


@dataclass(slots=True)
class ExecutorModel:
    """One executor.  `speed` divides every run time; `leaving` refuses all new requests.

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
        """The slots in use."""
        return len(self.running_by_id)

    def admit(
        self, request_id: str, workspace: str, payload: bytes, now_ms: float
    ) -> ExecutorRun | ExecutorRefusal:
        """Starts a request or refuses it; the caller calls `finish` at the run's `ends_ms`."""
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
        """Frees the slot of a run that ended; unknown ids are left alone."""
        self.running_by_id.pop(run_id, None)

    def runs_of(self, request_id: str) -> int:
        """How often a request ran here."""
        return sum(run.request_id == request_id for run in self.runs)
