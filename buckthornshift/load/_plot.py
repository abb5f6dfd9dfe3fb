"""Pictures of load results."""

import pathlib

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from ._report import count_by_status  # noqa: E402

SIZE_INCHES = (9.0, 5.0)
N_BINS = 60


def plot_results(results, folder, file_format="png"):
    """Draw results into a folder.

    :param results: list of :class:`LoadResult`.
    :param folder: path of the folder; made if missing.
    :param file_format: ``png`` or ``svg``.
    :returns: paths of the pictures.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    drawings = {
        "percentiles": _draw_percentiles,
        "over-time": _draw_over_time,
        "messages": _draw_messages,
        "answers": _draw_answers,
    }
    return [
        _save(draw, results, folder / f"{name}.{file_format}")
        for name, draw in drawings.items()
    ]


def _save(draw, results, path):
    figure, axes = plt.subplots(figsize=SIZE_INCHES, layout="constrained")
    draw(axes, results)
    figure.savefig(path, dpi=110)
    plt.close(figure)
    return path


def _draw_percentiles(axes, results):
    for result in results:
        ratios = sorted(point.ratio for point in result.points)
        n_points = len(ratios)
        if not n_points:
            continue
        shares = [100.0 * (index + 1) / n_points for index in range(n_points)]
        axes.plot(shares, ratios, label=result.name)
    axes.set_yscale("log")
    axes.set_xlabel("share of complete jobs, %")
    axes.set_ylabel("response over ideal")
    axes.axhline(1.5, color="grey", linewidth=0.8, linestyle="--")
    axes.set_title("Response over ideal by percentile")
    axes.grid(alpha=0.3)
    axes.legend()


def _draw_over_time(axes, results):
    for result in results:
        times, worst = _find_worst_by_bin(result.points)
        axes.plot(times, worst, drawstyle="steps-mid", label=result.name)
    axes.set_yscale("log")
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("worst response over ideal in the bin")
    axes.set_title("Response over ideal over time")
    axes.grid(alpha=0.3)
    axes.legend()


def _draw_messages(axes, results):
    kinds = list(results[0].n_messages_by_kind)
    height = 0.8 / len(results)
    for index, result in enumerate(results):
        positions = [row + index * height for row in range(len(kinds))]
        per_job = [
            result.n_messages_by_kind[kind] / max(1, result.n_jobs) for kind in kinds
        ]
        axes.barh(positions, per_job, height=height, label=result.name)
    axes.set_yticks(range(len(kinds)), kinds)
    axes.invert_yaxis()
    axes.set_xlabel("messages per job")
    axes.set_title("Messages by kind")
    axes.legend()


def _draw_answers(axes, results):
    names = [result.name for result in results]
    left = [0] * len(results)
    for status in ("complete", "not_run", "failed", "none"):
        counts = [count_by_status(result)[status] for result in results]
        axes.barh(names, counts, left=left, label=status)
        left = [a + b for a, b in zip(left, counts, strict=True)]
    axes.set_xlabel("jobs")
    axes.set_title("Answers")
    axes.legend()


def _find_worst_by_bin(points):
    if not points:
        return [], []
    length_ms = max(point.at_ms for point in points) or 1.0
    worst_by_bin = {}
    for point in points:
        index = min(N_BINS - 1, int(point.at_ms / length_ms * N_BINS))
        worst_by_bin[index] = max(point.ratio, worst_by_bin.get(index, 0.0))
    bins = sorted(worst_by_bin)
    times_s = [(index + 0.5) * length_ms / N_BINS / 1000.0 for index in bins]
    return times_s, [worst_by_bin[index] for index in bins]
