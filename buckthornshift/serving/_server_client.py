"""Send requests to backend servers and post their responses as events.

Each request runs in an asyncio task of its own.
"""

import asyncio

from ..contracts import (
    ConnectionLostError,
    NotSentError,
    PeerClosedError,
    PeerRefusedError,
)
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
    INCARNATION_HEADER,
    LEASE_RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    decode_server_response,
    encode_lease_renewal,
    encode_start,
    encode_stop,
)
from ._http_client import HttpConnectionPool

# A server accepts 64 connections from all instances together.
MAX_CONNECTIONS_PER_SERVER = 12
# Idle connections beside the one that a lease renewal waits on. Two are enough: a
# server that runs two or three tasks rarely gets more than two starts at a time.
PRECONNECTED_PER_SERVER = 2
# Pause between two servers while connections are opened ahead. A new owner is connected
# to all servers of a large site within seconds of a takeover, and starts in these
# seconds are hardly delayed.
PRECONNECT_INTERVAL_S = 0.03


class ServerClient:
    """Send requests to backend servers, over one connection pool per server.

    :param post: called with each event.
    :param timeout_s: timeout of a response, in seconds.
    """

    def __init__(self, post=None, timeout_s=0.25):
        self.post = post
        self.timeout_s = timeout_s
        self._pool_by_id = {}
        self._request_tasks = set()
        self._unconnected_pools = []
        self._preconnect_task = None

    def perform(self, action):
        """Send a request; its response, or its failure, is posted as an event.

        :param action: a :class:`~buckthornshift.dispatch.StartRun`,
            :class:`~buckthornshift.dispatch.StopRun` or
            :class:`~buckthornshift.dispatch.RenewLease`.
        """
        pool = self._get_pool(action.server)
        match action:
            case StartRun():
                coroutine = self._send_start(pool, action)
            case StopRun():
                coroutine = self._send_stop(pool, action)
            case RenewLease():
                coroutine = self._send_renewal(pool, action)
        task = asyncio.ensure_future(coroutine)
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    def disconnect(self, server_id):
        """Close the idle connections to a server that is gone.

        :param server_id: the server.
        """
        pool = self._pool_by_id.pop(server_id, None)
        if pool is not None:
            pool.close()

    def close(self):
        """Cancel the requests in progress and close every connection."""
        if self._preconnect_task is not None:
            self._preconnect_task.cancel()
        for task in self._request_tasks:
            task.cancel()
        for pool in self._pool_by_id.values():
            pool.close()

    def _get_pool(self, server):
        pool = self._pool_by_id.get(server.server_id)
        if pool is None:
            pool = HttpConnectionPool(
                host=server.host,
                port=server.port,
                headers=((INCARNATION_HEADER, server.server_id),),
                max_connections=MAX_CONNECTIONS_PER_SERVER,
                connect_timeout_s=self.timeout_s,
            )
            self._pool_by_id[server.server_id] = pool
            self._unconnected_pools.append(pool)
            if self._preconnect_task is None:
                self._preconnect_task = asyncio.ensure_future(self._preconnect_all())
        return pool

    async def _preconnect_all(self):
        """Open connections to new servers before the first tasks need them.

        Right after a takeover a new owner has much work to start. Opening a
        connection takes it more processor time than the start request that waits
        for the connection, so the connections are opened ahead, one server at a time.
        """
        while self._unconnected_pools:
            await asyncio.sleep(PRECONNECT_INTERVAL_S)
            pool = self._unconnected_pools.pop(0)
            try:
                await pool.preconnect(PRECONNECTED_PER_SERVER)
            except NotSentError:
                # The lease renewal of this server fails in the same way and reports
                # it to the core.
                continue
        self._preconnect_task = None

    async def _send_start(self, pool, action):
        verdict, clock_ms, *_ = await self._request(
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

    async def _send_stop(self, pool, action):
        verdict, clock_ms, *_ = await self._request(
            pool, STOP_PATH, encode_stop(action)
        )
        self.post(
            StopAnswered(
                server_id=action.server.server_id,
                task=action.task,
                run=action.run,
                verdict=verdict,
                clock_ms=clock_ms,
            )
        )

    async def _send_renewal(self, pool, action):
        verdict, clock_ms, running, ended, started_ms = await self._request(
            pool,
            LEASE_RENEWAL_PATH,
            encode_lease_renewal(action),
            action.wait_ms / 1000.0,
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
                started_ms=started_ms,
            )
        )

    async def _request(self, pool, path, body, extra_timeout_s=0.0):
        try:
            status, response_body = await pool.call(
                "POST", path, body, timeout_s=self.timeout_s + extra_timeout_s
            )
        except PeerRefusedError:
            return Verdict.REFUSED, None, (), (), 0
        except NotSentError:
            return Verdict.NOT_SENT, None, (), (), 0
        except PeerClosedError:
            return Verdict.CLOSED, None, (), (), 0
        except ConnectionLostError:
            return Verdict.NO_ANSWER, None, (), (), 0
        return decode_server_response(status, response_body)
