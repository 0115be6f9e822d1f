"""Updates the executor and peer router tables from events."""

from __future__ import annotations

import random
from typing import Final

from jacinthreel_common import Host, HostKind, HostState
from jacinthreel_requests._events import (
    AttemptEnded,
    Lost,
    NotSent,
    PeerInFlight,
    Refused,
    WholeAnswer,
)
from jacinthreel_requests._executor_choice import connection_share
from jacinthreel_requests._health import HealthChange, record_failure, record_success
from jacinthreel_requests._tables import AttemptEntry, ExecutorEntry, PeerEntry, Tables

FULL_EXECUTOR_BACKOFF_MS: Final = 10


def apply_host_list(tables: Tables, hosts: list[Host]) -> None:
    """Applies the platform's host list to the executor table."""
    listed: set[str] = set()
    entry_host_count = 0
    for host in hosts:
        if host.kind is HostKind.ENTRY:
            entry_host_count += 1
        if host.kind is not HostKind.EXECUTOR:
            continue
        listed.add(host.host_id)
        _add_or_update_executor(tables, host)
    tables.entry_host_count = max(1, entry_host_count)
    for executor in list(tables.executors_by_id.values()):
        executor.listed = executor.executor_id in listed
        executor.max_in_flight = connection_share(executor, tables.entry_host_count)
        remove_unlisted(tables, executor)


def remove_unlisted(tables: Tables, executor: ExecutorEntry) -> None:
    """Removes an executor that is no longer listed and has no requests in flight."""
    if not executor.listed and not executor.in_flight:
        tables.executors_by_id.pop(executor.executor_id, None)


def record_peer_notice(tables: Tables, event: PeerInFlight, now_ms: int) -> None:
    """Stores another router's notice of its load."""
    in_flight = sum(event.by_executor.values())
    peer = PeerEntry(event.by_executor, in_flight, event.waiting, now_ms)
    tables.peers_by_host_id[event.host_id] = peer
    tables.update_peers_in_flight(now_ms)


def record_attempt_result(
    tables: Tables,
    executor: ExecutorEntry,
    attempt: AttemptEntry,
    event: AttemptEnded,
    rng: random.Random,
    now_ms: int,
) -> HealthChange | None:
    """Updates an executor's state from the result of an attempt.

    Returns the change of the executor's health, or None if it did not change.
    """
    if event.busy_slots is not None:
        executor.reported_busy_elsewhere = max(0, event.busy_slots - executor.in_flight)
        executor.reported_busy_ms = now_ms
    if executor.trial_attempt_id == attempt.attempt_id:
        executor.trial_attempt_id = None
    match event.outcome:
        case WholeAnswer():
            return record_success(executor, now_ms - attempt.sent_ms, now_ms)
        case Refused(leaving):
            if leaving:
                executor.refused_as_leaving_ms = now_ms
            executor.full_until_ms = now_ms + FULL_EXECUTOR_BACKOFF_MS
            return None
        case NotSent() | Lost():
            return record_failure(tables, executor, rng, now_ms)


def _add_or_update_executor(tables: Tables, host: Host) -> None:
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
