"""A small HTTP/1.1 server and client on asyncio, for the stand-ins and the scripts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[tuple[int, Any]]]
"""Takes method, path, query, headers (names in lower case) and body; returns status and JSON."""

READ_LIMIT = 16 * 1024 * 1024


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the first line, the headers and the body of a message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(address: str, port: int, handler: Handler) -> asyncio.Server:
    """Serves a handler; requests of one connection are answered in order."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                status, value = await handler(method, parts.path, query, headers, body)
                data = json.dumps(value, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, address, port, limit=READ_LIMIT)


async def request(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a connection of its own; raises OSError or TimeoutError."""

    async def exchange() -> tuple[int, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection(address, port, limit=READ_LIMIT)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{address}:{port}", **(headers or {})}
            fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await _read_message(reader)
            if message is None:
                raise ConnectionError("closed before a response")
            line, reply_headers, reply = message
            return int(line.split(" ")[1]), reply_headers, reply
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("closed before a complete response") from error
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
