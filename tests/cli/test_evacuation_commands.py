"""Evacuations of zones, started and ended by operators in a store on loopback."""

import asyncio
import json
import threading

import pytest
from click.testing import CliRunner

from buckthornshift.cli import main
from buckthornshift.dispatch import Configuration
from buckthornshift.standins import FleetPlatform, StoreFaults


class Operator:
    """Run commands against a platform of two servers in ``zone-a``."""

    def __init__(self, platform):
        self.platform = platform

    def run(self, *args):
        address = f"127.0.0.1:{self.platform.store.port}"
        return CliRunner().invoke(main, ["evacuation", *args, "--store", address])

    def list_zones(self):
        result = self.run("list", "--output", "json")
        assert result.exit_code == 0, result.output
        return {row["zone"]: row["n_servers"] for row in json.loads(result.output)}


@pytest.fixture
def operator():
    loop = asyncio.new_event_loop()
    platform = FleetPlatform(configuration=Configuration(version=1), n_servers=2)
    loop.run_until_complete(platform.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield Operator(platform)
    loop.call_soon_threadsafe(platform.close)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def test_evacuations_are_started_listed_and_ended(operator):
    assert operator.list_zones() == {}
    result = operator.run("start", "zone-a")
    assert result.exit_code == 0
    assert "2 servers" in result.output
    operator.run("start", "zone-b")
    assert operator.list_zones() == {"zone-a": 2, "zone-b": 0}
    assert operator.run("end", "zone-a").exit_code == 0
    assert operator.list_zones() == {"zone-b": 0}


def test_zone_without_servers_is_evacuated_with_a_warning(operator):
    result = operator.run("start", "zone-x")
    assert result.exit_code == 0
    assert "no server is listed in zone-x" in result.output


def test_invalid_zone_is_a_usage_error(operator):
    assert operator.run("start", "z" * 300).exit_code == 2
    assert operator.list_zones() == {}


@pytest.mark.parametrize(
    ("faults", "code"),
    [(StoreFaults(is_away=True), 4), (StoreFaults(refused_share=1.0), 4)],
)
def test_store_that_refuses_is_reported(operator, faults, code):
    operator.platform.store.faults = faults
    result = operator.run("start", "zone-a")
    assert result.exit_code == code
    assert "error: store at" in result.output
    assert "started" not in result.output
