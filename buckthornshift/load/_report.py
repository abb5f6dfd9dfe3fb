"""Readable tables and comparisons of load results."""

from ._recorder import LoadResult
from ._result_files import read_result_file

NO_VALUE = "-"


def read_results(path):
    """Return the :class:`LoadResult` of each run in a file."""
    return read_result_file(path, LoadResult)


def render_results(results):
    """Return a table of results.

    :param results: list of :class:`LoadResult`.
    """
    header = (
        f"{'run':<34}{'jobs':>6}{'complete':>9}{'refused':>8}{'failed':>7}"
        f"{'late':>5}{'p50':>7}{'p90':>7}{'p99':>8}{'p99.9':>8}"
        f"{'waste/job':>10}{'to callers':>11}{'twice':>6}"
    )
    lines = [header] + [_render_row(result) for result in results]
    for result in results:
        if result.n_violations:
            lines.append(f"VIOLATIONS in {result.name}: {result.n_violations}")
    return "\n".join(lines)


def render_comparison(before, after):
    """Return two results side by side as ratios of the second to the first.

    :param before: a :class:`LoadResult`.
    :param after: another.
    """
    rows = [(f"{'':<28}{before.name:>26}{after.name:>26}{'ratio':>8}")]
    for title, first, second in _list_pairs(before, after):
        rows.append(
            f"{title:<28}{_format(first):>26}{_format(second):>26}"
            f"{_format_ratio(first, second):>8}"
        )
    return "\n".join(rows)


def count_by_status(result):
    """Return answers by status without the reason.

    :param result: a :class:`LoadResult`.
    """
    counts = {"complete": 0, "not_run": 0, "failed": 0, "none": 0}
    for key, count in result.n_by_status.items():
        counts[key.partition("/")[0]] += count
    return counts


def _render_row(result):
    counts = count_by_status(result)
    ratios = result.ratio_by_percentile
    cells = "".join(
        f"{_format(ratios.get(key)):>{width}}"
        for key, width in (("50", 7), ("90", 7), ("99", 8), ("99.9", 8))
    )
    return (
        f"{result.name:<34}{result.n_jobs:>6}{counts['complete']:>9}"
        f"{counts['not_run']:>8}{counts['failed']:>7}{result.n_late:>5}{cells}"
        f"{result.wasted_per_job:>10.2f}{result.wasted_client_per_job:>11.2f}"
        f"{result.n_repeated_starts:>6}"
    )


def _list_pairs(before, after):
    pairs = [("jobs", before.n_jobs, after.n_jobs)]
    first = count_by_status(before)
    second = count_by_status(after)
    pairs += [(status, first[status], second[status]) for status in first]
    for percentile in before.ratio_by_percentile:
        pairs.append(
            (
                f"response/ideal p{percentile}",
                before.ratio_by_percentile[percentile],
                after.ratio_by_percentile.get(percentile),
            )
        )
    pairs.append(("wasted/job", before.wasted_per_job, after.wasted_per_job))
    pairs.append(("late", before.n_late, after.n_late))
    for kind, count in before.n_messages_by_kind.items():
        pairs.append((kind, count, after.n_messages_by_kind.get(kind)))
    return pairs


def _format(value):
    if value is None:
        return NO_VALUE
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _format_ratio(first, second):
    if not first or second is None:
        return NO_VALUE
    return f"{second / first:.2f}"
