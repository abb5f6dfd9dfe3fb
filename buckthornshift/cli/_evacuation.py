"""Commands by which operators evacuate availability zones on the platform."""

import click

from ..platform import (
    CONFIGURATION_TOPIC,
    EVACUATION_DOCUMENT,
    SERVERS_TOPIC,
    EvacuatedZones,
    StoreClient,
    StoreError,
    StoreErrorKind,
    UnreadableError,
    decode_server,
    make_evacuation_key,
)
from ..serving._http_client import HttpConnectionPool
from ._output import AddressType, ExitCode, echo_value, output_option, run_async

STORE_TIMEOUT_S = 2.0

store_option = click.option(
    "--store",
    type=AddressType(),
    required=True,
    envvar="BUCKTHORNSHIFT_STORE",
    help="Address of the platform's store, IP:PORT.",
)


def _check_zone(ctx, param, zone):
    try:
        make_evacuation_key(zone)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error
    return zone


zone_argument = click.argument("zone", callback=_check_zone)


@click.group()
def evacuation():
    """Start, end and list evacuations of availability zones.

    While a zone is evacuated, dispatching instances start no new task on its servers;
    tasks that run there finish. Example: `buckthornshift evacuation start zone-a
    --store 10.0.0.2:8500`.

    Exit code 4 if the store can't be used; 6 if it doesn't answer, so that the change
    may have been made. Both commands can be repeated.
    """


@evacuation.command()
@zone_argument
@store_option
@run_async
async def start(zone, store):
    """Start no new task on servers of ZONE."""
    return await _run(store, _start, zone)


@evacuation.command()
@zone_argument
@store_option
@run_async
async def end(zone, store):
    """Use the servers of ZONE again."""
    return await _run(store, _end, zone)


@evacuation.command(name="list")
@store_option
@output_option
@run_async
async def list_zones(store, output):
    """List the evacuated zones, and how many servers are listed in each."""
    return await _run(store, _list, output)


async def _start(client, zone):
    key = make_evacuation_key(zone)
    await client.put(CONFIGURATION_TOPIC, key, EVACUATION_DOCUMENT)
    click.echo(f"{zone}: evacuation started")
    try:
        n_servers = (await _count_servers(client)).get(zone, 0)
    except StoreError as error:
        click.echo(f"warning: the list of servers can't be read: {error}", err=True)
        return
    if n_servers:
        click.echo(f"{n_servers} servers are listed there")
    else:
        click.echo(f"warning: no server is listed in {zone}", err=True)


async def _end(client, zone):
    await client.put(CONFIGURATION_TOPIC, make_evacuation_key(zone), b"")
    click.echo(f"{zone}: evacuation ended")


async def _list(client, output):
    zones = EvacuatedZones()
    zones.apply(await client.read_newest(CONFIGURATION_TOPIC))
    n_servers_by_zone = await _count_servers(client)
    rows = [
        {"zone": zone, "n_servers": n_servers_by_zone.get(zone, 0)}
        for zone in zones.list()
    ]
    lines = [f"{row['zone']}: {row['n_servers']} servers" for row in rows]
    echo_value(rows, output, "\n".join(lines) or "no zone is evacuated")


async def _count_servers(client):
    """Return the number of listed servers by zone."""
    n_servers_by_zone = {}
    for record in (await client.read_newest(SERVERS_TOPIC)).records:
        try:
            zone = decode_server(record.key, record.value).zone
        except UnreadableError:
            continue
        n_servers_by_zone[zone] = n_servers_by_zone.get(zone, 0) + 1
    return n_servers_by_zone


async def _run(store, command, argument):
    host, port = store
    pool = HttpConnectionPool(host=host, port=port)
    try:
        await command(StoreClient(pool=pool, timeout_s=STORE_TIMEOUT_S), argument)
    except StoreError as error:
        click.echo(f"error: store at {host}:{port}: {error}", err=True)
        is_unknown = error.kind is StoreErrorKind.NO_ANSWER
        return ExitCode.TIMED_OUT if is_unknown else ExitCode.UNREACHABLE
    finally:
        pool.close()
    return ExitCode.OK
