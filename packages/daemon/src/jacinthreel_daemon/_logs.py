"""Structured logs: one JSON object per line on standard output, written without blocking.

Each line has the keys `time`, `level`, `event`, `host` and `role`, and the fields of the event.
"""

from __future__ import annotations

import logging
import sys
import time
from datetime import UTC, datetime
from typing import Any, Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from jacinthreel_daemon._line_writer import LineWriter
from jacinthreel_daemon._settings import LogLevel

LOGGER_NAME: Final = "jacinthreel"
RESERVED_KEYS: Final = frozenset({"time", "level", "event", "host", "role"})


class _LineFormatter(JsonFormatter):
    """Formats a record as JSON; a field with a reserved key gets a trailing underscore."""

    def __init__(self, host_id: str, role: str) -> None:
        super().__init__(json_default=str)
        self._host_id = host_id
        self._role = role

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Adds the fixed keys, then the fields of the event."""
        log_data["time"] = datetime.fromtimestamp(record.created, UTC).isoformat(
            "T", "milliseconds"
        )
        log_data["level"] = record.levelname.lower()
        log_data["event"] = record.getMessage()
        log_data["host"] = self._host_id
        log_data["role"] = self._role
        fields: dict[str, Any] = getattr(record, "fields", {})
        for key, value in fields.items():
            log_data[f"{key}_" if key in RESERVED_KEYS else key] = value
        if record.exc_info:
            log_data["exception"] = self.formatException(record.exc_info)


class _LineHandler(logging.Handler):
    """Passes formatted lines to a non-blocking writer."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record as one line."""
        try:
            self._writer.write(self.format(record))
        except Exception:
            self.handleError(record)


class EventLog:
    """The structured log of one process."""

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger

    def info(self, event: str, fields: dict[str, Any]) -> None:
        """Logs a normal event, such as a routing or placement decision."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, fields: dict[str, Any]) -> None:
        """Logs an event that may need an operator's attention."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, error: BaseException) -> None:
        """Logs an unexpected exception with its traceback; the process continues."""
        self._logger.error(event, exc_info=error, extra={"fields": {"error": repr(error)}})


def open_log(host_id: str, role: str, level: LogLevel, stream: TextIO | None = None) -> EventLog:
    """Configures the logging of the process and its libraries; `stream` replaces stdout."""
    handler: logging.Handler
    if stream is not None:
        handler = logging.StreamHandler(stream)
    else:
        handler = _LineHandler(LineWriter(sys.stdout.fileno(), time.monotonic))
    handler.setFormatter(_LineFormatter(host_id, role))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("tornado.general").setLevel(logging.INFO)  # Logs malformed HTTP.
    logger = logging.getLogger(LOGGER_NAME)
    logger.setLevel(level.value.upper())
    return EventLog(logger)
