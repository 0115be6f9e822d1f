"""Settings of a node process: what it is, where it listens and the platform's limits."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that the adapter reads from the platform's file.

    `cores` is the processor that the process may use, `link_mbps` the host's link.
    `task_lease_ms` is the lease that is asked of executors; `stop_grace_ms` how long a process may
    take to stop after SIGTERM; `status_keep_ms` how long the state of an ended job is kept.
    """

    host_id: str
    zone: str
    caller_address: Address
    ready_address: Address
    stream_address: Address
    store_address: Address
    metrics_address: Address
    cores: float
    link_mbps: float
    task_lease_ms: int
    stop_grace_ms: int
    status_keep_ms: int
