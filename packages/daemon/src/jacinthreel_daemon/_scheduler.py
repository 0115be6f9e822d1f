"""The scheduler role: takes part in the election, and schedules the shard's jobs while it is owner.

After a takeover the scheduler first reads the job rows; until that is done it rejects calls with
NOT_OWNER.  A graceful shutdown rejects new calls with NOT_OWNER, waits for pending writes whose
callers are waiting and for batches in flight to workers, and then releases the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Final

from jacinthreel_common import (
    CancelJob,
    Host,
    ListJobs,
    OwnerNotice,
    ReadQuery,
    ResultCode,
    ShardStatus,
    StreamReply,
    SubmitJob,
    Subscription,
    job_prefix,
    to_plain,
)
from jacinthreel_daemon._election_driver import ElectionDriver, OwnershipChange
from jacinthreel_daemon._http_server import HttpService
from jacinthreel_daemon._ownership import (
    RENEW_PERIOD_MS,
    Election,
    ShardGained,
    ShardLeaseRenewed,
    ShardLost,
)
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_daemon._process import DaemonProcess
from jacinthreel_daemon._settings import Settings
from jacinthreel_daemon._shard_driver import ShardDriver
from jacinthreel_daemon._shard_summary import summarize_shard
from jacinthreel_daemon._streams import StreamConnection
from jacinthreel_daemon._worker_client import WorkerClients
from jacinthreel_jobs import (
    ConfigApplied,
    GuaranteePlanner,
    HostsListed,
    JobCancelled,
    JobSubmitted,
    LeaseRenewed,
    OwnershipGained,
    OwnershipLost,
    ShardCore,
    Tick,
)

TICK_MS: Final = 100
LEASE_CHECK_MS: Final = 100
NOT_OWNER_RETRY_AFTER_MS: Final = 500
IDLE_TIMEOUT_S: Final = 3.0
BATCH_DRAIN_TIMEOUT_S: Final = 2.0
CALL_DRAIN_TIMEOUT_S: Final = 5.0
DRAIN_POLL_S: Final = 0.02


class SchedulerProcess(DaemonProcess):
    """One scheduler process."""

    role = "scheduler"

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, settings.budgets.scheduler_writes_per_s)
        self.shard = settings.region
        self.workers = WorkerClients()
        self.shard_driver = ShardDriver(
            ShardCore(self.shard, GuaranteePlanner(), self.rng),
            self.store,
            self.workers,
            self.clock,
            self.metrics,
            self.log,
            self.rng,
            self.spawn,
            self._step_down,
            lambda: self._poll_rows(),
        )
        nonce = f"{settings.host_id}-{self.rng.getrandbits(64):016x}"
        port = settings.scheduler.stream_port
        election = Election(self.shard, settings.host_id, settings.public_address, port, nonce)
        self.election_driver = ElectionDriver(
            election, self.shard, self.store, self.clock, self.spawn, self._on_ownership_change
        )
        self._lease_was_valid = False
        self._calls_in_progress = 0
        self._tick_subscription: Subscription | None = None

    def start(self) -> None:
        """Starts serving calls and taking part in the election."""
        self.hub.on_call(SubmitJob, self._serve_submit)
        self.hub.on_call(CancelJob, self._serve_cancel)
        self.hub.on_call(ListJobs, self._serve_list)
        self.hub.on_call(ShardStatus, self._serve_shard_status)
        self.config.subscribe(self._on_config)
        self.hosts.subscribe(self._on_hosts)
        self.rows.follow(self.election_driver)
        self.timers.every(RENEW_PERIOD_MS, self.election_driver.renew_lease)
        self.timers.every(LEASE_CHECK_MS, self._log_lease_change)

    async def shutdown(self, http: HttpService) -> None:
        """Releases the shard and finishes the calls in progress."""
        await self._wait_until_idle()
        self.shard_driver.feed(OwnershipLost())
        await self.shard_driver.drain_batches(BATCH_DRAIN_TIMEOUT_S)
        await self.election_driver.release()
        self.hub.stop_listening()
        await self._wait_for_calls()
        await http.drain(self.settings.shutdown.drain_limit_ms)

    def routes(self) -> Sequence[Any]:
        """Returns no routes: a scheduler serves only health and metrics."""
        return []

    def http_port(self) -> int:
        """Returns the port on which HTTP is served."""
        return self.settings.scheduler.http_port

    def stream_port(self) -> int:
        """Returns the port on which streams are accepted."""
        return self.settings.scheduler.stream_port

    def peer_addresses(self, hosts: list[Host]) -> set[tuple[str, int]]:
        """Returns no addresses: routers open the connections to schedulers."""
        return set()

    def owned_epoch(self) -> int:
        """Returns the epoch in which this process owns the shard, or 0 if it does not own it."""
        return self.election_driver.election.epoch if self.election_driver.election.is_owner else 0

    def refresh_metrics(self) -> None:
        """Updates the gauges; called before `/metrics` is served."""
        super().refresh_metrics()
        tables = self.shard_driver.core.tables
        self.metrics.gauge("shard_epoch", self.owned_epoch())
        self.metrics.gauge("shard_lease_valid", int(self.election_driver.is_lease_valid()))
        self.metrics.gauge("jobs_queued", len(tables.queued_by_id))
        self.metrics.gauge("jobs_active", len(tables.active_by_id))

    def _tick(self, now_ms: int) -> None:
        if not self.shard_driver.core.epoch:
            self._stop_ticks()
            return
        self.shard_driver.feed(Tick(self.clock.unix_ms()))

    def _stop_ticks(self) -> None:
        """Stops the ticks, which only an owner needs."""
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
            self._tick_subscription = None

    def _step_down(self, reason: str) -> None:
        self.election_driver.step_down(reason)

    def _on_ownership_change(self, change: OwnershipChange) -> None:
        match change:
            case ShardGained():
                fields = {"shard": self.shard, "epoch": change.epoch}
                self.log.info("ownership_gained", fields)
                self.metrics.count("takeovers_total")
                self.spawn(self._load_shard(change))
            case ShardLeaseRenewed(lease_until_ms=lease_until_ms):
                if self.shard_driver.core.epoch:
                    self.shard_driver.feed(LeaseRenewed(lease_until_ms))
            case ShardLost(reason=reason):
                fields = {"shard": self.shard, "epoch": self.election_driver.election.epoch}
                self.log.warning("ownership_lost", {**fields, "reason": reason})
                self.shard_driver.feed(OwnershipLost())

    def _log_lease_change(self, now_ms: int) -> None:
        """Logs when the lease of an owner expires, and when a renewal makes it valid again."""
        is_valid = self.election_driver.is_lease_valid()
        if is_valid == self._lease_was_valid:
            return
        self._lease_was_valid = is_valid
        fields = {"shard": self.shard, "epoch": self.owned_epoch()}
        if is_valid:
            self.log.info("lease_valid", fields)
        elif self.election_driver.election.is_owner:
            self.log.warning("lease_expired", fields)

    async def _load_shard(self, gained: ShardGained) -> None:
        election = self.election_driver.election
        query = ReadQuery(prefixes=[job_prefix(self.shard)])
        rows = await self.shard_driver.read_with_retries(
            query, lambda: election.is_owner and election.epoch == gained.epoch
        )
        if rows is None:
            return
        event = OwnershipGained(
            gained.epoch,
            gained.epoch_row_version,
            election.lease_until_ms,
            rows,
            self.clock.unix_ms(),
        )
        self.shard_driver.feed(event)
        self._stop_ticks()
        self._tick_subscription = self.timers.every(TICK_MS, self._tick)
        self.log.info("shard_loaded", {"epoch": gained.epoch, "job_rows": len(rows)})
        self.hub.notify_all(self._owner_notice())

    def _owner_notice(self) -> OwnerNotice:
        return OwnerNotice(
            self.shard,
            self.election_driver.election.epoch,
            self.settings.public_address,
            self.settings.scheduler.stream_port,
        )

    def _on_connection(self, connection: StreamConnection) -> None:
        super()._on_connection(connection)
        if self.shard_driver.core.epoch:
            connection.notify(self._owner_notice())

    def _on_config(self, applied: AppliedConfig) -> None:
        self.shard_driver.feed(ConfigApplied(applied.config, applied.row_version))

    def _on_hosts(self, hosts: list[Host]) -> None:
        self.workers.set_hosts(hosts)
        self.shard_driver.feed(HostsListed(hosts))

    async def _serve_submit(self, message: SubmitJob) -> StreamReply:
        unix_ms = self.clock.unix_ms()
        return await self._serve_change(
            lambda call_id: JobSubmitted(call_id, message.spec, unix_ms)
        )

    async def _serve_cancel(self, message: CancelJob) -> StreamReply:
        return await self._serve_change(lambda call_id: JobCancelled(call_id, message.job_id))

    async def _serve_change(self, make_event: Any) -> StreamReply:
        if not self._is_serving():
            return self._not_owner_reply()
        self._calls_in_progress += 1
        try:
            return await self.shard_driver.submit(make_event)
        finally:
            self._calls_in_progress -= 1

    async def _serve_list(self, message: ListJobs) -> StreamReply:
        if not self._is_serving():
            return self._not_owner_reply()
        records = self.shard_driver.core.list_jobs(
            message.job_id, message.workspace, message.state, message.limit
        )
        return StreamReply(ResultCode.OK, body=to_plain(records))

    async def _serve_shard_status(self, message: ShardStatus) -> StreamReply:
        if not self._is_serving():
            return self._not_owner_reply()
        core = self.shard_driver.core
        reply = summarize_shard(core.tables, core.epoch, self.settings.host_id, self.clock.now_ms())
        return StreamReply(ResultCode.OK, body=to_plain(reply))

    def _is_serving(self) -> bool:
        return bool(self.shard_driver.core.epoch) and not self.state.draining

    def _not_owner_reply(self) -> StreamReply:
        detail = "this scheduler does not own the shard"
        return StreamReply(ResultCode.NOT_OWNER, detail, NOT_OWNER_RETRY_AFTER_MS)

    async def _wait_until_idle(self) -> None:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                while not self.shard_driver.core.idle():
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self.log.warning("writes_pending", {})

    async def _wait_for_calls(self) -> None:
        try:
            async with asyncio.timeout(CALL_DRAIN_TIMEOUT_S):
                while self._calls_in_progress:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self.log.warning("calls_pending", {"count": self._calls_in_progress})
