"""Settings of a node process: identity, addresses, host resources and platform limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from jacinthreel_daemon.plumbing import IntakeLimits
from jacinthreel_steps import DEFAULT_STOP_LIMIT_MS, LeaseLimits

Address = tuple[str, int]

DEFAULT_MEMORY_MB: Final = 256.0
DEFAULT_MAX_DESCRIPTORS: Final = 4_096
FILE_DESCRIPTORS: Final = 200  # The platform keeps these for files.
BYTES_PER_MB: Final = 1_000_000
MAX_STREAMS: Final = 1_024
MAX_CHECK_CONNECTIONS: Final = 64


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that the adapter reads from the platform's boot file.

    `cores` is the number of CPU cores available to the process, `link_mbps` the bandwidth of the
    host's network link, `memory_mb` the memory and `max_descriptors` the descriptors that the
    process may use.  `lease_limits` are the shortest and the longest lease at executors,
    `stop_grace_ms` the time in which the process must stop after SIGTERM, and `status_keep_ms` how
    long the state of an ended job is kept.  `run_stop_limit_ms` is the longest time that an
    executor takes to stop a run.
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
    lease_limits: LeaseLimits
    stop_grace_ms: int
    status_keep_ms: int
    run_stop_limit_ms: int = DEFAULT_STOP_LIMIT_MS
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    def caller_limits(self) -> IntakeLimits:
        """Returns what the connections of callers may hold."""
        return IntakeLimits(self._memory_bytes() // 8, max(1, self._max_sockets() * 5 // 8))

    def stream_limits(self) -> IntakeLimits:
        """Returns what the accepted streams of peers may hold."""
        connections = max(1, min(MAX_STREAMS, self._max_sockets() // 4))
        return IntakeLimits(self._memory_bytes() // 8, connections)

    def check_limits(self) -> IntakeLimits:
        """Returns what the connections of readiness checks and metrics scrapes may hold."""
        connections = max(2, min(MAX_CHECK_CONNECTIONS, self._max_sockets() // 16))
        return IntakeLimits(self._memory_bytes() // 64, connections)

    def _memory_bytes(self) -> int:
        return int(self.memory_mb * BYTES_PER_MB)

    def _max_sockets(self) -> int:
        return max(0, self.max_descriptors - FILE_DESCRIPTORS)
