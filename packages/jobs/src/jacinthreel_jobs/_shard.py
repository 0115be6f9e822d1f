"""The shard core: the entry point for drivers, in the daemon as well as in benchmarks and tests.

`ShardCore.handle` takes an event and the time, and returns effects.  Each call runs the timers that
are due, applies the event, runs the planner if urgent jobs have to be planned (a tick plans all
jobs), and then sends the row changes and commands that may be sent.

Invariants, with the modules that maintain them:

- Nothing is placed or started unless the shard's lease is valid (`_gang_start`, `_worker_links`).
- Every write is conditional on the epoch row, every placement also on the configuration row, and
  a job has at most one change of its row in progress (`_rows`).
- A gang starts only after all its tasks are reserved, and is stopped as a whole (`_gang_start`,
  `_gang_down`).
- The resources of a task are freed only when the task is known not to run any more (`_reports`,
  `_worker_health`), and a job is queued again only after that holds for all of its tasks.
"""

from __future__ import annotations

import random
from typing import Any

from jacinthreel_common import JobRecord
from jacinthreel_jobs._context import ShardContext
from jacinthreel_jobs._effects import Effect
from jacinthreel_jobs._events import (
    ConfigApplied,
    Event,
    HostsListed,
    JobCancelled,
    JobSubmitted,
    LeaseRenewed,
    OwnershipGained,
    OwnershipLost,
    RowsRead,
    Tick,
    WorkerReplied,
    WorkerUnreachable,
    WriteDone,
)
from jacinthreel_jobs._gang_start import place
from jacinthreel_jobs._hosts import apply_hosts
from jacinthreel_jobs._leaving import drain_closed_zones, drain_recovered_gang, preempt
from jacinthreel_jobs._limits import (
    PLAN_PERIOD_MS,
    PLAN_PERIOD_QUEUE_STEP,
    REPLAN_MS,
    RETENTION_CHECK_MS,
)
from jacinthreel_jobs._planning import Place, Planner, PlanTrigger, Preempt, Promote
from jacinthreel_jobs._promotion import promote
from jacinthreel_jobs._recovery import load_rows
from jacinthreel_jobs._reports import apply_reply, apply_unreachable
from jacinthreel_jobs._rows import apply_rows_read, apply_write_done, flush_writes
from jacinthreel_jobs._settlement import apply_change_result, prune_ended
from jacinthreel_jobs._submission import answer_all_on_ownership_loss, cancel, submit
from jacinthreel_jobs._tables import Tables
from jacinthreel_jobs._view import list_records, shard_status
from jacinthreel_jobs._worker_links import flush_batches


