"""The scheduler of multi-step jobs: takes events, returns orders to send and rows to store.

The scheduler does no I/O and reads no clock.  Its driver passes it events with the current time,
calls `plan` after them, stores the rows that `take_unstored` returns, calls `mark_stored` for each,
and sends the orders.  Phases of a run: placed in memory, placement stored, start ordered, start
confirmed, ended, end stored, end acknowledged.

Invariants: a start is ordered only after the placement is stored; an end is acknowledged only
after it is stored; a state becomes visible to callers only after it is stored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Final

from jacinthreel_steps._admission._forecast import Forecast
from jacinthreel_steps._admission._prediction import forecast_starts
from jacinthreel_steps._context import (
    DEFAULT_STOP_LIMIT_MS,
    Context,
    DecisionLog,
    Orders,
    StopOrder,
)
from jacinthreel_steps._executors._crash_evidence import clear_survivors, is_suspect
from jacinthreel_steps._executors._executor_registry import ExecutorRegistry
from jacinthreel_steps._executors._executor_speed import update_speed_classes
from jacinthreel_steps._executors._leaving import stop_runs_on_draining_executors
from jacinthreel_steps._executors._run_times import predict_run_times, update_predictions
from jacinthreel_steps._executors._slow_executors import check_gangs
from jacinthreel_steps._model import (
    ExecutorListing,
    ExecutorReport,
    JobRecord,
    JobState,
    Policy,
    StartOutcome,
)
from jacinthreel_steps._planning._fragmentation import sample_fragmentation
from jacinthreel_steps._planning._placement import find_usable_executors
from jacinthreel_steps._planning._planner import plan
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS
from jacinthreel_steps._planning._use_sample import sample_use
from jacinthreel_steps._queue_terms import adopt_terms, apply_policy_to_jobs
from jacinthreel_steps._runs._announced_jobs import (
    accept_announced,
    is_same_submission,
    replace_announced,
    withdraw_expired,
)
from jacinthreel_steps._runs._lifecycle import (
    count_attached_run,
    finish_job,
)
from jacinthreel_steps._runs._progress_rows import (
    decode_progress,
    encode_progress,
    restore_progress,
)
from jacinthreel_steps._runs._reports import (
    advance_acknowledged_ends,
    apply_report,
    end_lost_runs,
    reapply_ends,
)
from jacinthreel_steps._runs._stalls import stop_stalled_runs
from jacinthreel_steps._runs._start_orders import order_stored_starts
from jacinthreel_steps._runs._starts import (
    abandon_overdue_starts,
    confirm_start,
    handle_refused_start,
    handle_unanswered_start,
)
from jacinthreel_steps._tables import (
    ANNOUNCEMENT_KEEP_MS,
    Job,
    Run,
    RunState,
    Tables,
    make_job,
)
from jacinthreel_steps._workspaces._quotas import count_admitted
from jacinthreel_steps._workspaces._summary import WorkspaceSummary, summarize_workspaces
from jacinthreel_steps._workspaces._usage import WorkspaceUsage

RUN_CHECK_PERIOD_MS: Final = 200
CAPACITY_SAMPLE_PERIOD_MS: Final = 2_000
USE_SAMPLE_PERIOD_MS: Final = 1_000
UNBOUNDED_BYTES: Final = 2**62


@dataclass(frozen=True, slots=True)
class UnstoredRow:
    """A job's progress to store; `version` is the version of the row to replace, 0 for none.

    `state` is the job state in the row.
    """

    job_id: str
    revision: int
    version: int
    value: bytes
    state: JobState


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """A stored progress row and its version."""

    value: bytes
    version: int

    def executor_ids(self) -> set[str] | None:
        """Returns the executors on which the row has runs, None if it is unreadable."""
        row = decode_progress(self.value)
        return {executor_id for executor_id, _ in row.executors} if row is not None else None


class Scheduler:
    """Schedules all jobs of one shard.

    `stop_limit_ms` is the longest time that a responsive executor takes to stop a run.
    """

    def __init__(self, log: DecisionLog, stop_limit_ms: int = DEFAULT_STOP_LIMIT_MS) -> None:
        self.tables = Tables()
        self._context = Context(self.tables, Orders(), log, stop_limit_ms)
        self._runs_checked_ms = 0
        self._capacity_sampled_ms = 0
        self._use_sampled_ms = 0
        self._registry = ExecutorRegistry(self._context)

    @property
    def usage(self) -> WorkspaceUsage:
        """What each workspace uses."""
        return self._context.usage

    def apply_policy(self, policy: Policy) -> None:
        """Replaces the policy, unless it is older than the current one."""
        current_version = self.tables.policy.version
        if policy.version < current_version:
            fields = {"version": policy.version, "current_version": current_version}
            self._context.log("policy_outdated", fields)
            return
        self.tables.policy = policy
        apply_policy_to_jobs(self._context, policy)

    def add_job(
        self, record: JobRecord, progress: StoredProgress | None, accepted_ms: int, now_ms: int
    ) -> bool:
        """Adds a job, after a takeover with its stored progress.

        Returns false if the job was already added or its stored progress is unreadable.
        """
        known = self.tables.jobs_by_id.get(record.job_id)
        if known is not None and known.announced_ms is None:
            return False
        if known is not None and (known.state.is_final or is_same_submission(known, record)):
            accept_announced(self._context, known, record, accepted_ms)
            order_stored_starts(self._context, known, now_ms)
            return True
        if known is not None:
            job = replace_announced(self._context, known, record, accepted_ms, now_ms)
        else:
            job = make_job(record, accepted_ms)
        is_awaited = record.job_id in self.tables.awaited_job_ids
        self.forget_awaited_jobs([record.job_id])
        if progress is not None:
            job.stored_version = progress.version
            row = decode_progress(progress.value)
            if row is None or not restore_progress(job, row, now_ms):
                self._context.log("progress_unreadable", {"job_id": record.job_id})
                return False
        adopt_terms(job, self.tables.policy)
        predict_run_times(self._context, job)
        self.tables.jobs_by_id[job.job_id] = job
        if is_awaited:
            reapply_ends(self._context, job.job_id)
        self._track_crashed_tasks(job)
        if not job.state.is_final:
            self.tables.open_jobs_by_id[job.job_id] = job
        self._context.arrivals.record(job)
        if job.queue.priority == 0 and progress is None:
            self._context.headroom.record_arrival(self._count_first_accelerators(job), now_ms)
        for run in job.live_runs():
            if job.state.is_final:
                run.state = RunState.STOPPING  # The stop is sent on the executor's first report.
            count_attached_run(self._context, run)
            self._registry.attach_run(run)
        return True

    def announce_job(self, record: JobRecord, accepted_ms: int, now_ms: int) -> bool:
        """Adds a job whose acceptance is being stored, so that its tasks are placed meanwhile.

        Nothing starts before `add_job` is called with the accepted record.  Returns false if the
        job is already known.
        """
        if record.job_id in self.tables.jobs_by_id:
            return False
        self.add_job(record, None, accepted_ms, now_ms)
        self.tables.jobs_by_id[record.job_id].announced_ms = now_ms
        return True

    def withdraw_announcement(self, job_id: str, now_ms: int) -> None:
        """Releases the placements of an announced job whose acceptance can't follow any more."""
        job = self.tables.open_jobs_by_id.get(job_id)
        if job is not None and job.announced_ms is not None:
            job.announced_ms = min(job.announced_ms, now_ms - ANNOUNCEMENT_KEEP_MS - 1)
            withdraw_expired(self._context, now_ms)

    def await_jobs(self, job_ids: Iterable[str]) -> None:
        """Keeps ends of jobs unacknowledged that have stored progress and may still be accepted."""
        self.tables.awaited_job_ids.update(job_ids)

    def forget_awaited_jobs(self, job_ids: Iterable[str]) -> None:
        """Records that the stored progress of jobs is deleted, or needs no acceptance any more."""
        self.tables.awaited_job_ids.difference_update(job_ids)

    def remove_old_announcements(self, before_ms: int) -> list[str]:
        """Removes jobs that were announced before `before_ms` and not accepted; returns their ids.

        Their progress may be stored and has to be deleted.
        """
        job_ids: list[str] = []
        for job in list(self.tables.jobs_by_id.values()):
            if job.announced_ms is None or job.announced_ms >= before_ms or job.live_runs():
                continue
            job_ids.append(job.job_id)
            self.tables.open_jobs_by_id.pop(job.job_id, None)
            self.remove_job(job.job_id)
        return job_ids

    def _track_crashed_tasks(self, job: Job) -> None:
        for index, step in enumerate(job.steps):
            if step.gang_losses is not None:
                self.tables.crashed_gangs.add((job.job_id, index))
            for task in step.tasks:
                if task.crash_record is not None:
                    self.tables.crashed_task_ids[task.task_id] = None

    def _count_first_accelerators(self, job: Job) -> int:
        """Returns the accelerators of the first steps, as far as the quota admits them now.

        Jobs beyond the rate of their workspace count none.
        """
        weight = self.tables.policy.weight_by_workspace.get(job.record.workspace)
        if self._context.arrivals.exceeds_rate(job, weight):
            return 0
        total = 0
        for step in job.record.spec.steps:
            if step.after:
                continue
            admitted = count_admitted(self._context, job.record.workspace, step.shape)
            count = min(step.count, admitted)
            if count == step.count or not step.is_gang:
                total += count * step.shape.accelerators
        return total

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancels a job; a no-op if it has ended."""
        job = self.tables.open_jobs_by_id.get(job_id)
        if job is not None:
            finish_job(self._context, job, JobState.CANCELLED, now_ms)

    def apply_listing(self, listing: ExecutorListing, now_ms: int) -> bool:
        """Applies an executor's registry entry; returns whether its incarnation is newly listed."""
        return self._registry.apply_listing(listing, now_ms)

    def remove_listing(self, executor_id: str) -> bool:
        """Marks an executor as removed from the registry; returns whether it was listed before."""
        return self._registry.remove_listing(executor_id)

    def suspend_listing(self, executor_id: str) -> bool:
        """Gives an executor no new tasks until its registry entry can be read again.

        Returns whether the executor is known and was listed before.
        """
        return self._registry.suspend_listing(executor_id)

    def record_registry_read(self, now_ms: int) -> None:
        """Records that all changes of the registry up to now have been applied."""
        self.tables.registry_read_ms = now_ms

    def record_unreachable(self, executor_id: str, now_ms: int) -> None:
        """Records that an executor stopped responding; it is less preferred for a while."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is not None:
            executor.health.unreachable_ms = now_ms

    def expire_executor(self, executor_id: str, reason: str, now_ms: int) -> None:
        """Ends all runs of an unreachable executor; called once they have certainly ended there."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is None:
            return
        runs = list(executor.runs_by_task.values())
        end_lost_runs(self._context, executor, runs, reason, now_ms)
        executor.forget_life()
        if not executor.is_listed and not executor.has_unreadable_entry:
            del self.tables.executors_by_id[executor_id]

    def expire_listed_runs(self, executor_id: str, reason: str, now_ms: int) -> None:
        """Ends the runs of an unreachable executor, except those whose start is doubtful."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is not None:
            runs = [
                run for run in executor.runs_by_task.values() if not executor.is_start_doubtful(run)
            ]
            end_lost_runs(self._context, executor, runs, reason, now_ms)

    def executor_ids_with_runs(self) -> set[str]:
        """Returns the executors on which tasks are placed, listed or not."""
        executor_ids: set[str] = set()
        for job in self.tables.jobs_by_id.values():
            for run in job.live_runs():
                executor_ids.add(run.executor_id)
        return executor_ids

    def expire_orphans(self, lease_end_ms: Callable[[str], int], now_ms: int) -> None:
        """Ends recovered runs whose executor has not been listed again.

        `lease_end_ms` returns the time by which all runs that earlier owners started on an executor
        have certainly ended.
        """
        self._registry.expire_unattached_runs(lease_end_ms, now_ms)

    def apply_report(self, executor_id: str, report: ExecutorReport, now_ms: int) -> None:
        """Applies an executor's report; reports of older incarnations are ignored."""
        executor = self.tables.executors_by_id.get(executor_id)
        if executor is None:
            return
        if not self._registry.apply_reported_incarnation(executor, report, now_ms):
            return
        apply_report(self._context, executor, report, now_ms)

    def record_start_outcome(self, run: Run, outcome: StartOutcome, now_ms: int) -> None:
        """Applies the outcome of an order to start `run`."""
        task = self.tables.task(run.run_id.task)
        executor = self.tables.executors_by_id.get(run.executor_id)
        if task is None or executor is None or task.run is not run:
            return
        if outcome is not StartOutcome.UNKNOWN:
            executor.life.start_answered_ms = now_ms
        match outcome:
            case StartOutcome.STARTED:
                confirm_start(self._context, run, now_ms)
            case StartOutcome.UNKNOWN:
                handle_unanswered_start(self._context, run, now_ms)
            case _:
                handle_refused_start(self._context, executor, run, outcome, now_ms)

    def record_stop_confirmation(self, order: StopOrder, now_ms: int) -> None:
        """Records that the executor has confirmed a stop: it will not start that run any more."""
        task = self.tables.task(order.run_id.task)
        if task is None or task.run is None or task.run.run_id != order.run_id:
            return
        if task.run.stop_confirmed_ms is None:
            task.run.stop_confirmed_ms = now_ms

    def plan(self, now_ms: int) -> bool:
        """Runs one scheduling pass over all open jobs.

        Returns whether the pass ended early, so that another one should follow soon.
        """
        if now_ms - self._runs_checked_ms >= RUN_CHECK_PERIOD_MS:
            self._runs_checked_ms = now_ms
            self._check_runs(now_ms)
        stop_runs_on_draining_executors(self._context, now_ms)
        is_cut_short = plan(self._context, now_ms)
        if now_ms - self._capacity_sampled_ms >= CAPACITY_SAMPLE_PERIOD_MS:
            self._capacity_sampled_ms = now_ms
            usable = find_usable_executors(self.tables, now_ms, MAX_REPORT_AGE_MS)
            self._context.log("capacity_sampled", sample_fragmentation(self.tables, usable))
        if now_ms - self._use_sampled_ms >= USE_SAMPLE_PERIOD_MS:
            self._use_sampled_ms = now_ms
            self._context.log("use_sampled", sample_use(self._context, now_ms))
        return is_cut_short

    def _check_runs(self, now_ms: int) -> None:
        """Checks all runs for conditions that develop over time: overdue, stalled or slow."""
        abandon_overdue_starts(self._context, now_ms)
        withdraw_expired(self._context, now_ms)
        stop_stalled_runs(self._context, now_ms)
        check_gangs(self._context, now_ms)
        clear_survivors(self._context)
        update_speed_classes(self._context)
        update_predictions(self._context)

    def take_starts(self) -> list[Run]:
        """Removes and returns the starts to order, without runs that are no longer starting."""
        starts = self._context.orders.starts
        self._context.orders.starts = []
        return [run for run in starts if run.state is RunState.STARTING]

    def take_stops(self) -> list[StopOrder]:
        """Removes and returns the stops to order."""
        stops = self._context.orders.stops
        self._context.orders.stops = []
        return stops

    def take_unstored(
        self, limit: int, write_id: str, max_bytes: int = UNBOUNDED_BYTES
    ) -> list[UnstoredRow]:
        """Removes and returns up to `limit` rows to store, and none after `max_bytes` are reached.

        The last row may exceed that limit by its own size.  Rows that only tell that a job has
        begun are added to others, and are returned alone after `queue_begun_rows`.
        """
        tables = self.tables
        job_ids = dict.fromkeys(islice(tables.unstored_job_ids, limit))
        if job_ids:
            job_ids.update(
                dict.fromkeys(islice(tables.begun_ms_by_unstored_id, limit - len(job_ids)))
            )
        rows: list[UnstoredRow] = []
        size = 0
        for job_id in job_ids:
            if size >= max_bytes:
                break
            tables.unstored_job_ids.pop(job_id, None)
            is_begin_unstored = tables.begun_ms_by_unstored_id.pop(job_id, None) is not None
            job = tables.jobs_by_id.get(job_id)
            if job is None or (job.stored_revision >= job.revision and not is_begin_unstored):
                continue
            value = encode_progress(job, write_id)
            rows.append(UnstoredRow(job_id, job.revision, job.stored_version, value, job.state))
            size += len(value)
        return rows

    def oldest_unstored_begin_ms(self) -> int | None:
        """Returns since when the row of a begun job doesn't say so; None if all rows do."""
        return next(iter(self.tables.begun_ms_by_unstored_id.values()), None)

    def queue_begun_rows(self, begun_by_ms: int) -> None:
        """Has the rows of jobs that had begun by `begun_by_ms` returned even without others."""
        for job_id, begun_ms in self.tables.begun_ms_by_unstored_id.items():
            if begun_ms > begun_by_ms:
                break
            self.tables.unstored_job_ids[job_id] = None

    def mark_stored(self, row: UnstoredRow, version: int, now_ms: int) -> None:
        """Records that a row was stored, and queues the starts that waited for it."""
        job = self.tables.jobs_by_id.get(row.job_id)
        if job is None:
            return
        job.stored_revision = row.revision
        job.stored_version = version
        self._show_state(job, row.state, now_ms)
        order_stored_starts(self._context, job, now_ms)

    def _show_state(self, job: Job, state: JobState, now_ms: int) -> None:
        """Makes the stored state visible to callers; logs when they can see that the job ended."""
        was_final = job.visible_state.is_final
        job.visible_state = state
        if state.is_final and not was_final:
            fields = {"job_id": job.job_id, "age_ms": now_ms - job.accepted_ms}
            self._context.log("job_end_stored", fields)

    def acknowledged_upto(self, executor_id: str) -> int:
        """Returns the sequence number up to which the executor may discard its ends."""
        return advance_acknowledged_ends(self._context, self.tables.executors_by_id[executor_id])

    def has_unstored_ends(self, executor_id: str) -> bool:
        """Whether applied ends of the executor are not stored yet."""
        advance_acknowledged_ends(self._context, self.tables.executors_by_id[executor_id])
        return bool(self.tables.executors_by_id[executor_id].life.pending_ends)

    def speeds(self) -> dict[str, float]:
        """Returns the speeds of executors that differ from the average of 1.0, by id."""
        speeds = self._context.speeds.unusual_speeds()
        return {key: speed for key, speed in speeds.items() if key in self.tables.executors_by_id}

    def restore_speeds(self, speeds: dict[str, float]) -> None:
        """Initializes the speeds with those that an earlier scheduler measured."""
        self._context.speeds.restore(speeds)

    def run_times(self) -> dict[str, tuple[float, ...]]:
        """Returns the state of the run-time models by queue, for `restore_run_times`."""
        return self._context.run_times.stored_numbers()

    def restore_run_times(self, numbers_by_queue: dict[str, tuple[float, ...]]) -> None:
        """Restores the run-time models of an earlier scheduler, from the next pass on."""
        self._context.run_times.restore(numbers_by_queue)

    @property
    def suspect_count(self) -> int:
        """How many tasks are suspected to crash their executors."""
        count = 0
        for task_id in self.tables.crashed_task_ids:
            task = self.tables.task(task_id)
            if task is None:
                continue
            step = self.tables.jobs_by_id[task_id.job_id].steps[task_id.step_index]
            count += is_suspect(step, task)
        return count

    def waiting_by_queue(self) -> dict[str, int]:
        """Returns how many open jobs of each queue have not started any task."""
        counts: dict[str, int] = {}
        for job in self.tables.open_jobs_by_id.values():
            if not job.has_begun and job.announced_ms is None:
                name = job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def workspace_summaries(self) -> list[WorkspaceSummary]:
        """Returns what operators see of each workspace; empty without quotas and weights."""
        return summarize_workspaces(self._context)

    def forecast_starts(
        self, now_ms: int, over_share: frozenset[str] = frozenset()
    ) -> Forecast | None:
        """Returns when jobs submitted now could start, or None if none would have to wait.

        `over_share` holds the workspaces whose jobs are scheduled after others of their priority.
        The forecast assumes the order without quotas and weights, so with these there is none.
        """
        policy = self.tables.policy
        if policy.quota_by_workspace or policy.weight_by_workspace:
            return None
        return forecast_starts(self._context, over_share, now_ms)

    def find_jobs_ended_before(self, before_ms: int) -> list[str]:
        """Returns the ids of stored jobs that ended before `before_ms` and have no live runs."""
        job_ids: list[str] = []
        for job in self.tables.jobs_by_id.values():
            if not job.state.is_final or job.ended_ms >= before_ms or job.live_runs():
                continue
            if job.stored_revision < job.revision:
                continue
            job_ids.append(job.job_id)
        return job_ids

    def remove_job(self, job_id: str) -> None:
        """Removes a job that `find_jobs_ended_before` returned."""
        self._context.arrivals.remove(self.tables.jobs_by_id.pop(job_id))
