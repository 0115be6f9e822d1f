"""Structured logs: one JSON object a line on standard output, which is never waited for.

Each line has `time`, `level`, `event`, `host` and `role`, and the fields of the event.
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
    def __init__(self, host_id: str, role: str) -> None:
        super().__init__(json_default=str)
        self._host_id = host_id
        self._role = role

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Writes the fixed keys first, then the fields of the event."""
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
    """Hands formatted lines to a writer that never blocks."""

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
    """Writes log lines for one process."""

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger

    def decision(self, event: str, fields: dict[str, Any]) -> None:
        """Writes a line for a routing or placement decision, or another ordinary event."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, fields: dict[str, Any]) -> None:
        """Writes a line for something that an operator may want to look at."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, error: BaseException) -> None:
        """Writes a line with the trace of an unexpected exception; the process goes on."""
        self._logger.error(event, exc_info=error, extra={"fields": {"error": repr(error)}})


def open_log(host_id: str, role: str, level: LogLevel, stream: TextIO | None = None) -> EventLog:
    """Sets the logs of the process up, those of libraries included."""
    handler: logging.Handler
    if stream is not None:
        handler = logging.StreamHandler(stream)
    else:
        handler = _LineHandler(LineWriter(sys.stdout.fileno(), time.monotonic))
    handler.setFormatter(_LineFormatter(host_id, role))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("tornado.general").setLevel(logging.INFO)  # Malformed HTTP is at this level.
    logger = logging.getLogger(LOGGER_NAME)
    logger.setLevel(level.value.upper())
    return EventLog(logger)
