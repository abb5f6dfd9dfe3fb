"""The stand-ins of the platform misbehave as they are told."""

import asyncio

import pytest

from buckthornshift.dispatch import Configuration
from buckthornshift.platform import (
    HistoryGoneError,
    StoreClient,
    StoreError,
    StoreErrorKind,
)
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.standins import FleetPlatform, StoreFaults

TOPIC = "keyed.servers"


class Observer:
    """Count the ends of runs."""

    def __init__(self):
        self.n_ended = 0

    def on_run_started(self, server, run, order):
        pass

    def on_run_ended(self, server, run, kind):
        self.n_ended += 1


async def with_store(use, n_servers=2):
    platform = FleetPlatform(
        configuration=Configuration(version=1),
        n_servers=n_servers,
        observer=Observer(),
    )
    await platform.start()
    pool = HttpConnectionPool(port=platform.store.port)
    try:
        return await use(platform, StoreClient(pool=pool, timeout_s=0.3))
    finally:
        pool.close()
        platform.close()


@pytest.mark.parametrize(
    ("faults", "trouble"),
    [
        (StoreFaults(is_away=True), StoreErrorKind.UNAVAILABLE),
        (StoreFaults(refused_share=1.0), StoreErrorKind.RATE_LIMITED),
        (StoreFaults(lost_share=1.0), StoreErrorKind.NO_ANSWER),
    ],
)
def test_a_store_that_misbehaves(faults, kind):
    async def use(platform, client):
        platform.store.faults = faults
        with pytest.raises(StoreError) as caught:
            await client.read_tail(TOPIC, 0, 10)
        return caught.value.kind

    assert asyncio.run(with_store(use)) is kind


def test_a_store_without_history_still_has_the_newest_of_each_key():
    async def use(platform, client):
        platform.store.forget_history()
        with pytest.raises(HistoryGoneError):
            await client.read_tail(TOPIC, 0, 10)
        return await client.read_newest(TOPIC)

    assert len(asyncio.run(with_store(use)).records) == 2


def test_a_killed_server_is_no_longer_listed_and_does_nothing():
    async def use(platform, client):
        server = next(iter(platform.servers_by_id.values()))
        platform.kill_server(server)
        assert server.is_gone
        return await client.read_newest(TOPIC)

    (left,) = asyncio.run(with_store(use)).records
    assert left.key == "i-0002"


def test_a_server_is_listed_with_the_port_of_its_front():
    async def open_proxy(port):
        return 1

    async def run():
        platform = FleetPlatform(
            configuration=Configuration(version=1), n_servers=1, open_proxy=open_proxy
        )
        await platform.start()
        (server,) = platform.servers_by_id.values()
        platform.close()
        return server

    server = asyncio.run(run())
    assert server.record.port == 1
    assert server.port != 1
