"""Commands that run stand-ins for the systems around."""

import asyncio

import click
import msgspec

from ..documents import parse_json_with_comments
from ..links import HttpPool, send_request
from ..standins import (
    BackendStandin,
    BackendStandinSettings,
    PlatformStandin,
    PlatformStandinSettings,
)
from ._output import AddressType, ExitCode, platform_option, run_async
from ._serve import install_signal_handlers


@click.group()
def standin():
    """Run stand-ins for tests: the platform and backend servers."""


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="TCP port; 0 for any.")
@click.option("--sync-ms", default=4.0, show_default=True, help="Time of an append.")
@click.option(
    "--retention-ms", default=3_600_000.0, show_default=True, help="Retention."
)
@run_async
async def platform(host, port, sync_ms, retention_ms):
    """Run the platform's log and instance list."""
    server = PlatformStandin(
        PlatformStandinSettings(
            host=host, port=port, sync_ms=sync_ms, retention_ms=retention_ms
        )
    )
    await server.start()
    click.echo(f"platform on {host}:{server.bound_port}")
    await _wait_for_signal()
    await server.stop()
    return ExitCode.OK


@standin.command()
@platform_option
@click.option("--name", default="server-1", show_default=True)
@click.option("--zone", default="zone-a", show_default=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="TCP port; 0 for any.")
@click.option("--slots", default=8, show_default=True)
@click.option("--run-ms", default=50.0, show_default=True, help="Default run time.")
@click.option("--zone-delay-ms", default=0.0, help="Delay to other zones, one way.")
@run_async
async def backend(platform, name, zone, host, port, slots, run_ms, zone_delay_ms):
    """Run a backend server; SIGTERM makes it leave gracefully."""
    server = BackendStandin(
        BackendStandinSettings(
            server_id=name,
            zone=zone,
            host=host,
            port=port,
            slots=slots,
            default_run_ms=run_ms,
            zone_delay_ms=zone_delay_ms,
        ),
        platform_host=platform[0],
        platform_port=platform[1],
    )
    await server.start()
    click.echo(f"backend server {name} on {host}:{server.bound_port}")
    await _wait_for_signal()
    await server.leave()
    return ExitCode.OK


@standin.command()
@click.argument("address", type=AddressType())
@click.argument("faults")
@run_async
async def faults(address, faults):
    """Set the faults of the stand-in at ADDRESS, given as JSON.

    Example: '{"fails_everything": true}' for a backend server or
    '{"is_log_down": true}' for the platform; '{}' ends all faults.
    """
    value = parse_json_with_comments(faults, "faults")
    pool = HttpPool(host=address[0], port=address[1])
    try:
        await send_request(pool, "POST", "/v1/faults", msgspec.json.encode(value))
    finally:
        pool.close()
    return ExitCode.OK


async def _wait_for_signal():
    stopped = asyncio.Event()

    async def stop():
        stopped.set()

    install_signal_handlers(stop)
    await stopped.wait()
