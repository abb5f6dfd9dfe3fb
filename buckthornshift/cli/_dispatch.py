"""The ``dispatch`` command: run a dispatching instance."""

import click

from ..contracts import InvalidInputError
from ..documents import read_text
from ..serving import find_settings_path, parse_serving_settings
from ..serving._run import run
from ._output import ExitCode


@click.command()
@click.argument("settings_file", required=False, type=click.Path(dir_okay=False))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def dispatch(settings_file, check):
    """Run a dispatching instance on the platform.

    SETTINGS_FILE defaults to the path in the environment variable
    BUCKTHORNSHIFT_CONFIG. SIGTERM and SIGINT stop the instance gracefully.
    `python3 -m buckthornshift.serving` does the same and uses less memory, as it does
    not load the command line.
    """
    if check:
        try:
            path = find_settings_path(settings_file)
            parse_serving_settings(read_text(path), path)
        except InvalidInputError as error:
            click.echo(error, err=True)
            raise SystemExit(int(ExitCode.USAGE)) from error
        click.echo(f"{path}: ok")
        return
    raise SystemExit(run(settings_file))