class ShardCore:
    """The scheduling state and logic of one shard; does no I/O and reads no clock."""

    def __init__(self, shard: str, planner: Planner, rng: random.Random) -> None:
        self._planner = planner
        self._rng = rng
        self._ctx = ShardContext(Tables(shard), rng)

    @property
    def tables(self) -> Tables:
        """The entities of the shard; callers must not change them."""
        return self._ctx.tables

    @property
    def epoch(self) -> int:
        """The epoch under which this process owns the shard, or 0 if it does not."""
        return self._ctx.epoch

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Applies an event and returns the effects to carry out, in order."""
        ctx = self._ctx
        ctx.now_ms = max(ctx.now_ms, now_ms)
        if ctx.owns:
            ctx.timers.advance(ctx.now_ms)
        self._apply(event)
        ctx = self._ctx
        if ctx.urgent_plan_requested and ctx.urgent_job_ids:
            self._plan(PlanTrigger.URGENT)
        flush_writes(ctx)
        flush_batches(ctx)
        effects = ctx.effects
        ctx.effects = []
        return effects

    def status(self) -> dict[str, Any]:
        """Returns the summary of the shard as plain data."""
        return shard_status(self._ctx)

    def list_jobs(
        self, job_id: str = "", workspace: str = "", state: str = "", limit: int = 1000
    ) -> list[JobRecord]:
        """Returns the records of matching jobs, newest first; empty strings match all."""
        return list_records(self._ctx, job_id, workspace, state, limit)

    def idle(self) -> bool:
        """Whether no row change is pending and no caller waits; the shard can then be released."""
        ctx = self._ctx
        return not ctx.changes_by_job_id and not ctx.cancel_call_ids_by_job_id

    def _apply(self, event: Event) -> None:
        ctx = self._ctx
        match event:
            case Tick():
                ctx.unix_offset_ms = event.unix_ms - ctx.now_ms
                self._tick()
            case WorkerReplied():
                for gang in apply_reply(ctx, event) if ctx.owns else []:
                    drain_recovered_gang(ctx, gang)
            case WorkerUnreachable():
                if ctx.owns:
                    apply_unreachable(ctx, event)
            case WriteDone():
                for result in apply_write_done(ctx, event) if ctx.owns else []:
                    apply_change_result(ctx, self._planner, result)
            case RowsRead():
                for result in apply_rows_read(ctx, event) if ctx.owns else []:
                    apply_change_result(ctx, self._planner, result)
            case JobSubmitted():
                submit(ctx, event)
            case JobCancelled():
                cancel(ctx, event)
            case LeaseRenewed():
                if not ctx.lease_valid:
                    ctx.request_plan()
                ctx.lease_until_ms = max(ctx.lease_until_ms, event.lease_until_ms)
            case ConfigApplied():
                self._apply_config(event)
            case HostsListed():
                ctx.hosts = event.hosts
                apply_hosts(ctx)
            case OwnershipGained():
                self._gain_ownership(event)
            case OwnershipLost():
                self._lose_ownership()

    def _tick(self) -> None:
        ctx = self._ctx
        if not ctx.owns or not ctx.tables.queued_by_id:
            return
        since_plan_ms = ctx.now_ms - ctx.planned_ms
        period_ms = PLAN_PERIOD_MS * (1 + len(ctx.tables.queued_by_id) // PLAN_PERIOD_QUEUE_STEP)
        is_due = ctx.plan_requested and since_plan_ms >= period_ms
        if is_due or since_plan_ms >= REPLAN_MS:
            self._plan(PlanTrigger.TICK)

    def _plan(self, trigger: PlanTrigger) -> None:
        """Runs the planner and carries out its decisions."""
        ctx = self._ctx
        if not ctx.lease_valid or ctx.tables.config is None or not ctx.config_row_version:
            return
        ctx.urgent_plan_requested = False
        if trigger is PlanTrigger.TICK:
            ctx.plan_requested = False
            ctx.planned_ms = ctx.now_ms
        for decision in self._planner.plan(ctx.tables, trigger, ctx.now_ms):
            match decision:
                case Place():
                    refusal = place(ctx, decision)
                case Preempt():
                    refusal = preempt(ctx, decision)
                case Promote():
                    refusal = promote(ctx, decision)
            if refusal:
                kind = type(decision).__name__.lower()
                ctx.log("decision_refused", kind=kind, job_id=decision.job_id, reason=refusal)

    def _apply_config(self, event: ConfigApplied) -> None:
        """Applies a configuration unless a newer one is applied already, so that none reverts."""
        ctx = self._ctx
        current = ctx.tables.config
        if current is not None and event.config.version < current.version:
            return
        ctx.tables.config = event.config
        ctx.config_row_version = event.row_version
        ctx.request_plan()
        if ctx.owns:
            drain_closed_zones(ctx)

    def _gain_ownership(self, event: OwnershipGained) -> None:
        ctx = self._ctx
        self._reset()
        fresh = self._ctx
        fresh.effects = ctx.effects
        fresh.epoch = event.epoch
        fresh.epoch_row_version = event.epoch_row_version
        fresh.lease_until_ms = event.lease_until_ms
        fresh.ownership_gained_ms = fresh.now_ms
        fresh.unix_offset_ms = event.unix_ms - fresh.now_ms
        load_rows(fresh, self._planner, event.rows)
        apply_hosts(fresh)
        drain_closed_zones(fresh)
        fresh.timers.every(RETENTION_CHECK_MS, lambda _now_ms: prune_ended(fresh), fresh.now_ms)

    def _lose_ownership(self) -> None:
        answer_all_on_ownership_loss(self._ctx)
        effects = self._ctx.effects
        self._reset()
        self._ctx.effects = effects

    def _reset(self) -> None:
        """Discards all state except the configuration, the host list, the clocks and used ids."""
        old = self._ctx
        fresh = ShardContext(Tables(old.tables.shard, old.tables.config), self._rng)
        fresh.now_ms = old.now_ms
        fresh.unix_offset_ms = old.unix_offset_ms
        fresh.sequence = old.sequence
        fresh.hosts = old.hosts
        fresh.config_row_version = old.config_row_version
        self._ctx = fresh
