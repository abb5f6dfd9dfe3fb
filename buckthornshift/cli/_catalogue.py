"""Commands that validate, compare, apply and read the catalogue."""

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
    """Validate, compare, apply and read the catalogue."""


@catalogue.command()
@click.argument("file")
@run_async
async def validate(file):
    """Check that FILE holds a valid catalogue."""
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
    """Show the changes that applying FILE would make."""
    desired_items = flatten_document(parse_catalogue(read_text(file), file))
    client = _make_client(platform)
    current = await client.read_catalogue()
    changed_items = diff_items(current.items_by_key, desired_items)
    click.echo(f"current version: {current.version}")
    _echo_changes(current, changed_items)
    return ExitCode.OK


@catalogue.command()
@click.argument("file")
@platform_option
@click.option(
    "--based-on",
    type=int,
    help="Version that the file was made from; default: the current version.",
)
@click.option("--author", default="", help="Author of the change.")
@click.option(
    "--wait",
    "wait_s",
    type=float,
    help="Wait up to this many seconds until the change is in effect.",
)
@output_option
@run_async
async def apply(file, platform, based_on, author, wait_s, output):
    """Apply the catalogue in FILE.

    If an item was changed by somebody else since the base version, nothing is changed
    and the exit code is 5.
    """
    desired_items = flatten_document(parse_catalogue(read_text(file), file))
    client = _make_client(platform)
    current = await client.read_catalogue()
    changed_items = diff_items(current.items_by_key, desired_items)
    if not changed_items:
        click.echo(f"no changes to version {current.version}")
        return ExitCode.OK
    base_version = current.version if based_on is None else based_on
    verdict = await client.apply(changed_items, base_version, author)
    if not verdict.is_accepted:
        conflicting_keys = ", ".join(verdict.conflicts)
        text = f"rejected: changed since version {base_version}: {conflicting_keys}"
        echo_value(attrs.asdict(verdict), output, text)
        return ExitCode.CONFLICT
    echo_value(attrs.asdict(verdict), output, f"accepted as version {verdict.offset}")
    if wait_s is None:
        return ExitCode.OK
    return await _wait_until_in_effect(client, verdict.offset, wait_s)


@catalogue.command()
@platform_option
@run_async
async def show(platform):
    """Print the current catalogue in the format that `apply` reads."""
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
    """Wait until VERSION is in effect at every listed entry instance."""
    return await _wait_until_in_effect(_make_client(platform), version, timeout_s)


async def _wait_until_in_effect(client, version, timeout_s):
    lagging_instances = await client.wait_until_applied(version, timeout_s)
    if not lagging_instances:
        click.echo(f"version {version} is in effect at every listed instance")
        return ExitCode.OK
    for instance in lagging_instances:
        click.echo(
            f"{instance.instance_id}: has read up to version {instance.covers}",
            err=True,
        )
    return ExitCode.TIMED_OUT


def _make_client(platform):
    host, port = platform
    return OperatorClient(host=host, port=port)


def _echo_changes(current, changed_items):
    if not changed_items:
        click.echo("no changes")
    for key, item in sorted(changed_items.items()):
        click.echo(render_change(key, current.items_by_key.get(key), item))
