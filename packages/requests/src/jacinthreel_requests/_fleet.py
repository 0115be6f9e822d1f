"""What a router knows of executors and other routers, kept up to date from its events."""

from __future__ import annotations

import random
from typing import Final

from jacinthreel_common import Host, HostKind, HostState
from jacinthreel_requests._choice import connection_share
from jacinthreel_requests._events import (
    AttemptEnded,
    Lost,
    NotSent,
    PeerInFlight,
    Refused,
    WholeAnswer,
)
from jacinthreel_requests._health import HealthChange, on_answer, on_failure
from jacinthreel_requests._tables import AttemptEntry, ExecutorEntry, PeerEntry, Tables

FULL_HOLD_MS: Final = 10


def list_hosts(tables: Tables, hosts: list[Host]) -> None:
    """Takes the platform's host list over."""
    listed: set[str] = set()
    entry_hosts = 0
    for host in hosts:
        if host.kind is HostKind.ENTRY:
            entry_hosts += 1
        if host.kind is not HostKind.EXECUTOR:
            continue
        listed.add(host.host_id)
        _list_executor(tables, host)
    tables.entry_hosts = max(1, entry_hosts)
    for executor in list(tables.executors_by_id.values()):
        executor.listed = executor.executor_id in listed
        executor.share = connection_share(executor, tables.entry_hosts)
        drop_unlisted(tables, executor)


def drop_unlisted(tables: Tables, executor: ExecutorEntry) -> None:
    """Forgets an executor that is off the list once nothing is in flight there."""
    if not executor.listed and not executor.in_flight:
        tables.executors_by_id.pop(executor.executor_id, None)


def hear_peer(tables: Tables, event: PeerInFlight, now_ms: int) -> None:
    """Takes another router's notice."""
    in_flight = sum(event.by_executor.values())
    peer = PeerEntry(event.by_executor, in_flight, event.waiting, now_ms)
    tables.peers_by_host[event.host_id] = peer
    tables.count_peers(now_ms)


def judge_executor(
    tables: Tables,
    executor: ExecutorEntry,
    attempt: AttemptEntry,
    event: AttemptEnded,
    rng: random.Random,
    now_ms: int,
) -> HealthChange | None:
    """Learns from the end of an attempt what it says of the executor."""
    if event.busy_slots is not None:
        executor.header_others = max(0, event.busy_slots - executor.in_flight)
        executor.header_ms = now_ms
    if executor.trial_attempt == attempt.attempt_id:
        executor.trial_attempt = None
    match event.outcome:
        case WholeAnswer():
            return on_answer(executor, now_ms - attempt.sent_ms, now_ms)
        case Refused(leaving):
            if leaving:
                executor.refused_leaving_ms = now_ms
            executor.full_until_ms = now_ms + FULL_HOLD_MS
            return None
        case NotSent() | Lost():
            return on_failure(tables, executor, rng, now_ms)


def _list_executor(tables: Tables, host: Host) -> None:
    executor = tables.executors_by_id.get(host.host_id)
    if executor is None or (executor.address, executor.port) != (host.address, host.port):
        in_flight = executor.in_flight if executor else 0
        executor = ExecutorEntry(
            host.host_id, host.zone, host.address, host.port, host.slots, host.connections
        )
        executor.in_flight = in_flight
        tables.executors_by_id[host.host_id] = executor
    executor.zone = host.zone
    executor.leaving = host.state is HostState.LEAVING
