"""Commands for the catalogue."""

import attrs
import click

from ..callers import OperatorClient
from ..core import build_document, diff_items, flatten_document
from ..documents import parse_catalogue, read_text, render_change
from ._output import (
    ExitCode,
    echo_json,
    echo_value,
    output_option,
    platform_option,
    run_async,
)


@click.group()
def catalogue():
    """Check, compare, change and follow the catalogue."""


@catalogue.command()
@click.argument("file")
@run_async
async def validate(file):
    """Check the catalogue in FILE."""
    document = parse_catalogue(read_text(file), file)
    click.echo(
        f"{file}: ok, {len(document.owners)} owners, {len(document.entries)} entries"
    )
    return ExitCode.OK


@catalogue.command()
@click.argument("file")
@platform_option
@run_async
async def diff(file, platform):
    """Show what applying FILE would change."""
    wanted = flatten_document(parse_catalogue(read_text(file), file))
    client = _make_client(platform)
    current = await client.read_catalogue()
    changed = diff_items(current.items_by_key, wanted)
    click.echo(f"version in force: {current.version}")
    _echo_changes(current, changed)
    return ExitCode.OK


@catalogue.command()
@click.argument("file")
@platform_option
@click.option(
    "--based-on",
    type=int,
    help="Version the file was made from; default: the version in force now.",
)
@click.option("--author", default="", help="Who makes the change.")
@click.option("--wait", "wait_s", type=float, help="Wait this long until in force.")
@output_option
@run_async
async def apply(file, platform, based_on, author, wait_s, output):
    """Bring the catalogue in FILE into force.

    If another change of the same items came first, nothing is changed and the exit
    code is 5.
    """
    wanted = flatten_document(parse_catalogue(read_text(file), file))
    client = _make_client(platform)
    current = await client.read_catalogue()
    changed = diff_items(current.items_by_key, wanted)
    if not changed:
        click.echo(f"nothing to change at version {current.version}")
        return ExitCode.OK
    base = current.version if based_on is None else based_on
    verdict = await client.apply(changed, base, author)
    if not verdict.is_accepted:
        conflicts = ", ".join(verdict.conflicts)
        text = f"rejected: changed since version {base}: {conflicts}"
        echo_value(attrs.asdict(verdict), output, text)
        return ExitCode.CONFLICT
    echo_value(attrs.asdict(verdict), output, f"accepted as version {verdict.offset}")
    if wait_s is None:
        return ExitCode.OK
    return await _wait(client, verdict.offset, wait_s)


@catalogue.command()
@platform_option
@run_async
async def show(platform):
    """Print the catalogue in force, in the format that `apply` takes."""
    current = await _make_client(platform).read_catalogue()
    click.echo(f"// version {current.version}")
    echo_json(build_document(current.items_by_key))
    return ExitCode.OK


@catalogue.command()
@click.argument("version", type=int)
@platform_option
@click.option("--timeout", "timeout_s", default=6.0, show_default=True)
@run_async
async def wait(version, platform, timeout_s):
    """Wait until VERSION is in force at every listed entry instance."""
    return await _wait(_make_client(platform), version, timeout_s)


async def _wait(client, version, timeout_s):
    lagging = await client.wait_until_applied(version, timeout_s)
    if not lagging:
        click.echo(f"version {version} is in force at every listed instance")
        return ExitCode.OK
    for instance in lagging:
        click.echo(f"{instance.instance_id}: read up to {instance.covers}", err=True)
    return ExitCode.TIMED_OUT


def _make_client(platform):
    host, port = platform
    return OperatorClient(host=host, port=port)


def _echo_changes(current, changed):
    if not changed:
        click.echo("no change")
    for key, item in sorted(changed.items()):
        click.echo(render_change(key, current.items_by_key.get(key), item))
