"""Opens TCP connections to IP addresses, without DNS lookups."""

from __future__ import annotations

import socket

from returns.pipeline import is_successful
from tornado.iostream import IOStream

from jacinthreel_common import parse_ip


async def dial(address: str, port: int, max_buffer_bytes: int) -> IOStream:
    """Opens a connection.  Raises `OSError` or `StreamClosedError` if that fails."""
    if not is_successful(parse_ip(address)):
        raise OSError("not an IP address")
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    stream = IOStream(socket.socket(family), max_buffer_size=max_buffer_bytes)
    try:
        await stream.connect((address, port))
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream
