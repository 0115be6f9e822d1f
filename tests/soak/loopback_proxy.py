"""A TCP proxy on loopback that delays, silences, cuts one way or resets what passes through it."""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 65_536
SLOW_S = 0.15


class LoopbackProxy:
    """Forwards connections to one port; disturbances may overlap, the newest one counts."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._mode = "pass"
        self._disturbances = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @classmethod
    async def open(cls, target_port: int) -> LoopbackProxy:
        """Listens on a free port."""
        proxy = cls(target_port)
        server = await asyncio.start_server(proxy._serve, "127.0.0.1", 0)
        proxy.port = server.sockets[0].getsockname()[1]
        return proxy

    async def disturb(self, mode: str, span_s: float) -> None:
        """Keeps up a mode for a while: `silent`, `one_way` (no replies) or `slow`."""
        self._mode = mode
        self._disturbances += 1
        await asyncio.sleep(span_s)
        self._disturbances -= 1
        if not self._disturbances:
            self._mode = "pass"
            self.reset_all()  # Bytes that were swallowed never come; their connections end.

    def reset_all(self) -> None:
        """Breaks all connections off."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_reply=False),
                self._pump(far_reader, writer, is_reply=True),
            )
        except asyncio.CancelledError:
            return  # The loop is being closed.
        finally:
            self._writers -= {writer, far_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._mode == "slow":
                    await asyncio.sleep(SLOW_S)
                if self._mode == "silent" or (self._mode == "one_way" and is_reply):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
