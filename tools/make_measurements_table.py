"""Print the Markdown table of docs/MEASUREMENTS.md from files of ``load run``.

Usage: python tools/make_measurements_table.py results/*.json
"""

import sys

from buckthornshift.load import read_results
from buckthornshift.load._report import count_by_status

TABLE_HEAD = (
    "| run | jobs | complete | refused | failed | late | p50 | p90 | p99 | p99.9 "
    "| wasted a job | inside against default | started twice |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|"
)


def render_row(result, default):
    """Return the row of one result.

    :param result: the :class:`~buckthornshift.load.LoadResult`.
    :param default: result of the default policy in the same file, which the wasted
        work of this one is compared with.
    """
    counts = count_by_status(result)
    ratios = result.ratio_by_percentile
    cells = [
        result.name,
        result.n_jobs,
        counts["complete"],
        counts["not_run"],
        counts["failed"] + counts["none"],
        result.n_late,
        *(f"{ratios[key]:.3f}" for key in ("50", "90", "99", "99.9")),
        f"{result.wasted_per_job:.2f}",
        f"{result.wasted_per_job / default.wasted_per_job:.1f}",
        result.n_repeated_starts,
    ]
    return f"| {' | '.join(map(str, cells))} |"


def main():
    """Print the table of all files named on the command line."""
    print(TABLE_HEAD)
    for path in sys.argv[1:]:
        results = read_results(path)
        for result in results:
            if result.n_violations:
                print(f"VIOLATIONS in {result.name}: {result.n_violations}")
            print(render_row(result, results[0]))


if __name__ == "__main__":
    main()
