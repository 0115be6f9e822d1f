"""A TCP proxy on loopback that can be cut: while it is, nothing passes in either direction.

Connections of before and during the cut are closed when it heals; what they held is lost.
"""

from __future__ import annotations

import asyncio


class Proxy:
    """Passes connections on to a port of the same address."""

    def __init__(self, address: str, port: int, target_port: int) -> None:
        self.address, self.port, self.target_port = address, port, target_port
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.last_hold_s = 0.0  # When a report was last asked for, on the loop's clock.

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, self.address, self.port)

    def cut(self) -> None:
        self.is_cut = True

    def heal(self) -> None:
        self.is_cut = False
        for writer in list(self.writers):
            writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            while self.is_cut:
                await asyncio.sleep(0.01)
            if writer.is_closing():
                return
            back, upstream = await asyncio.open_connection(self.address, self.target_port)
            self.writers.add(upstream)
            await asyncio.gather(self._pump(reader, upstream), self._pump(back, writer))
        except (OSError, asyncio.CancelledError):
            pass  # Cancelled where the test ends.
        finally:
            for each in (writer, upstream):
                if each is not None:
                    each.close()
                    self.writers.discard(each)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                if b"/v1/hold" in data:
                    self.last_hold_s = asyncio.get_running_loop().time()
                while self.is_cut:
                    await asyncio.sleep(0.01)
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        while self.is_cut:  # The end of a connection doesn't pass a cut either.
            await asyncio.sleep(0.01)
        writer.close()
