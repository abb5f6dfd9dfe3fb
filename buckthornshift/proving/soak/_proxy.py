"""A loopback proxy that delays, resets and silences connections."""

import asyncio
import enum

CHUNK_BYTES = 65_536


class LinkState(enum.StrEnum):
    """What a proxy does with the connections through it."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one_way"


SLOW_S = 0.05


class FaultyProxy:
    """Forward connections to one address, with faults.

    :param host: IP address of the target.
    :param port: TCP port of the target.
    """

    def __init__(self, host="127.0.0.1", port=0):
        self.host = host
        self.port = port
        self.bound_port = 0
        self.state = LinkState.OPEN
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.bound_port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        """Reset every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop listening and reset every connection."""
        self._server.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        for source, target, is_back in (
            (reader, far_writer, False),
            (far_reader, writer, True),
        ):
            task = asyncio.ensure_future(self._pump(source, target, is_back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, is_back):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait(is_back)
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other end is gone; so is this connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait(self, is_back):
        if self.state is LinkState.SLOW:
            await asyncio.sleep(SLOW_S)
        while self.state is LinkState.SILENT or (
            self.state is LinkState.ONE_WAY and is_back
        ):
            # Bytes of a silent connection arrive when the path is back.
            await asyncio.sleep(SLOW_S)
