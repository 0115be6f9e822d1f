"""A TCP proxy on loopback that stands for the network before a server.

`cut`: nothing passes in either direction; when it heals, connections of before and during the cut are
closed, and what they held is lost.  `power_off`: as of a machine that loses power, open connections go
silent for good; what is sent on one of them after `power_on` closes it, as a new life doesn't know it.
"""

from __future__ import annotations

import asyncio


class Proxy:
    """Passes connections on to a port of the same address."""

    def __init__(self, address: str, port: int, target_port: int) -> None:
        self.address, self.port, self.target_port = address, port, target_port
        self.is_cut = False
        self.is_off = False
        self.dead: set[asyncio.StreamWriter] = set()
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

    def power_off(self) -> None:
        self.is_off = True
        self.dead.update(self.writers)

    def power_on(self) -> None:
        self.is_off = False

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            while self.is_cut or self.is_off:
                await asyncio.sleep(0.01)
            if writer.is_closing():
                return
            back, upstream = await asyncio.open_connection(self.address, self.target_port)
            self.writers.add(upstream)
            await asyncio.gather(
                self._pump(reader, upstream, writer), self._pump(back, writer, upstream)
            )
        except (OSError, asyncio.CancelledError):
            pass  # Cancelled where the test ends.
        finally:
            for each in (writer, upstream):
                if each is not None:
                    each.close()
                    self.writers.discard(each)
                    self.dead.discard(each)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: asyncio.StreamWriter,
    ) -> None:
        """Passes on what comes from the peer that `source` writes to."""
        try:
            while data := await reader.read(65_536):
                if source in self.dead:
                    while self.is_off or self.is_cut:
                        await asyncio.sleep(0.01)
                    source.close()
                    return
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
        if writer not in self.dead:
            writer.close()
