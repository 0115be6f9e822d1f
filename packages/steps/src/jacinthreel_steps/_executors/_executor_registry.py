"""The executors as the registry lists them: new, changed, removed and restarted ones.

An executor that restarts becomes another incarnation: the runs of the earlier one have ended, and
its ends are numbered anew.  Incarnations are named by the wall clock of the executor, which may be
set back, so that a later one may have a lower number.  Only a report shows that it has restarted,
because its entry may be by another writer; an entry that names a later incarnation only keeps new
runs away until then.  Runs that were restored from storage before their executor was listed are
kept until it is.
"""

from __future__ import annotations

from collections.abc import Callable

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import ExecutorListing, ExecutorReport
from jacinthreel_steps._runs._reports import end_lost_run, record_loss
from jacinthreel_steps._tables import Executor, ExecutorLife, Run


class ExecutorRegistry:
    """Applies registry entries to the tables."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._unattached_runs_by_executor: dict[str, list[Run]] = {}

    def apply_listing(self, listing: ExecutorListing, now_ms: int) -> bool:
        """Applies an executor's registry entry; returns whether its incarnation is newly listed."""
        executor = self._context.tables.executors_by_id.get(listing.executor_id)
        if executor is None:
            executor = Executor(listing, last_report_ms=now_ms)
            self._context.tables.executors_by_id[listing.executor_id] = executor
            self._attach_recovered_runs(executor, now_ms)
            self._update_earliest_shutdown(executor, now_ms)
            return True
        is_other_life = listing.incarnation != executor.listing.incarnation
        is_new = not executor.is_listed or is_other_life
        executor.is_listed = True
        executor.has_unreadable_entry = False
        executor.listing = listing
        if is_other_life:
            executor.earliest_shutdown_ms = None
        self._update_earliest_shutdown(executor, now_ms)
        return is_new

    def apply_reported_incarnation(
        self, executor: Executor, report: ExecutorReport, now_ms: int
    ) -> bool:
        """Applies the incarnation of a report; returns false if it may be of an older one.

        A report that was requested after one of the current incarnation had arrived is not.
        """
        life = executor.life
        if life.has_reported and life.incarnation != report.incarnation:
            if report.sent_ms < life.seen_ms:
                return False
            self._end_life(executor, report, now_ms)
        if not executor.life.has_reported:
            self._begin_life(executor, report.incarnation, now_ms)
        executor.life.seen_ms = now_ms - report.age_ms
        return True

    def remove_listing(self, executor_id: str) -> bool:
        """Marks an executor as removed from the registry; its runs may continue for a while.

        Returns whether it was listed before.
        """
        executor = self._context.tables.executors_by_id.get(executor_id)
        if executor is None or not (executor.is_listed or executor.has_unreadable_entry):
            return False
        executor.is_listed = False
        executor.has_unreadable_entry = False
        return True

    def suspend_listing(self, executor_id: str) -> bool:
        """Gives an executor no new tasks until its registry entry can be read again.

        Unlike one that was removed from the registry, it stays in the tables while it is
        unreachable, so that the ends of its runs are read afterwards.  Returns whether the executor
        is known and was listed before.
        """
        executor = self._context.tables.executors_by_id.get(executor_id)
        if executor is None or not executor.is_listed:
            return False
        executor.is_listed = False
        executor.has_unreadable_entry = True
        return True

    def attach_run(self, run: Run) -> None:
        """Adds a run that was restored from storage to its executor, once that is listed."""
        executor = self._context.tables.executors_by_id.get(run.executor_id)
        if executor is not None:
            executor.add_run(run)
        else:
            self._unattached_runs_by_executor.setdefault(run.executor_id, []).append(run)

    def expire_unattached_runs(self, lease_end_ms: Callable[[str], int], now_ms: int) -> None:
        """Ends the runs of executors that were not listed by the end of all leases there."""
        for executor_id, runs in list(self._unattached_runs_by_executor.items()):
            if now_ms < lease_end_ms(executor_id):
                continue
            del self._unattached_runs_by_executor[executor_id]
            for run in runs:
                task = self._context.tables.task(run.run_id.task)
                if task is not None and task.run is run:
                    reason = "executor not listed again"
                    has_left = run.is_executor_leaving
                    end_lost_run(self._context, run, reason, now_ms, has_left)

    def _attach_recovered_runs(self, executor: Executor, now_ms: int) -> None:
        """Attaches runs that were restored from storage before their executor was listed."""
        for run in self._unattached_runs_by_executor.pop(executor.executor_id, ()):
            task = self._context.tables.task(run.run_id.task)
            if task is not None and task.run is run:
                executor.add_run(run)

    def _end_life(self, executor: Executor, report: ExecutorReport, now_ms: int) -> None:
        """Ends the life before a report of another one; the runs that only it reported ended.

        Runs that it never reported are reconciled with the reports of the next life, and so are
        those in `report`: a start that was sent twice may be carried out by both lives.
        """
        record_loss(self._context, executor, "executor restarted", now_ms)
        listed = {run.run_id for run in report.running} | {end.run_id for end in report.ended}
        for run in list(executor.runs_by_task.values()):
            if run.reported_incarnation is None or run.run_id in listed:
                continue
            has_left = run.is_executor_leaving
            end_lost_run(self._context, run, "executor restarted", now_ms, has_left)
        executor.forget_life()

    def _begin_life(self, executor: Executor, incarnation: int, now_ms: int) -> None:
        """Begins the life of an executor that has sent its first report, or the first after a loss.

        If its entry is of an earlier incarnation, the executor was lost unnoticed.
        """
        listed = executor.listing.incarnation
        fields = {"executor": executor.executor_id, "incarnation": incarnation, "listed": listed}
        self._context.log("executor_life_begun", fields)
        if incarnation > listed:
            record_loss(self._context, executor, "executor restarted", now_ms)
        executor.last_incarnation = incarnation
        executor.life = ExecutorLife(incarnation, has_reported=True)

    def _update_earliest_shutdown(self, executor: Executor, now_ms: int) -> None:
        listing = executor.listing
        self._mark_runs(executor)
        if not listing.is_draining:
            executor.earliest_shutdown_ms = None
        elif listing.remaining_ms is not None and executor.earliest_shutdown_ms is None:
            executor.earliest_shutdown_ms = now_ms + listing.remaining_ms
            fields = {
                "executor": listing.executor_id,
                "remaining_ms": listing.remaining_ms,
                "runs": len(executor.runs_by_task),
            }
            self._context.log("executor_leaving", fields)

    def _mark_runs(self, executor: Executor) -> None:
        """Stores for the runs of an executor whether it has announced its shutdown."""
        if executor.life.has_reported and not executor.is_entry_current:
            return  # The entry says nothing about the process that has the runs.
        for run in executor.runs_by_task.values():
            if run.is_executor_leaving is executor.listing.is_draining:
                continue
            run.is_executor_leaving = executor.listing.is_draining
            self._context.tables.bump_revision(
                self._context.tables.jobs_by_id[run.run_id.task.job_id]
            )
