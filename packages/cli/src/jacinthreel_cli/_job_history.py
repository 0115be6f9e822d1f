"""What the log lines tell of each job: when it passed each stage, and which runs it lost.

The stages of a job are: submission (until it is accepted, with all refused attempts), waiting
(until its first task is placed), start (until its first task runs), work (until its last task has
ended) and storing (until callers see the end).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from jacinthreel_cli._log_lines import LogLine


class Stage(StrEnum):
    """A stage of a job; `RERUN` is work that was lost and had to be done again."""

    SUBMISSION = "before acceptance"
    WAITING = "waiting for capacity"
    START = "starting"
    RERUN = "work done again"
    SLOW_WORK = "work longer than predicted"
    STORING = "storing the end"


@dataclass(slots=True)
class JobHistory:
    """The history of one job; times are seconds since 1970, 0 for a stage that it did not reach.

    `refusal` is the last answer to a submission that was not accepted.  `lost_by_cause` holds the
    core-seconds of its runs that did not count, `lost_run_s_by_step` how long the longest of them
    worked in each step.  `objective_s` and `chain_s` are the latency objective and the predicted
    time of the longest chain of steps.  `passed_by` is how many later jobs of its queue were placed
    during its longest logged wait, `held_by` what the last scheduling passes found to hold it.
    """

    job_id: str
    queue: str = ""
    first_seen_s: float = 0.0
    accepted_s: float = 0.0
    placed_s: float = 0.0
    begun_s: float = 0.0
    ended_s: float = 0.0
    stored_s: float = 0.0
    objective_s: float = 0.0
    chain_s: float = 0.0
    state: str = ""
    refusal: str = ""
    is_cancelled: bool = False
    passed_by: int = 0
    held_by: str = ""
    lost_by_cause: dict[str, float] = field(default_factory=dict)
    lost_run_s_by_step: dict[str, float] = field(default_factory=dict)

    @property
    def completion_s(self) -> float:
        """The time from the first submission until callers saw the end."""
        return self.stored_s - self.first_seen_s

    @property
    def is_late(self) -> bool:
        """Whether it was completed after its latency objective."""
        is_completed = self.state == "completed" and self.stored_s > 0
        return is_completed and self.completion_s > self.objective_s > 0

    def stage_times(self) -> dict[Stage, float]:
        """Returns the time that each stage cost, in seconds; work counts beyond the prediction."""
        begun_s = self.begun_s or self.placed_s
        rerun_s = sum(self.lost_run_s_by_step.values())
        worked_s = self.ended_s - begun_s
        return {
            Stage.SUBMISSION: self.accepted_s - self.first_seen_s,
            Stage.WAITING: self.placed_s - self.accepted_s,
            Stage.START: begun_s - self.placed_s,
            Stage.RERUN: rerun_s,
            Stage.SLOW_WORK: worked_s - rerun_s - self.chain_s,
            Stage.STORING: self.stored_s - self.ended_s,
        }

    def longest_stage(self) -> Stage:
        """Returns the stage that cost most of the time beyond the predicted work."""
        times = self.stage_times()
        return max(times, key=lambda stage: times[stage])


def read_histories(lines: list[LogLine]) -> dict[str, JobHistory]:
    """Returns the history of each job that the lines name, by job id; lines in order of time."""
    by_id: dict[str, JobHistory] = {}
    for line in lines:
        if not line.job_id or line.event not in _EVENTS:
            continue
        history = by_id.setdefault(line.job_id, JobHistory(line.job_id))
        _apply(history, line)
    return by_id


_EVENTS = frozenset(
    {
        "job_not_accepted",
        "job_accepted",
        "job_taken_in",
        "job_waits",
        "job_wait_ended",
        "tasks_placed",
        "job_begun",
        "run_ended",
        "job_ended",
        "job_end_stored",
        "cancel_accepted",
    }
)


def _apply(history: JobHistory, line: LogLine) -> None:
    now_s = line.time_s
    match line.event:
        case "job_not_accepted":
            _note_submission(history, line, now_s)
            history.refusal = f"{line.text('code')} {line.text('reason')}"
        case "job_accepted":
            _note_submission(history, line, now_s)
            history.accepted_s = history.accepted_s or now_s
        case "job_taken_in":
            history.queue = history.queue or line.text("queue")
            accepted_s = now_s - line.number("age_ms") / 1000
            history.first_seen_s = history.first_seen_s or accepted_s
            history.accepted_s = history.accepted_s or now_s
        case "job_waits" | "job_wait_ended":
            history.passed_by = max(history.passed_by, int(line.number("passed_by")))
            history.held_by = line.text("held_by") or history.held_by
        case "tasks_placed":
            history.placed_s = history.placed_s or now_s
        case "job_begun":
            history.begun_s = history.begun_s or now_s
        case "run_ended":
            _note_run_end(history, line)
        case "job_ended":
            history.state = line.text("state")
            history.ended_s = now_s
            history.objective_s = line.number("objective_ms") / 1000
            history.chain_s = line.number("chain_ms") / 1000
        case "job_end_stored":
            history.stored_s = history.stored_s or now_s
            accepted_s = now_s - line.number("age_ms") / 1000
            history.accepted_s = history.accepted_s or accepted_s
            history.first_seen_s = history.first_seen_s or accepted_s
        case "cancel_accepted":
            history.is_cancelled = True


def _note_submission(history: JobHistory, line: LogLine, now_s: float) -> None:
    history.queue = history.queue or line.text("queue")
    if not history.first_seen_s:
        history.first_seen_s = now_s - line.number("took_ms") / 1000


def _note_run_end(history: JobHistory, line: LogLine) -> None:
    lost = line.number("lost_core_s")
    if line.text("reason") == "done" or not lost:
        return
    cause = _cause_of(line)
    history.lost_by_cause[cause] = history.lost_by_cause.get(cause, 0.0) + lost
    work = line.number("work_core_s")
    step = line.text("run").rpartition(".")[0]
    if work and not history.is_cancelled:
        lost_run_s = line.number("ran_ms") / 1000 * lost / work
        known_s = history.lost_run_s_by_step.get(step, 0.0)
        history.lost_run_s_by_step[step] = max(known_s, lost_run_s)


def _cause_of(line: LogLine) -> str:
    """Returns why a run was lost: its end, or why it was stopped."""
    cause = line.text("stop_cause")
    if not cause:
        return line.text("reason")
    if cause == "gang member ended":
        return f"gang member {line.text('stopped_by').rpartition(' ')[2]}"
    if cause == "job ended":
        return f"job {line.text('stopped_by')}"
    return cause
