"""The ``serve`` command."""

import asyncio
import signal
import sys

import click
import eliot

from ..documents import read_text
from ..instances import EntryProcess, parse_settings
from ._output import ExitCode, run_async


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@run_async
async def serve(settings_file, check):
    """Run an entry instance with settings from SETTINGS_FILE.

    SIGTERM and SIGINT stop it gracefully: it answers everything in flight first.
    """
    settings = parse_settings(read_text(settings_file), settings_file)
    if check:
        click.echo(f"{settings_file}: ok")
        return ExitCode.OK
    configure_logging(settings.log_file)
    process = EntryProcess(settings=settings)
    await process.start()
    click.echo(f"serving callers on {settings.callers.host}:{process.http_port}")
    install_signal_handlers(process.drain)
    await process.wait()
    click.echo("stopped")
    return ExitCode.OK


def install_signal_handlers(stop):
    """Call an async function at SIGTERM or SIGINT.

    :param stop: the function.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: asyncio.ensure_future(stop()))


def configure_logging(log_file):
    """Send structured logs to a file.

    :param log_file: path, ``-`` for standard error, empty for none.
    """
    if log_file == "-":
        eliot.to_file(sys.stderr)
    elif log_file:
        eliot.to_file(open(log_file, "ab"))  # noqa: SIM115
