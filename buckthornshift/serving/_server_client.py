"""Orders to backend servers: one task a call, answers as events."""

import asyncio

from ..contracts import ConnectionLostError, NotSentError
from ..dispatch import (
    RenewalAnswered,
    RenewLease,
    StartAnswered,
    StartRun,
    StopAnswered,
    StopRun,
    Verdict,
)
from ..platform import (
    HOLD_PATH,
    INCARNATION_HEADER,
    START_PATH,
    STOP_PATH,
    decode_server_response,
    encode_hold,
    encode_start,
    encode_stop,
)
from ._http_client import HttpConnectionPool

# A server takes 64 connections from all instances together.
MAX_CONNECTIONS_A_SERVER = 12
# Idle connections beside the one that a renewal waits on: a server of two or three
# tasks rarely gets more than two starts at a time.
WARM_CONNECTIONS = 2
# Pause between servers: those of a large site are ready some seconds after a takeover,
# and the starts that come meanwhile are hardly delayed.
WARM_PAUSE_S = 0.03


class ServerClient:
    """Carry orders to servers.

    :param post: called with each event.
    :param timeout_s: longest time for an answer, in seconds.
    """

    def __init__(self, post=None, timeout_s=0.25):
        self.post = post
        self.timeout_s = timeout_s
        self._pool_by_id = {}
        self._calls = set()
        self._cold = []
        self._warming = None

    def perform(self, action):
        """Send an order; its answer is posted as an event.

        :param action: a start, stop or renewal.
        """
        pool = self._find_pool(action.server)
        match action:
            case StartRun():
                call = self._start(pool, action)
            case StopRun():
                call = self._stop(pool, action)
            case RenewLease():
                call = self._hold(pool, action)
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def disconnect(self, server_id):
        """Close the connections to a server."""
        pool = self._pool_by_id.pop(server_id, None)
        if pool is not None:
            pool.close()

    def close(self):
        """Close every connection."""
        if self._warming is not None:
            self._warming.cancel()
        for task in self._calls:
            task.cancel()
        for pool in self._pool_by_id.values():
            pool.close()

    def _find_pool(self, record):
        pool = self._pool_by_id.get(record.server_id)
        if pool is None:
            pool = HttpConnectionPool(
                host=record.host,
                port=record.port,
                headers=((INCARNATION_HEADER, record.server_id),),
                max_connections=MAX_CONNECTIONS_A_SERVER,
                connect_timeout_s=self.timeout_s,
            )
            self._pool_by_id[record.server_id] = pool
            self._cold.append(pool)
            if self._warming is None:
                self._warming = asyncio.ensure_future(self._warm())
        return pool

    async def _warm(self):
        """Open connections before the first tasks need them.

        Answers the pattern of much work right after a takeover: to connect costs an
        owner more of its processor than the start that waits for it.
        """
        while self._cold:
            await asyncio.sleep(WARM_PAUSE_S)
            pool = self._cold.pop(0)
            try:
                await pool.preconnect(WARM_CONNECTIONS)
            except NotSentError:
                # The renewal of its lease meets the same, and tells the core.
                continue
        self._warming = None

    async def _start(self, pool, action):
        verdict, clock_ms, _, _ = await self._call(
            pool, START_PATH, encode_start(action)
        )
        self.post(
            StartAnswered(
                server_id=action.server.server_id,
                task=action.task,
                run=action.run,
                verdict=verdict,
                clock_ms=clock_ms,
            )
        )

    async def _stop(self, pool, action):
        verdict, clock_ms, _, _ = await self._call(pool, STOP_PATH, encode_stop(action))
        self.post(
            StopAnswered(
                server_id=action.server.server_id,
                task=action.task,
                run=action.run,
                verdict=verdict,
                clock_ms=clock_ms,
            )
        )

    async def _hold(self, pool, action):
        verdict, clock_ms, running, ended = await self._call(
            pool, HOLD_PATH, encode_hold(action), action.wait_ms / 1000.0
        )
        self.post(
            RenewalAnswered(
                server_id=action.server.server_id,
                token=action.token,
                sent_ms=action.sent_ms,
                verdict=verdict,
                clock_ms=clock_ms,
                running=running,
                ended=ended,
            )
        )

    async def _call(self, pool, path, body, extra_s=0.0):
        try:
            status, answer = await pool.call(
                "POST", path, body, timeout_s=self.timeout_s + extra_s
            )
        except NotSentError:
            return Verdict.NOT_SENT, None, (), ()
        except ConnectionLostError:
            return Verdict.NO_ANSWER, None, (), ()
        return decode_server_response(status, answer)
