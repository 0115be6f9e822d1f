"""The scheduler of stepped jobs: events in, orders and rows out.

The scheduler does no I/O and reads no clock.  Its driver hands it events with the time, calls
`plan` after them, stores the rows that `take_unstored` returns and reports them stored, and sends
the orders.  Phases of a run: placed in memory, stored, ordered, confirmed, ended, end stored, end
acknowledged.

Invariants: a start is ordered only after the placement is stored; an end is acknowledged only
after it is stored; callers see a state only after it is stored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from jacinthreel_steps._context import Context, DecisionLog, Orders, StopOrder
from jacinthreel_steps._executor_speed import learn_speeds
from jacinthreel_steps._leaving import stop_leaving
from jacinthreel_steps._lifecycle import end_run, finish_job
from jacinthreel_steps._model import (
    EndReason,
    ExecutorListing,
    ExecutorReport,
    JobRecord,
    JobState,
    Policy,
    StartOutcome,
)
from jacinthreel_steps._planner import plan
from jacinthreel_steps._progress_rows import decode_progress, encode_progress, restore_progress
from jacinthreel_steps._reports import advance_acknowledged, lose_run, lose_runs, take_report
from jacinthreel_steps._slowness import note_slow_executors
from jacinthreel_steps._stalls import stop_stalled
from jacinthreel_steps._starts import (
    confirm_start,
    refuse_start,
    retry_start,
    stop_overdue_starts,
)
from jacinthreel_steps._tables import Executor, Run, RunState, Tables, make_job

LOOK_PERIOD_MS: Final = 200


@dataclass(frozen=True, slots=True)
class UnstoredRow:
    """Progress of a job to store; `version` is that of the row to replace, 0 for none."""

    job_id: str
    revision: int
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """A stored progress row and its version."""

    value: bytes
    version: int


class Scheduler:
    """Decides for all jobs of one shard."""

    def __init__(self, log: DecisionLog) -> None:
        self.tables = Tables()
        self._context = Context(self.tables, Orders(), log)
        self._looked_ms = 0

    def apply_policy(self, policy: Policy) -> None:
        """Puts a newer policy in force; older ones are passed over."""
        self.tables.policy = policy

    def add_job(
        self, record: JobRecord, progress: StoredProgress | None, accepted_ms: int, now_ms: int
    ) -> bool:
        """Takes a job in, with its progress after a takeover; false where it is known already."""
        if record.job_id in self.tables.jobs_by_id:
            return False
        job = make_job(record, accepted_ms)
        if progress is not None:
            job.stored_version = progress.version
            row = decode_progress(progress.value)
            if row is None or not restore_progress(job, row, now_ms):
                self._context.log("progress_unreadable", {"job_id": record.job_id})
                return False
        self.tables.jobs_by_id[job.job_id] = job
        if not job.state.is_final:
            self.tables.open_jobs_by_id[job.job_id] = job
        for run in job.live_runs():
            if job.state.is_final:
                run.state = RunState.STOPPING  # The executor's first report sends the stop.
            self._adopt(run)
        return True

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancels a job; jobs that have ended stay as they are."""
        job = self.tables.open_jobs_by_id.get(job_id)
        if job is not None:
            finish_job(self._context, job, JobState.CANCELLED, now_ms)

    def apply_listing(self, listing: ExecutorListing, now_ms: int) -> bool:
        """Takes note of what an executor says of itself; true for a life not listed before."""
        executor = self.tables.executors_by_id.get(listing.executor_id)
        if executor is None:
            executor = Executor(listing, heard_ms=now_ms)
            self.tables.executors_by_id[listing.executor_id] = executor
            self._attach_recovered(executor, now_ms)
            self._note_leaving(executor, now_ms)
            return True
        is_new = not executor.is_listed or listing.incarnation > executor.listing.incarnation
        executor.is_listed = True
        if listing.incarnation > executor.listing.incarnation:
            self._start_new_life(executor, listing, now_ms)
        elif listing.incarnation == executor.listing.incarnation:
            executor.listing = listing
        self._note_leaving(executor, now_ms)
        return is_new

    def remove_listing(self, executor_id: str) -> bool:
        """The registry has no entry any more; what runs there may go on for a while.

        True where it had one before.
        """
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is None or not executor.is_listed:
            return False
        executor.is_listed = False
        return True

    def expire_executor(self, executor_id: str, reason: str, now_ms: int) -> None:
        """All that ran there has certainly ended, and the executor is out of reach."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is None:
            return
        lose_runs(self._context, executor, reason, now_ms)
        executor.is_reported = False
        if not executor.is_listed:
            del self.tables.executors_by_id[executor_id]

    def expire_orphans(self, lease_end_ms: Callable[[str], int], now_ms: int) -> None:
        """Ends recovered runs whose executor never came back.

        `lease_end_ms` says when what earlier owners started at an executor has certainly ended.
        """
        for job in list(self.tables.jobs_by_id.values()):
            for run in job.live_runs():
                if not run.is_recovered or run.executor_id in self.tables.executors_by_id:
                    continue
                if now_ms >= lease_end_ms(run.executor_id):
                    end_run(self._context, run, EndReason.LAPSED, "", now_ms)

    def take_report(self, executor_id: str, report: ExecutorReport, now_ms: int) -> None:
        """Applies what an executor reports."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is None or report.incarnation < executor.listing.incarnation:
            return
        if report.incarnation > executor.listing.incarnation:
            self._start_new_life(executor, executor.listing, now_ms, report.incarnation)
        take_report(self._context, executor, report, now_ms)
        for reported in report.running:
            job = self.tables.jobs_by_id.get(reported.run_id.task.job_id)
            if job is not None:
                job.has_begun = True

    def start_answered(self, run: Run, outcome: StartOutcome, now_ms: int) -> None:
        """Takes the answer to an order to start `run`."""
        task = self.tables.task(run.run_id.task)
        executor = self.tables.executors_by_id.get(run.executor_id)
        if task is None or executor is None or task.run is not run:
            return
        match outcome:
            case StartOutcome.STARTED:
                confirm_start(self._context, run, now_ms)
            case StartOutcome.UNKNOWN:
                retry_start(self._context, run, now_ms)
            case _:
                refuse_start(self._context, executor, run, outcome, now_ms)

    def stop_answered(self, order: StopOrder, now_ms: int) -> None:
        """The executor has confirmed a stop: it never starts that run any more."""
        task = self.tables.task(order.run_id.task)
        if task is None or task.run is None or task.run.run_id != order.run_id:
            return
        if task.run.stop_confirmed_ms is None:
            task.run.stop_confirmed_ms = now_ms

    def plan(self, now_ms: int) -> None:
        """Decides on all that is open."""
        if now_ms - self._looked_ms >= LOOK_PERIOD_MS:
            self._looked_ms = now_ms
            self._look_at_runs(now_ms)
        stop_leaving(self._context, now_ms)
        plan(self._context, now_ms)

    def _look_at_runs(self, now_ms: int) -> None:
        """Looks through everything that runs, for what only shows with time."""
        stop_overdue_starts(self._context, now_ms)
        stop_stalled(self._context, now_ms)
        note_slow_executors(self._context, now_ms)
        learn_speeds(self._context)

    def take_starts(self) -> list[Run]:
        """The starts to order since the last call; runs that ended meanwhile are left out."""
        starts = self._context.orders.starts
        self._context.orders.starts = []
        return [run for run in starts if run.state is RunState.STARTING]

    def take_stops(self) -> list[StopOrder]:
        """The stops to order since the last call."""
        stops = self._context.orders.stops
        self._context.orders.stops = []
        return stops

    def take_unstored(self, limit: int, write_id: str) -> list[UnstoredRow]:
        """Up to `limit` rows to store."""
        rows: list[UnstoredRow] = []
        for job_id in list(self.tables.unstored_job_ids)[:limit]:
            del self.tables.unstored_job_ids[job_id]
            job = self.tables.jobs_by_id.get(job_id)
            if job is None or job.stored_revision >= job.revision:
                continue
            value = encode_progress(job, write_id)
            rows.append(UnstoredRow(job_id, job.revision, job.stored_version, value))
        return rows

    def mark_stored(self, row: UnstoredRow, version: int, now_ms: int) -> None:
        """A row has been stored: starts that waited for it are ordered."""
        job = self.tables.jobs_by_id.get(row.job_id)
        if job is None:
            return
        job.stored_revision = row.revision
        job.stored_version = version
        if job.revision == row.revision:
            job.visible_state = job.state
        elif job.visible_state is JobState.QUEUED:
            job.visible_state = JobState.RUNNING
        for run in job.live_runs():
            if run.state is RunState.PLACED and run.needed_revision <= row.revision:
                run.state = RunState.STARTING
                run.placed_ms = now_ms
                self._context.orders.starts.append(run)

    def mark_unstored(self, row: UnstoredRow) -> None:
        """A row was certainly not stored; it is handed out again."""
        self.tables.unstored_job_ids[row.job_id] = None

    def acknowledged_upto(self, executor_id: str) -> int:
        """The highest end that the executor may forget."""
        return advance_acknowledged(self._context, self.tables.executors_by_id[executor_id])

    def has_unstored_ends(self, executor_id: str) -> bool:
        """Whether ends of the executor wait to be stored."""
        advance_acknowledged(self._context, self.tables.executors_by_id[executor_id])
        return bool(self.tables.executors_by_id[executor_id].pending_ends)

    def speeds(self) -> dict[str, float]:
        """How fast the executors are that differ from the usual one, by id."""
        kept = self._context.speeds.kept_speeds()
        return {key: speed for key, speed in kept.items() if key in self.tables.executors_by_id}

    def restore_speeds(self, speeds: dict[str, float]) -> None:
        """Begins with the speeds that an earlier scheduler has learnt."""
        self._context.speeds.restore(speeds)

    def waiting_by_queue(self) -> dict[str, int]:
        """How many open jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for job in self.tables.open_jobs_by_id.values():
            if not job.has_begun:
                name = job.record.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def ended_before(self, before_ms: int) -> list[str]:
        """The jobs that ended before `before_ms`, are stored and hold no room."""
        found: list[str] = []
        for job in self.tables.jobs_by_id.values():
            if not job.state.is_final or job.ended_ms >= before_ms or job.live_runs():
                continue
            if job.stored_revision < job.revision:
                continue
            found.append(job.job_id)
        return found

    def forget(self, job_id: str) -> None:
        """Drops a job that `ended_before` has named."""
        del self.tables.jobs_by_id[job_id]

    def _adopt(self, run: Run) -> None:
        executor = self.tables.executors_by_id.get(run.executor_id)
        if executor is not None:
            executor.add_run(run)

    def _attach_recovered(self, executor: Executor, now_ms: int) -> None:
        """Lists runs that were restored before their executor was known."""
        for job in self.tables.jobs_by_id.values():
            for run in job.live_runs():
                if run.executor_id == executor.executor_id:
                    executor.add_run(run)
        self._drop_older_lives(executor, now_ms)

    def _start_new_life(
        self,
        executor: Executor,
        listing: ExecutorListing,
        now_ms: int,
        incarnation: int | None = None,
    ) -> None:
        """The executor has started anew and holds nothing of before."""
        executor.listing = replace(listing, incarnation=incarnation or listing.incarnation)
        executor.seen_upto = 0
        executor.acknowledged_upto = 0
        executor.pending_ends.clear()
        executor.is_reported = False
        self._drop_older_lives(executor, now_ms)

    def _drop_older_lives(self, executor: Executor, now_ms: int) -> None:
        """Ends what an earlier life was seen to run; a report tells of the rest."""
        for run in list(executor.runs_by_task.values()):
            if 0 < run.seen_incarnation < executor.listing.incarnation:
                lose_run(self._context, run, "executor restarted", now_ms)

    def _note_leaving(self, executor: Executor, now_ms: int) -> None:
        listing = executor.listing
        if not listing.is_draining:
            executor.leave_ms = None
        elif listing.remaining_ms is not None and executor.leave_ms is None:
            executor.leave_ms = now_ms + listing.remaining_ms
            fields = {
                "executor": listing.executor_id,
                "remaining_ms": listing.remaining_ms,
                "runs": len(executor.runs_by_task),
            }
            self._context.log("executor_leaving", fields)
