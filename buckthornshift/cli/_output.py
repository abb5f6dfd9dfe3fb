"""Output, exit codes and errors of the commands."""

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
    """Exit codes of the commands; documented in the operators' guide."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNREACHABLE = 4
    CONFLICT = 5
    TIMED_OUT = 6
    VIOLATION = 7


_UNREACHABLE = (
    PlatformUnreachableError,
    CatalogueIncompleteError,
    PortInUseError,
    *(e for e in LINK_ERRORS if issubclass(e, BuckthornshiftError)),
)
_UNKNOWN = (NoAnswerError, VerdictUnknownError)


class AddressType(click.ParamType):
    """An ``IP:PORT`` pair."""

    name = "ip:port"

    def convert(self, value, param, ctx):
        """Return a (host, port) pair."""
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
    help="Format of the output.",
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
    """Print a value as JSON, or its text.

    :param value: the value.
    :param output: ``json`` or ``text``.
    :param text: what to print as text.
    """
    if output == "json":
        echo_json(value)
    else:
        click.echo(text)


def run_async(function):
    """Run an async command and turn typed errors into exit codes."""

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
    """Print a typed error without a traceback and return its exit code."""
    click.echo(f"error: {type(error).__name__}: {error}", err=True)
    match error:
        case InvalidInputError():
            return ExitCode.USAGE
        case InvariantError():
            return ExitCode.VIOLATION
        case _ if isinstance(error, _UNREACHABLE):
            return ExitCode.UNREACHABLE
        case _ if isinstance(error, _UNKNOWN):
            return ExitCode.TIMED_OUT
    return ExitCode.FAILED
