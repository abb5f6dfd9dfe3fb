"""TCP proxy on the loopback interface that delays, stalls and resets connections."""

import asyncio
import enum

CHUNK_BYTES = 65_536


class LinkState(enum.StrEnum):
    """How a proxy forwards data.

    ``SLOW`` delays it, ``SILENT`` holds it back in both directions, and ``ONE_WAY``
    holds back only the data from the target.
    """

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one_way"


SLOW_DELAY_S = 0.05


class FaultyProxy:
    """Forward TCP connections to one address, and inject faults into them.

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
        """Listen on a free port, which ``bound_port`` holds from then on."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.bound_port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        """Reset every open connection."""
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
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        for reading_end, writing_end, is_from_target in (
            (reader, target_writer, False),
            (target_reader, writer, True),
        ):
            task = asyncio.ensure_future(
                self._forward(reading_end, writing_end, is_from_target)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, is_from_target):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._delay_forwarding(is_from_target)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One end closed its connection, so the other one is closed below.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _delay_forwarding(self, is_from_target):
        if self.state is LinkState.SLOW:
            await asyncio.sleep(SLOW_DELAY_S)
        while self.state is LinkState.SILENT or (
            self.state is LinkState.ONE_WAY and is_from_target
        ):
            # Held data is not lost: it arrives when the fault is over, as it does when
            # TCP retransmits.
            await asyncio.sleep(SLOW_DELAY_S)
