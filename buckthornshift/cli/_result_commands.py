"""Commands on files of results, the same for every kind of load."""

import click

from ..contracts import BuckthornshiftError
from ._output import report_error


def add_result_commands(group, read, render, render_pair, load_draw):
    """Add ``compare`` and ``report`` to a group.

    :param group: the :class:`click.Group`.
    :param read: returns the results in a file.
    :param render: returns a table of results.
    :param render_pair: returns two results side by side.
    :param load_draw: returns the function that draws results; it is called only to
        draw, as pictures need a large library.
    """

    @group.command()
    @click.argument("before")
    @click.argument("after")
    def compare(before, after):
        """Set two result files side by side, run by run."""
        pairs = zip(_read(read, before), _read(read, after), strict=False)
        for first, second in pairs:
            click.echo(render_pair(first, second))

    @group.command()
    @click.argument("results_file")
    @click.option("--out", "folder", default="results", show_default=True)
    @click.option("--format", "file_format", type=click.Choice(["png", "svg"]))
    def report(results_file, folder, file_format):
        """Draw the results in RESULTS_FILE as pictures into a folder."""
        results = _read(read, results_file)
        click.echo(render(results))
        for path in load_draw()(results, folder, file_format or "png"):
            click.echo(str(path))


def _read(read, path):
    try:
        return read(path)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
