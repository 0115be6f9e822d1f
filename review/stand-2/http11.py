"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of this review."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit


@dataclass
class Request:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body or b"{}")


Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]
"""Returns status and JSON value, or None to close the connection without an answer."""


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while True:
        header = (await reader.readline()).decode("latin-1")
        if header in ("\r\n", "\n", ""):
            return line.decode("latin-1").strip(), headers
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()


async def serve(address: str, port: int, handler: Handler) -> asyncio.Server:
    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {
                    k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()
                }
                answer = await handler(Request(method, parts.path, query, headers, body))
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port)


async def call(
    address: str,
    port: int,
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Sends one request on a connection of its own; status 0 where there was no whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                data = json.dumps(value).encode() if value is not None else b""
                lines = [f"{method} {path} HTTP/1.1"]
                sent = {"Host": f"{address}:{port}", **(headers or {})}
                sent["Content-Length"] = str(len(data))
                if data:
                    sent["Content-Type"] = "application/json"
                lines += [f"{name}: {text}" for name, text in sent.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
                await writer.drain()
                head = await _read_head(reader)
                if head is None:
                    return 0, None
                line, got = head
                body = await reader.readexactly(int(got.get("content-length", "0")))
                status = int(line.split(" ")[1])
                return status, json.loads(body) if body else None
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
