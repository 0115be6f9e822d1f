"""HTTP server for the stand-in platform: table service, object store and host list in one process.

Paths: `POST /v1/transact`, `POST /v1/read`, `GET` and `PUT /v1/objects/KEY`, `GET /v1/hosts`,
`POST /v1/hosts/ID/state`, `POST /v1/faults`, `GET /v1/counters`, `GET /v1/rows` (rows by prefix,
for test assertions; not counted as reads and not affected by faults), `GET /healthz`.
"""

from __future__ import annotations

import asyncio
import dataclasses
from dataclasses import dataclass, field

from tornado.web import Application

from jacinthreel_common import (
    Fault,
    Host,
    HostListReply,
    HostState,
    ReadQuery,
    ResultCode,
    Transaction,
)
from jacinthreel_standins._faults import StoreFaults, set_faults
from jacinthreel_standins._serving import (
    AbortError,
    HealthHandler,
    JsonHandler,
    discard_access_log,
    now_ms,
)
from jacinthreel_standins._table_model import TableModel

HANG_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class HostStateChange:
    """The body of `POST /v1/hosts/ID/state`."""

    state: HostState


@dataclass(frozen=True, slots=True)
class PlatformCounters:
    """The body of `GET /v1/counters`: operations served since the process started."""

    transactions: int
    conflicts: int
    rows_written: int
    reads: int
    rows_read: int
    host_lists: int


@dataclass(frozen=True, slots=True)
class _HostListRevision:
    at_ms: int
    revision: int
    hosts: list[Host]


@dataclass(slots=True)
class Platform:
    """The state that the handlers share; `host_lists` holds every revision, oldest first."""

    table: TableModel = field(default_factory=TableModel)
    faults: StoreFaults = field(default_factory=StoreFaults)
    objects_by_key: dict[str, bytes] = field(default_factory=dict)
    host_lists: list[_HostListRevision] = field(default_factory=list)
    transactions: int = 0
    conflicts: int = 0
    reads: int = 0
    host_lists_served: int = 0

    def set_hosts(self, hosts: list[Host], at_ms: int) -> None:
        """Publishes a new revision of the host list."""
        self.host_lists.append(_HostListRevision(at_ms, len(self.host_lists) + 1, hosts))

    def find_host_list(self, at_ms: int) -> HostListReply:
        """Returns the newest host list that is at least as old as the lag, or else the oldest."""
        newest_ms = at_ms - self.faults.host_list_lag_ms
        selected = self.host_lists[0]
        for host_list in self.host_lists:
            if host_list.at_ms <= newest_ms:
                selected = host_list
        return HostListReply(selected.revision, selected.hosts)

    def set_host_state(self, host_id: str, state: HostState, at_ms: int) -> None:
        """Publishes a revision of the host list in which a host has the given state."""
        hosts = self.host_lists[-1].hosts
        if all(host.host_id != host_id for host in hosts):
            raise AbortError(Fault(ResultCode.NO_SUCH_RESOURCE, f"no host {host_id!r}"))
        changed = [
            dataclasses.replace(host, state=state) if host.host_id == host_id else host
            for host in hosts
        ]
        self.set_hosts(changed, at_ms)


class _PlatformHandler(JsonHandler):
    platform: Platform

    def initialize(self, platform: Platform) -> None:
        self.platform = platform


class _FaultInjectingHandler(_PlatformHandler):
    async def prepare(self) -> None:
        """Applies the faults that affect every request."""
        faults = self.platform.faults
        while faults.hang:
            await asyncio.sleep(HANG_POLL_S)
        if faults.down:
            raise AbortError(Fault(ResultCode.STORE_UNAVAILABLE, "fault 'down' is set"))
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)


class _TransactHandler(_FaultInjectingHandler):
    def post(self) -> None:
        transaction = self.read_body(Transaction)
        faults, is_matching = self.platform.faults, self._matches_fault_prefix(transaction)
        if is_matching and faults.refuse > 0:
            faults.refuse -= 1
            raise AbortError(Fault(ResultCode.STORE_UNAVAILABLE, "fault 'refuse' is set"))
        if is_matching and faults.lose_requests > 0:
            faults.lose_requests -= 1
            self.close_without_reply()
            return
        reply = self.platform.table.transact(transaction)
        self.platform.transactions += 1
        self.platform.conflicts += not reply.committed
        if is_matching and faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.close_without_reply()
            return
        self.reply(reply, 200 if reply.committed else 409)

    def _matches_fault_prefix(self, transaction: Transaction) -> bool:
        prefix = self.platform.faults.only_prefix
        return any(write.key.startswith(prefix) for write in transaction.writes)


class _ReadHandler(_FaultInjectingHandler):
    def post(self) -> None:
        query = self.read_body(ReadQuery)
        self.platform.reads += 1
        self.reply(self.platform.table.read(query))


class _ObjectHandler(_FaultInjectingHandler):
    def get(self, key: str) -> None:
        content = self.platform.objects_by_key.get(key)
        if content is None:
            raise AbortError(Fault(ResultCode.NO_SUCH_RESOURCE, f"no object {key!r}"))
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(content)

    def put(self, key: str) -> None:
        self.platform.objects_by_key[key] = self.request.body
        self.reply({"size": len(self.request.body)})


class _HostsHandler(_FaultInjectingHandler):
    def get(self) -> None:
        self.platform.host_lists_served += 1
        host_list = self.platform.find_host_list(now_ms())
        if self.get_query_argument("revision", "") == str(host_list.revision):
            host_list = HostListReply(host_list.revision, [])
        self.reply(host_list)


class _HostStateHandler(_PlatformHandler):
    def post(self, host_id: str) -> None:
        change = self.read_body(HostStateChange)
        self.platform.set_host_state(host_id, change.state, now_ms())
        self.reply({"revision": len(self.platform.host_lists)})


class _FaultsHandler(_PlatformHandler):
    def post(self) -> None:
        set_faults(self.platform.faults, self)


class _CountersHandler(_PlatformHandler):
    def get(self) -> None:
        platform = self.platform
        counters = PlatformCounters(
            transactions=platform.transactions,
            conflicts=platform.conflicts,
            rows_written=platform.table.rows_written,
            reads=platform.reads,
            rows_read=platform.table.rows_read,
            host_lists=platform.host_lists_served,
        )
        self.reply(counters)


class _RowsHandler(_PlatformHandler):
    def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        rows_read_before = self.platform.table.rows_read
        self.reply(self.platform.table.read(ReadQuery(prefixes=[prefix])))
        self.platform.table.rows_read = rows_read_before


def make_platform_application(platform: Platform) -> Application:
    """Returns the web application that serves `platform`."""
    shared = {"platform": platform}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (r"/v1/transact", _TransactHandler, shared),
            (r"/v1/read", _ReadHandler, shared),
            (r"/v1/objects/(.+)", _ObjectHandler, shared),
            (r"/v1/hosts", _HostsHandler, shared),
            (r"/v1/hosts/([^/]+)/state", _HostStateHandler, shared),
            (r"/v1/faults", _FaultsHandler, shared),
            (r"/v1/counters", _CountersHandler, shared),
            (r"/v1/rows", _RowsHandler, shared),
        ],
        log_function=discard_access_log,
    )
