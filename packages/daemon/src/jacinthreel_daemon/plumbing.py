"""Infrastructure shared by all roles: HTTP client, streams, clocks, logs and metrics."""

from jacinthreel_daemon._backoff import Backoff
from jacinthreel_daemon._clock import LoopTimers, SystemClock
from jacinthreel_daemon._http_intake import IntakeHttpServer, IntakeRequest
from jacinthreel_daemon._http_pool import HttpFailure, HttpPool, HttpReply
from jacinthreel_daemon._intake import Intake, IntakeLimits
from jacinthreel_daemon._logs import EventLog, open_log
from jacinthreel_daemon._ports import Clock
from jacinthreel_daemon._settings import LogLevel
from jacinthreel_daemon._stream_hub import StreamHub
from jacinthreel_daemon._streams import StreamConnection
from jacinthreel_daemon._telemetry import MetricsRegistry

__all__ = [
    "Backoff",
    "Clock",
    "EventLog",
    "HttpFailure",
    "HttpPool",
    "HttpReply",
    "Intake",
    "IntakeHttpServer",
    "IntakeLimits",
    "IntakeRequest",
    "LogLevel",
    "LoopTimers",
    "MetricsRegistry",
    "StreamConnection",
    "StreamHub",
    "SystemClock",
    "open_log",
]
