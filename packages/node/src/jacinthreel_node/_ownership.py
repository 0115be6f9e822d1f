"""Runs the owner's work: loads all jobs, follows table changes and drives the scheduler.

All tables are read and loaded into the scheduler.  Then the table followers, the progress writer
and a link to each executor run until the ownership ends.  Planning is coalesced: each event
requests a planning pass, and passes are at least `MIN_PLAN_INTERVAL_MS` apart.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, Hello, IntakeInserted, LeasesLeft, RelayReport
from jacinthreel_daemon.plumbing import Clock, MetricsRegistry
from jacinthreel_node._contact_fences import ContactFences
from jacinthreel_node._ended_job_sweeper import EndedJobSweeper
from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._executor_grants import ExecutorGrants
from jacinthreel_node._executor_link import LinkContext
from jacinthreel_node._former_leases import (
    MAX_OUTAGE_RENEWAL_MS,
    FormerLeases,
    FormerOwner,
)
from jacinthreel_node._intake import (
    CancelStored,
    insert_cancellation,
    insert_intake_row,
    insert_known_cancellation,
)
from jacinthreel_node._job_rows import JobRows
from jacinthreel_node._listings import Listings
from jacinthreel_node._pass_times import PassTimes
from jacinthreel_node._ports import (
    ExecutorGateway,
    KeyedStore,
    PlatformRowDecoder,
    Row,
    RowWrite,
    Snapshot,
)
from jacinthreel_node._progress_writer import ProgressWriter
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    GRANTS_KEY,
    INTAKE_TABLE,
    LEASE_TABLE,
    OWNER_TABLE,
    PROGRESS_TABLE,
    RELAYS_KEY,
    EarlierLeases,
    LeaseRow,
    OwnerRow,
    decode_grants,
    encode_record,
)
from jacinthreel_node._relays._fleet import ExecutorFleet
from jacinthreel_node._relays._relay_links import RelayStreams
from jacinthreel_node._relays._relay_session import LONGEST_PERMISSION_MS
from jacinthreel_node._routing import PolicyView
from jacinthreel_node._settings import NodeSettings
from jacinthreel_node._slow_steps import measure_step
from jacinthreel_node._speed_store import ExecutorSpeedStore
from jacinthreel_node._table_follower import TableFollower
from jacinthreel_steps import JobState, Scheduler

MIN_PLAN_INTERVAL_MS: Final = 20
PLAN_SHARE_DIVISOR: Final = 3  # Passes may take 1/3 of the process's time,
PLAN_SHARE_DIVISOR_RELAYS: Final = 4  # and 1/4 with relays.
PERIODIC_CHECK_MS: Final = 250
FEED_WAIT_MS: Final = 1_500
NARROW_GRANTS_AFTER_MS: Final = 800
LISTING_FEED_PAUSE_MS: Final = 100  # With hundreds of executors a row changes every few ms.
LOAD_TIMEOUT_MS: Final = 3_000
LOAD_RETRY_MS: Final = 200


@dataclass(frozen=True, slots=True)
class OwnershipServices:
    """Parts of the process that every ownership uses; they outlast each ownership."""

    settings: NodeSettings
    store: KeyedStore
    gateway: ExecutorGateway
    row_decoder: PlatformRowDecoder
    policy: PolicyView
    clock: Clock
    metrics: MetricsRegistry
    streams: RelayStreams
    log: Callable[[str, dict[str, Any]], None]


class Ownership:
    """One ownership of all jobs, from the takeover to its end.

    `on_lost` is called with a reason when the ownership has to end.  `may_order` tells whether the
    last renewal of the owner's lease is recent enough to send orders to executors, and
    `may_grant_long` whether it is for leases beyond the shortest one.  `former` is the replaced
    owner, None if no readable row names one.
    """

    def __init__(
        self,
        services: OwnershipServices,
        owner: OwnerRow,
        owner_version: int,
        on_lost: Callable[[str], None],
        may_order: Callable[[], bool],
        may_grant_long: Callable[[], bool],
        former: FormerOwner | None,
    ) -> None:
        settings, store, clock = services.settings, services.store, services.clock
        self._store = store
        self._row_decoder = services.row_decoder
        self._policy = services.policy
        self._clock = clock
        self._metrics = services.metrics
        self._log = services.log
        self._on_lost = on_lost
        self.epoch = owner.epoch
        self.is_loaded = False
        self.scheduler = Scheduler(services.log, settings.run_stop_limit_ms)
        self._takeover_ms = clock.now_ms()
        longest_ms = max_lease_validity_ms(settings.lease_limits.longest_ms)
        self.former_leases = FormerLeases(
            self._takeover_ms + MAX_OUTAGE_RENEWAL_MS + longest_ms,
            longest_ms,
            LONGEST_PERMISSION_MS,
            former,
        )
        self.former_leases.record_takeover(self._takeover_ms)
        self._are_relays_recorded = False
        self._tasks: list[asyncio.Task[None]] = []
        self._is_plan_pending = False
        self._last_plan_ms = 0
        self._plan_took_ms = 0
        self._pass_times = PassTimes(services.log, self._takeover_ms)
        self._grants = ExecutorGrants(store, owner.epoch, owner_version, on_lost, services.log)
        self._writer = ProgressWriter(
            store,
            self.scheduler,
            owner_version,
            owner.nonce,
            clock,
            services.metrics,
            self._on_batch_stored,
            on_lost,
            services.log,
        )
        self._ended_job_sweeper = EndedJobSweeper(
            store, self.scheduler, settings.status_keep_ms, owner_version, services.log
        )
        self._job_rows = JobRows(
            self.scheduler, self._ended_job_sweeper, clock, lambda: self.is_loaded, services.log
        )
        self._speed_store = ExecutorSpeedStore(store, self.scheduler, services.log)
        link_context = LinkContext(
            services.gateway,
            self.scheduler,
            clock,
            owner.epoch,
            ContactFences(owner.epoch),
            settings.lease_limits,
            self.former_leases,
            may_order,
            may_grant_long,
            self._grants.may_grant,
            self._writer.wait_stored,
            self.request_plan,
            lambda executor_id: on_lost(f"executor {executor_id} reports a newer owner"),
            self._end_after_error,
            services.log,
        )
        self.fleet = ExecutorFleet(link_context, services.streams, self._record_relay_use)
        self._listings = Listings(
            services.row_decoder,
            self.scheduler,
            self.fleet,
            clock,
            lambda: self.is_loaded,
            services.log,
        )

    def start(self) -> None:
        """Starts loading the tables, followed by the owner's work."""
        self._spawn(self._load_and_run())

    def stop(self) -> None:
        """Cancels all tasks and closes all links; no orders are sent afterwards."""
        for task in self._tasks:
            task.cancel()
        self.fleet.close()

    def remaining_leases(self) -> LeasesLeft:
        """Returns the remaining lease times; call before `stop`, and send no orders afterwards."""
        return self.former_leases.remaining(self.fleet.lease_ends(), self._clock.now_ms())

    def earlier_leases(self) -> EarlierLeases:
        """Returns what owners before this one may still have granted, to store with the lease."""
        now_ms = self._clock.now_ms()
        if now_ms >= self.former_leases.latest_end_ms:
            return EarlierLeases({}, 0)
        executor_ids = self._job_rows.executor_ids_with_runs() if self.is_loaded else None
        return self.former_leases.remaining_of_earlier_owners(
            executor_ids, self._grants.has_granted, now_ms
        )

    def handle_relay_report(self, peer: Hello, message: RelayReport) -> None:
        """Applies a report of a relay."""
        self.fleet.handle_report(peer, message)

    @property
    def long_lease_count(self) -> int:
        """The number of executors whose last lease was longer than the shortest one."""
        return self.fleet.long_lease_count

    async def flush(self, timeout_ms: int) -> None:
        """Waits until all scheduler decisions are stored, or until the timeout."""
        now_ms = self._clock.now_ms()
        end_ms = now_ms + timeout_ms
        self.scheduler.queue_begun_rows(now_ms)
        while self.scheduler.tables.unstored_job_ids or not self._writer.is_idle:
            if self._clock.now_ms() >= end_ms:
                return
            self._writer.wake()
            await self._writer.wait_stored(50)

    def job_state(self, job_id: str) -> JobState | None:
        """Returns the stored state of a job, or None if the job is unknown."""
        job = self.scheduler.tables.jobs_by_id.get(job_id)
        if job is None or job.announced_ms is not None:
            return None
        return job.visible_state

    def announce_job(self, job_id: str, value: bytes) -> None:
        """Adds a job whose acceptance is being stored; ignored until the tables are loaded."""
        if self.is_loaded and self._job_rows.announce(job_id, value):
            self.request_plan()

    def apply_intake_row(self, row: Row) -> None:
        """Applies an intake row that was just stored; ignored until the tables are loaded."""
        if self.is_loaded:
            self._apply_intake_rows((row,))

    async def insert_intake(
        self, key: str, value: bytes, timeout_ms: int
    ) -> Result[IntakeInserted, Fault]:
        """Inserts an intake row for a node without store access.

        Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN, JOB_CANCELLED.
        """
        if key.startswith(CANCEL_PREFIX):
            return await self._insert_cancellation(key, value, timeout_ms)
        match await insert_intake_row(self._store, key, value, timeout_ms):
            case Success(None):
                return Success(IntakeInserted(False))
            case Success(int() as version):
                self.apply_intake_row(Row(INTAKE_TABLE, key, value, version))
                return Success(IntakeInserted(True))
            case Failure(Fault() as fault):
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    async def _insert_cancellation(
        self, key: str, value: bytes, timeout_ms: int
    ) -> Result[IntakeInserted, Fault]:
        is_known = self.job_state(key.removeprefix(CANCEL_PREFIX)) is not None
        insert = insert_known_cancellation if is_known else insert_cancellation
        match await insert(self._store, key, value, timeout_ms):
            case Success(CancelStored(has_job=has_job, row=row)):
                if row is not None:
                    self.apply_intake_row(row)
                return Success(IntakeInserted(row is not None, has_job))
            case Failure(Fault() as fault):
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    def apply_current_policy(self) -> None:
        """Passes the current policy to the scheduler after a change."""
        self.scheduler.apply_policy(self._policy.scheduling_policy())
        self.request_plan()

    def request_plan(self) -> None:
        """Schedules a planning pass, unless one is pending or the tables are not loaded."""
        if self._is_plan_pending or not self.is_loaded:
            return
        self._is_plan_pending = True
        delay_ms = max(0, self._last_plan_ms + self._plan_interval_ms() - self._clock.now_ms())
        asyncio.get_running_loop().call_later(delay_ms / 1000, self._plan_or_end)

    def _plan_interval_ms(self) -> int:
        """Returns the minimum time between the starts of passes.

        It depends on the last pass: one over thousands of executors or tasks takes tens of ms.
        """
        divisor = PLAN_SHARE_DIVISOR_RELAYS if self.fleet.uses_relays else PLAN_SHARE_DIVISOR
        return max(MIN_PLAN_INTERVAL_MS, divisor * self._plan_took_ms)

    def _plan_or_end(self) -> None:
        """Plans; an error ends the ownership, which would place nothing and still look alive."""
        try:
            self._plan()
        except Exception as error:
            self._end_after_error(error)

    def _plan(self) -> None:
        self._is_plan_pending = False
        if not self.is_loaded or self._policy.current is None:
            return  # Without a configuration the quotas are not known.
        started_ms = self._clock.now_ms()
        self._last_plan_ms = started_ms
        with measure_step(self._clock, self._log, "plan"):
            is_cut_short = self.scheduler.plan(started_ms)
        self._plan_took_ms = self._clock.now_ms() - started_ms
        self._metrics.observe_ms("plan_ms", self._plan_took_ms)
        self._pass_times.record(started_ms, self._plan_took_ms, is_cut_short)
        self._send_orders()
        self._writer.wake()
        if is_cut_short:
            self.request_plan()

    def _on_batch_stored(self) -> None:
        self._send_orders()
        self.fleet.relays.acknowledge_stored()
        self.request_plan()

    def _send_orders(self) -> None:
        for stop in self.scheduler.take_stops():
            self.fleet.send(stop)
        for run in self.scheduler.take_starts():
            self.fleet.send(run)

    async def _load_and_run(self) -> None:
        versions, _ = await asyncio.gather(self._load(), self._speed_store.load())
        self.is_loaded = True
        self._metrics.count("takeovers_total")
        self._log(
            "owner_ready",
            {
                "epoch": self.epoch,
                "jobs": len(self.scheduler.tables.jobs_by_id),
                "open": len(self.scheduler.tables.open_jobs_by_id),
                "executors": len(self.scheduler.tables.executors_by_id),
                "took_ms": self._clock.now_ms() - self._takeover_ms,
                "former_leases": self.former_leases.source,
                "former_wait_ms": self.former_leases.wait_ms(self._clock.now_ms()),
            },
        )
        self._spawn(self._writer.run())
        self._follow_table(
            INTAKE_TABLE, self._apply_intake_rows, self._apply_intake_rows, versions[INTAKE_TABLE]
        )
        self._follow_table(
            self._row_decoder.executor_table,
            self._apply_listing_snapshot,
            self._apply_listing_changes,
            versions[self._row_decoder.executor_table],
            LISTING_FEED_PAUSE_MS,
            self._listings.record_read,
        )
        self._spawn(self._run_periodic_checks())
        self._spawn(self.fleet.run())
        self._spawn(self._grants.run())
        self._spawn(self._narrow_grants())
        self._spawn(self._ended_job_sweeper.run(self._clock))
        self._spawn(self._speed_store.run())
        self.request_plan()

    def _follow_table(
        self,
        table: str,
        on_snapshot: Callable[[tuple[Row, ...]], None],
        on_changes: Callable[[tuple[Row, ...]], None],
        version: int,
        read_pause_ms: int = 0,
        on_read: Callable[[], None] = lambda: None,
    ) -> None:
        follower = TableFollower(
            self._store,
            table,
            FEED_WAIT_MS,
            on_snapshot,
            on_changes,
            self._log,
            read_pause_ms=read_pause_ms,
            on_read=on_read,
        )
        self._spawn(follower.run(version))

    async def _load(self) -> dict[str, int]:
        """Loads all tables into the scheduler; returns the versions of the tables to follow."""
        (progress, intake), listings, relay_use, grants = await asyncio.gather(
            self._read_jobs(),
            self._read_until_available(self._row_decoder.executor_table),
            self._read_until_available(LEASE_TABLE, RELAYS_KEY),
            self._read_until_available(OWNER_TABLE, GRANTS_KEY),
        )
        grants_row = grants.rows[0] if grants.rows else None
        self._grants.record_stored(grants_row)
        self._are_relays_recorded = bool(relay_use.rows)
        if not relay_use.rows:
            self.former_leases.exclude_relays()
            if grants_row is not None and grants_row.value is not None:
                self.former_leases.record_grants(decode_grants(grants_row.value))
            self.former_leases.record_takeover(self._takeover_ms)
        self.scheduler.apply_policy(self._policy.scheduling_policy())
        await self._job_rows.load(intake.rows, progress.rows)
        self.fleet.begin(len(listings.rows))
        self._listings.apply_snapshot(listings.rows)
        self._listings.record_read()
        return {
            INTAKE_TABLE: intake.version,
            self._row_decoder.executor_table: listings.version,
        }

    async def _narrow_grants(self) -> None:
        """Shows a next owner which executors this one has not reached, if tasks are placed there.

        Not with relays, which grant leases without asking.
        """
        await asyncio.sleep(NARROW_GRANTS_AFTER_MS / 1000)
        executor_ids = self._job_rows.executor_ids_with_runs()
        if executor_ids is None or self.fleet.uses_relays:
            return
        if not all(self._grants.has_granted(executor_id) for executor_id in executor_ids):
            await self._grants.narrow()

    async def _read_jobs(self) -> tuple[Snapshot, Snapshot]:
        """Reads progress and intake.

        Progress is read first, because progress without an intake row counts as that of a deleted
        job.
        """
        progress = await self._read_until_available(PROGRESS_TABLE)
        intake = await self._read_until_available(INTAKE_TABLE)
        return progress, intake

    async def _record_relay_use(self) -> bool:
        """Stores that relays are used, for later owners; returns whether that is stored."""
        await self._grants.keep_all()
        if not self._are_relays_recorded:
            row = RowWrite(LEASE_TABLE, RELAYS_KEY, encode_record(LeaseRow(self.epoch, 0)))
            match await self._store.commit([], [row], LOAD_TIMEOUT_MS):
                case Success(_):
                    self._are_relays_recorded = True
                case Failure(Fault(detail=detail)):
                    self._log("relay_use_not_recorded", {"reason": detail})
        return self._are_relays_recorded

    async def _read_until_available(self, table: str, key: str | None = None) -> Snapshot:
        while True:
            match await self._store.read(table, LOAD_TIMEOUT_MS, key):
                case Success(Snapshot() as snapshot):
                    return snapshot
                case Failure(Fault() as fault):
                    self._log("owner_load_failed", {"table": table, "reason": fault.detail})
            await asyncio.sleep(LOAD_RETRY_MS / 1000)

    def _apply_intake_rows(self, rows: tuple[Row, ...]) -> None:
        self._job_rows.apply_changes(rows)
        self.request_plan()

    def _apply_listing_snapshot(self, rows: tuple[Row, ...]) -> None:
        self._listings.apply_snapshot(rows)
        self.request_plan()

    def _apply_listing_changes(self, rows: tuple[Row, ...]) -> None:
        self._listings.apply_changes(rows)
        self.request_plan()

    async def _run_periodic_checks(self) -> None:
        while True:
            await asyncio.sleep(PERIODIC_CHECK_MS / 1000)
            now_ms = self._clock.now_ms()
            self.fleet.expire_unreachable()
            self._close_unlisted_links()
            self.scheduler.expire_orphans(self.former_leases.end_ms, now_ms)
            self.request_plan()

    def _close_unlisted_links(self) -> None:
        for executor_id in self.fleet.executor_ids:
            if executor_id not in self.scheduler.tables.executors_by_id:
                self.fleet.remove(executor_id)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(self._guard(coroutine)))

    async def _guard(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self._end_after_error(error)

    def _end_after_error(self, error: Exception) -> None:
        """Ends the ownership after a broken invariant.

        The stored state is consistent, so a new ownership can start from it.
        """
        lines = traceback.format_exception(error)
        self._log("owner_failed", {"error": repr(error), "trace": "".join(lines)[-2_000:]})
        self._on_lost(f"unexpected error: {error!r}")
