"""Output, exit codes, shared options and error handling of the commands."""

import asyncio
import enum
import functools
import sys

import click
import msgspec

from ..callers import (
    CatalogueIncompleteError,
    NoAnswerError,
    PlatformUnreachableError,
    VerdictUnknownError,
)
from ..contracts import BuckthornshiftError, InvalidInputError
from ..core import InvariantError
from ..links import LINK_ERRORS, PortInUseError


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, as listed in the operators' guide."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNREACHABLE = 4
    CONFLICT = 5
    TIMED_OUT = 6
    VIOLATION = 7


_UNREACHABLE_ERRORS = (
    PlatformUnreachableError,
    CatalogueIncompleteError,
    PortInUseError,
    *(e for e in LINK_ERRORS if issubclass(e, BuckthornshiftError)),
)
_TIMEOUT_ERRORS = (NoAnswerError, VerdictUnknownError)


class AddressType(click.ParamType):
    """Option type for an address of the form ``IP:PORT``."""

    name = "ip:port"

    def convert(self, value, param, ctx):
        """Parse an address and return a (host, port) pair."""
        if isinstance(value, tuple):
            return value
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            self.fail(f"got {value!r}, expected IP:PORT", param, ctx)
        return host, int(port)


output_option = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Output format.",
)
platform_option = click.option(
    "--platform",
    type=AddressType(),
    required=True,
    envvar="BUCKTHORNSHIFT_PLATFORM",
    help="Address of the platform, IP:PORT.",
)


def echo_json(value):
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def echo_value(value, output, text):
    """Print a value in the requested output format.

    :param value: the value, printed if the format is ``json``.
    :param output: ``json`` or ``text``.
    :param text: the rendered value, printed if the format is ``text``.
    """
    if output == "json":
        echo_json(value)
    else:
        click.echo(text)


def run_async(function):
    """Wrap an async command: run it and turn the project's errors into exit codes."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        try:
            code = asyncio.run(function(*args, **kwargs))
        except BuckthornshiftError as error:
            code = report_error(error)
        except KeyboardInterrupt:
            click.echo("interrupted", err=True)
            code = 130
        sys.exit(int(code or 0))

    return wrapper


def report_error(error):
    """Print an error of the project without a traceback and return its exit code."""
    click.echo(f"error: {type(error).__name__}: {error}", err=True)
    match error:
        case InvalidInputError():
            return ExitCode.USAGE
        case InvariantError():
            return ExitCode.VIOLATION
        case _ if isinstance(error, _UNREACHABLE_ERRORS):
            return ExitCode.UNREACHABLE
        case _ if isinstance(error, _TIMEOUT_ERRORS):
            return ExitCode.TIMED_OUT
    return ExitCode.FAILED
