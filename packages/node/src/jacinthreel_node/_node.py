"""The node process of an entry host: serves callers and takes part in the owner election.

Every node accepts jobs and follows the operator table and the owner table; one node at a time owns
the jobs.  On shutdown a node reports not ready, resigns the ownership, serves requests until the
load balancer has stopped routing to it, and closes.
"""

from __future__ import annotations

import asyncio
import os
import random
import resource
import signal
from collections.abc import Coroutine
from typing import Any, Final, Protocol

from returns.result import Failure, Success

from jacinthreel_common import (
    Fault,
    Hello,
    IntakeInsert,
    IntakeInserted,
    IntakeNotice,
    JobAnnouncement,
    JobStateAnswer,
    JobStateQuery,
    LeaseQuery,
    OwnerAnnouncement,
    OwnerHeartbeat,
    PolicyPull,
    PolicyRows,
    RelayOrders,
    RelayReport,
    ResultCode,
    StoredRow,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_daemon.plumbing import (
    LogLevel,
    LoopTimers,
    MetricsRegistry,
    StreamHub,
    SystemClock,
    open_log,
)
from jacinthreel_node._diagnostics import log_tables, log_tasks
from jacinthreel_node._election import (
    HEARTBEAT_PERIOD_MS,
    LEASE_RENEWAL_PERIOD_MS,
)
from jacinthreel_node._elector import Elector
from jacinthreel_node._forecaster import Forecaster
from jacinthreel_node._former_leases import FormerOwner
from jacinthreel_node._gauges import set_forecast_gauges, set_gauges
from jacinthreel_node._job_service import JobService
from jacinthreel_node._operator_rows import OperatorRows
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import Ownership, OwnershipServices
from jacinthreel_node._ports import (
    ExecutorGateway,
    KeyedStore,
    PlatformRowDecoder,
    Row,
)
from jacinthreel_node._records import (
    INTAKE_TABLE,
    OWNER_TABLE,
    OwnerRow,
)
from jacinthreel_node._relays._relay import Relay
from jacinthreel_node._routing import PolicyView
from jacinthreel_node._settings import NodeSettings
from jacinthreel_node._store_health import MonitoredStore
from jacinthreel_node._table_follower import TableFollower
from jacinthreel_node._workspace_gauges import WorkspaceGauges

ROLE: Final = "node"
POLICY_FEED_WAIT_MS: Final = 1_500
OWNER_FEED_WAIT_MS: Final = 5_000
OWNER_CHECK_PERIOD_MS: Final = 200
BALANCER_DRAIN_MS: Final = 2_300  # The balancer stops routing after two failed health checks.
PULL_TIMEOUT_MS: Final = 800
PROBE_PERIOD_MS: Final = 300
LIVENESS_CHECK_PERIOD_MS: Final = 1_000
UNLIMITED_DESCRIPTORS: Final = 65_536


def _descriptor_limit() -> int:
    """Returns how many file descriptors this process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return limit if limit != resource.RLIM_INFINITY else UNLIMITED_DESCRIPTORS


class CallerServer(Protocol):
    """Serves requests of callers and health checks of the load balancer for a node."""

    def start(self) -> None:
        """Starts listening."""

    def set_draining(self) -> None:
        """Closes each connection after its next response."""

    async def stop(self, limit_ms: int) -> None:
        """Stops listening, finishes calls in progress within `limit_ms` and closes."""


class Node:
    """The node process; `run` serves until SIGTERM or SIGINT and returns the exit status."""

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyedStore,
        gateway: ExecutorGateway,
        row_decoder: PlatformRowDecoder,
        clock: SystemClock,
        metrics: MetricsRegistry,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.log = open_log(settings.host_id, ROLE, LogLevel.INFO)
        self.policy = PolicyView()
        self.is_draining = False
        self._operator = OperatorRows(row_decoder, self.policy, self.log, self._on_policy_changed)
        self._store = MonitoredStore(store, clock)
        self._row_decoder = row_decoder
        self._clock = clock
        self._rng = random.Random()
        self._timers = LoopTimers(clock, lambda error: self.log.error("timer_failed", error))
        hello = Hello(settings.host_id, ROLE, settings.zone)
        self._hub = StreamHub(
            hello, clock, self._rng, self.log.warning, settings.stream_limits(), metrics
        )
        self._owner_view = OwnerView(clock)
        self._ownership_services = OwnershipServices(
            settings,
            self._store,
            gateway,
            row_decoder,
            self.policy,
            clock,
            metrics,
            self._hub,
            self.log.info,
        )
        self._relay = Relay(
            gateway,
            clock,
            metrics,
            self.log.info,
            self._hub.notify_peer,
            settings.cores,
            _descriptor_limit(),
            lambda: self.is_draining,
        )
        self._elector = Elector(
            settings,
            self._store,
            self._hub,
            self._owner_view,
            clock,
            self._rng,
            self.log,
            self._spawn,
            self._make_ownership,
        )
        self._forecaster = Forecaster(self._owner_view, clock, metrics)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()
        self._workspace_gauges = WorkspaceGauges(metrics)
        self.jobs = JobService(
            self._store,
            self._hub,
            self._owner_view,
            self._owned_job_state,
            self._is_owner,
            self._owned_waiting_jobs,
            self._apply_intake_row,
            self._announce_owned_job,
            self._store,
            clock,
            metrics,
            self.log.info,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route new callers to this node."""
        if self.is_draining or self.policy.current is None:
            return False
        return not self._store.is_intake_lost or self._elector.is_owner_reachable()

    def refresh_gauges(self) -> None:
        """Updates the gauges; called before metrics are served."""
        policy = self.policy.current
        set_gauges(
            self.metrics,
            self._workspace_gauges,
            self._elector.ownership,
            policy.version if policy is not None else 0,
            self._store.is_intake_lost,
            self._relay.executor_count,
            self._clock.now_ms(),
        )
        set_forecast_gauges(self.metrics, policy, self._owner_view)

    async def run(self, server: CallerServer) -> int:
        """Serves until SIGTERM or SIGINT; returns the exit status."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_signal, signal.SIGTERM)
        loop.add_signal_handler(signal.SIGINT, self._on_signal, signal.SIGINT)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_diagnosis)
        self._hub.on_call(JobStateQuery, self._serve_state)
        self._hub.on_call(IntakeInsert, self._serve_insert)
        self._hub.on_call(PolicyPull, self._serve_policy)
        self._hub.on_call(LeaseQuery, self._serve_lease_query)
        self._hub.on_notice(OwnerHeartbeat, self._handle_heartbeat)
        self._hub.on_notice(IntakeNotice, self._handle_intake_notice)
        self._hub.on_notice(JobAnnouncement, self._handle_job_announcement)
        self._hub.on_notice(OwnerAnnouncement, self._handle_announcement)
        self._hub.on_notice(RelayOrders, self._relay.handle_orders)
        self._hub.on_notice(RelayReport, self._handle_relay_report)
        self._hub.listen(*self.settings.stream_address)
        server.start()
        self._start_followers()
        self._timers.every(
            HEARTBEAT_PERIOD_MS, lambda now_ms: self._forecaster.update(self._elector.ownership)
        )
        self._timers.every(HEARTBEAT_PERIOD_MS, lambda now_ms: self._send_heartbeat())
        self._timers.every(LEASE_RENEWAL_PERIOD_MS, lambda now_ms: self._elector.renew_lease())
        self._timers.every(OWNER_CHECK_PERIOD_MS, lambda now_ms: self._elector.check_owner())
        self._timers.every(LIVENESS_CHECK_PERIOD_MS, self._hub.check_liveness)
        self._timers.every(LIVENESS_CHECK_PERIOD_MS, lambda now_ms: self._relay.check())
        self._timers.every(
            PROBE_PERIOD_MS, lambda now_ms: self._spawn(self._store.probe_suspect_groups())
        )
        self.log.info("started", {"pid": os.getpid(), "zone": self.settings.zone})
        await self._stop_requested.wait()
        await self._shutdown(server)
        self.log.info("stopped", {})
        return 0

    async def _shutdown(self, server: CallerServer) -> None:
        server.set_draining()
        started_ms = self._clock.now_ms()
        await self._elector.resign()
        spent_ms = self._clock.now_ms() - started_ms
        await asyncio.sleep(max(0, BALANCER_DRAIN_MS - spent_ms) / 1000)
        spent_ms = self._clock.now_ms() - started_ms
        await server.stop(self.settings.stop_grace_ms - spent_ms)
        for task in self._tasks:
            task.cancel()
        self._relay.close()
        self._hub.close()
        self._timers.stop()

    def _start_followers(self) -> None:
        operator_follower = TableFollower(
            self._store,
            self._row_decoder.operator_table,
            POLICY_FEED_WAIT_MS,
            self._operator.apply_snapshot,
            self._operator.apply_rows,
            self.log.warning,
            rereads_after_failure=True,
        )
        owner_follower = TableFollower(
            self._store,
            OWNER_TABLE,
            OWNER_FEED_WAIT_MS,
            self._elector.apply_snapshot,
            self._elector.apply_rows,
            self.log.warning,
        )
        self._spawn(operator_follower.run())
        self._spawn(owner_follower.run())

    def _on_policy_changed(self) -> None:
        if self._elector.ownership is not None:
            self._elector.ownership.apply_current_policy()

    def _make_ownership(
        self, owner: OwnerRow, version: int, former: FormerOwner | None
    ) -> Ownership:
        self._relay.observe_epoch(owner.epoch)
        return Ownership(
            self._ownership_services,
            owner,
            version,
            self._elector.end_ownership,
            lambda: self._elector.is_lease_usable,
            lambda: self._elector.may_grant_long,
            former,
        )

    def _is_owner(self) -> bool:
        return self._elector.ownership is not None and self._elector.ownership.is_loaded

    def _owned_job_state(self, job_id: str) -> Any:
        return (
            self._elector.ownership.job_state(job_id)
            if self._elector.ownership is not None
            else None
        )

    def _owned_waiting_jobs(self) -> dict[str, int]:
        if self._elector.ownership is None:
            return {}
        return self._elector.ownership.scheduler.waiting_by_queue()

    async def _serve_state(self, query: JobStateQuery) -> StreamReply:
        if not self._is_owner():
            return StreamReply(ResultCode.NOT_OWNER, "this node does not own the jobs")
        state = self._owned_job_state(query.job_id)
        answer = JobStateAnswer(int(state) if state is not None else 0)
        return StreamReply(ResultCode.OK, body=to_plain(answer))

    async def _serve_insert(self, insert: IntakeInsert) -> StreamReply:
        started_ms = self._clock.now_ms()
        reply = await self._insert_for_peer(insert)
        fields = {
            "job_id": insert.key.partition("/")[2],
            "key": insert.key,
            "code": reply.code.value,
            "took_ms": self._clock.now_ms() - started_ms,
        }
        self.log.info("inserted_for_peer", fields)
        return reply

    async def _insert_for_peer(self, insert: IntakeInsert) -> StreamReply:
        ownership = self._elector.ownership
        if ownership is None or not ownership.is_loaded:
            return StreamReply(ResultCode.NOT_OWNER, "this node does not own the jobs")
        if not await self._store.is_answering(insert.key, insert.timeout_ms):
            return StreamReply(ResultCode.STORE_UNAVAILABLE, "the store does not answer")
        match await ownership.insert_intake(insert.key, insert.value, insert.timeout_ms):
            case Success(IntakeInserted() as inserted):
                return StreamReply(ResultCode.OK, body=to_plain(inserted))
            case Failure(Fault() as fault):
                return StreamReply(fault.code, fault.detail)
        raise AssertionError("a Result is Success or Failure")

    async def _serve_lease_query(self, query: LeaseQuery) -> StreamReply:
        return self._elector.serve_lease_query(query)

    async def _serve_policy(self, pull: PolicyPull) -> StreamReply:
        return StreamReply(ResultCode.OK, body=to_plain(PolicyRows(self._operator.stored_rows())))

    def _handle_intake_notice(self, peer: Hello, notice: IntakeNotice) -> None:
        self._apply_intake_row(notice.row)

    def _handle_job_announcement(self, peer: Hello, announcement: JobAnnouncement) -> None:
        self._announce_owned_job(announcement)

    def _announce_owned_job(self, announcement: JobAnnouncement) -> None:
        if self._elector.ownership is not None:
            self._elector.ownership.announce_job(announcement.job_id, announcement.value)

    def _handle_announcement(self, peer: Hello, announcement: OwnerAnnouncement) -> None:
        self._elector.apply_announcement(announcement)

    def _handle_relay_report(self, peer: Hello, report: RelayReport) -> None:
        if self._elector.ownership is not None:
            self._elector.ownership.handle_relay_report(peer, report)

    def _apply_intake_row(self, row: StoredRow) -> None:
        if self._elector.ownership is not None:
            self._elector.ownership.apply_intake_row(
                Row(INTAKE_TABLE, row.key, row.value, row.version)
            )

    def _handle_heartbeat(self, peer: Hello, heartbeat: OwnerHeartbeat) -> None:
        self._owner_view.apply_heartbeat(peer, heartbeat)
        self._relay.observe_epoch(heartbeat.epoch)
        self._store.record_owner_silence(self._owner_view.lease_age_ms)
        policy = self.policy.current
        if self._store.health_of(self._row_decoder.operator_table).is_lost and (
            policy is None or policy.version < heartbeat.policy_version
        ):
            self._spawn(self._pull_policy())

    async def _pull_policy(self) -> None:
        """Fetches the operator rows from the owner while the store doesn't serve this node."""
        owner = self._owner_view.row
        if owner is None:
            return
        outcome = await self._hub.call(owner.address, owner.port, PolicyPull(), PULL_TIMEOUT_MS)
        reply = outcome.value_or(None)
        if reply is None or reply.code is not ResultCode.OK:
            return
        match convert(PolicyRows, reply.body):
            case Success(PolicyRows(rows=rows)):
                self._operator.apply_peer_rows(rows)

    def _send_heartbeat(self) -> None:
        ownership = self._elector.ownership
        if ownership is None:
            return
        policy = self.policy.current
        forecast, forecast_age_ms = self._forecaster.message_fields(ownership)
        self._hub.notify_all(
            OwnerHeartbeat(
                ownership.epoch,
                ownership.scheduler.waiting_by_queue(),
                lease_age_ms=self._elector.lease_age_ms,
                lease_count=self._elector.lease_count,
                policy_version=policy.version if policy is not None else 0,
                is_loaded=ownership.is_loaded,
                forecast=forecast,
                forecast_age_ms=forecast_age_ms,
            )
        )

    def _on_signal(self, number: int) -> None:
        if self._stop_requested.is_set():
            return
        self.log.info("shutdown_started", {"signal": number})
        self.is_draining = True
        self._elector.is_draining = True
        self._stop_requested.set()

    def _on_reload(self) -> None:
        self.log.info("reload", {"outcome": "ignored: settings are read only at startup"})

    def _log_diagnosis(self) -> None:
        log_tasks(self.log)
        if self._elector.ownership is not None:
            tables = self._elector.ownership.scheduler.tables
            log_tables(self.log, tables, self._clock.now_ms())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self.log.error("task_failed", error)
