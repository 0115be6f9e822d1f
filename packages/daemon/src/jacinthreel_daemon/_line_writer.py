"""Writing log lines to a descriptor without ever waiting for its reader.

Lines go out whole, in order.  What the descriptor doesn't take at once stays in a buffer of at most
`MAX_BUFFER_BYTES`, which the next line or a flush writes first.  Lines beyond that are left
out and counted; the count is written once there is room again.  A rate limit bounds the volume in
the same way: `LINES_PER_S` on average, with bursts of `BURST_LINES`.
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
    """A bounded, never blocking writer of lines; the descriptor is set to non-blocking."""

    def __init__(self, descriptor: int, now_s: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._pending = bytearray()
        self._left_out = 0
        self._tokens = BURST_LINES
        self._refilled_s = now_s()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or counts it as left out."""
        if not self._take_token():
            self._left_out += 1
            return
        data = line.encode(errors="replace") + b"\n"
        if self._left_out:
            data = self._left_out_line() + data
        if len(self._pending) + len(data) > MAX_BUFFER_BYTES:
            self._left_out += 1
            self.flush()
            return
        self._left_out = 0
        self._pending += data
        self.flush()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone for good: there is nobody left to tell.
                self._pending.clear()
                return
            del self._pending[:written]

    def _left_out_line(self) -> bytes:
        line = {"event": "lines_left_out", "level": "warning", "lines": self._left_out}
        return json.dumps(line).encode() + b"\n"

    def _take_token(self) -> bool:
        now_s = self._now_s()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
