"""Writes log lines to a file descriptor without blocking.

Lines are written whole and in order.  Data that the descriptor does not accept immediately is
stored in a buffer of at most `MAX_BUFFER_BYTES`, which the next line or flush writes first.  Lines
that do not fit in the buffer are dropped and counted; the count is logged with the next line that
fits.  Lines above a rate limit of `LINES_PER_S` with bursts of `BURST_LINES` are dropped
and counted in the same way.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from typing import Final

MAX_BUFFER_BYTES: Final = 256 * 1024
LINES_PER_S: Final = 400.0
BURST_LINES: Final = 2_000.0


class LineWriter:
    """A non-blocking writer with a bounded buffer; sets the descriptor to non-blocking mode."""

    def __init__(self, descriptor: int, now_s: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._pending = bytearray()
        self._dropped_lines = 0
        self._tokens = BURST_LINES
        self._refilled_s = now_s()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes or buffers a line, or drops and counts it."""
        if not self._take_token():
            self._dropped_lines += 1
            return
        data = line.encode(errors="replace") + b"\n"
        if self._dropped_lines:
            data = self._dropped_lines_record() + data
        if len(self._pending) + len(data) > MAX_BUFFER_BYTES:
            self._dropped_lines += 1
            self.flush()
            return
        self._dropped_lines = 0
        self._pending += data
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe for good, so the buffered lines are discarded.
                self._pending.clear()
                return
            del self._pending[:written]

    def _dropped_lines_record(self) -> bytes:
        line = {"event": "lines_left_out", "level": "warning", "lines": self._dropped_lines}
        return json.dumps(line).encode() + b"\n"

    def _take_token(self) -> bool:
        now_s = self._now_s()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
