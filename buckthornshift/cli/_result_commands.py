"""Commands on result files, shared by every kind of load."""

import click

from ..contracts import BuckthornshiftError
from ._output import report_error


def add_result_commands(
    group, read_results, render_results, render_comparison, import_plot_function
):
    """Add the commands ``compare`` and ``report`` to a group.

    :param group: the :class:`click.Group`.
    :param read_results: function that reads the results from the file at a path.
    :param render_results: function that formats a list of results as a table.
    :param render_comparison: function that formats two results side by side.
    :param import_plot_function: function that imports and returns the function that
        plots results; called only by ``report``, as the plotting library is large.
    """

    @group.command()
    @click.argument("before")
    @click.argument("after")
    def compare(before, after):
        """Compare two result files side by side, run by run."""
        pairs = zip(
            _read_or_exit(read_results, before),
            _read_or_exit(read_results, after),
            strict=False,
        )
        for before_result, after_result in pairs:
            click.echo(render_comparison(before_result, after_result))

    @group.command()
    @click.argument("results_file")
    @click.option("--out", "folder", default="results", show_default=True)
    @click.option("--format", "file_format", type=click.Choice(["png", "svg"]))
    def report(results_file, folder, file_format):
        """Plot the results in RESULTS_FILE into image files in a folder."""
        results = _read_or_exit(read_results, results_file)
        click.echo(render_results(results))
        for path in import_plot_function()(results, folder, file_format or "png"):
            click.echo(str(path))


def _read_or_exit(read_results, path):
    try:
        return read_results(path)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
