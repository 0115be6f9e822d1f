"""The dependencies shared by the components of a router, assembled at startup."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jacinthreel_daemon._ports import (
    Clock,
    ConfigView,
    HostView,
    OwnerView,
    PeerStreams,
    TableStore,
    Telemetry,
)

LogFunction = Callable[[str, dict[str, Any]], None]
"""Writes one structured log line: the event name and its fields."""


@dataclass(slots=True)
class RouterContext:
    """The identity of a router process and the ports (`_ports`) that it uses."""

    host_id: str
    zone: str
    region: str
    clock: Clock
    store: TableStore
    config: ConfigView
    hosts: HostView
    streams: PeerStreams
    owner: OwnerView
    telemetry: Telemetry
    log_event: LogFunction
    rng: random.Random
