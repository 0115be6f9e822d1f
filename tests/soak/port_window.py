"""Ports on loopback for the processes of a soak."""

from __future__ import annotations

import os
import random
import socket

FIRST_PORT = 12_000
PORT_WINDOWS = 30
WINDOW_PORTS = 600


class PortWindow:
    """A range of ports that this process reserves among the soaks on this machine.

    Without it, a concurrent soak could take the port of a node while that node restarts.
    """

    def __init__(self) -> None:
        self.allocated: set[int] = set()
        self._window_socket = socket.socket()
        self._first_port = self._reserve_window()

    def allocate(self, count: int = 1) -> int:
        """Returns the first of `count` consecutive free ports that this run has not used yet."""
        while True:
            port = random.randrange(self._first_port + 1, self._first_port + WINDOW_PORTS - count)
            candidates = set(range(port, port + count))
            if candidates & self.allocated or not all(
                _is_free(candidate) for candidate in candidates
            ):
                continue
            self.allocated.update(candidates)
            return port

    def _reserve_window(self) -> int:
        """Reserves a window by listening on its first port; returns that port."""
        for offset in range(PORT_WINDOWS):
            first = FIRST_PORT + (os.getpid() + offset) % PORT_WINDOWS * WINDOW_PORTS
            try:
                self._window_socket.bind(("127.0.0.1", first))
            except OSError:
                continue
            self._window_socket.listen()
            return first
        raise OSError("all port windows are in use by other soaks")


ports = PortWindow()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
