"""A TCP proxy on loopback that can delay, drop or reset the traffic between two processes."""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 65_536
CHUNK_DELAY_S = 0.15


class LoopbackProxy:
    """Forwards connections to one port.

    Faults may overlap: the mode of the newest one applies until all have ended.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._mode = "pass"
        self._active_faults = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @classmethod
    async def open(cls, target_port: int) -> LoopbackProxy:
        """Listens on a free port."""
        proxy = cls(target_port)
        server = await asyncio.start_server(proxy._serve, "127.0.0.1", 0)
        proxy.port = server.sockets[0].getsockname()[1]
        return proxy

    async def inject_fault(self, mode: str, duration_s: float) -> None:
        """Applies a mode for `duration_s`.

        Modes: `silent` drops all data, `one_way` drops replies, `slow` delays each chunk.
        """
        self._mode = mode
        self._active_faults += 1
        await asyncio.sleep(duration_s)
        self._active_faults -= 1
        if not self._active_faults:
            self._mode = "pass"
            self.reset_all()  # Connections with dropped bytes cannot continue.

    def reset_all(self) -> None:
        """Aborts all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_reply=False),
                self._forward(target_reader, writer, is_reply=True),
            )
        except asyncio.CancelledError:
            return  # The event loop is closing.
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._mode == "slow":
                    await asyncio.sleep(CHUNK_DELAY_S)
                if self._mode == "silent" or (self._mode == "one_way" and is_reply):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
