"""Write docs/CAPACITY.md from the measured points in docs/slopes.json."""

import json
import pathlib

import attrs

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"

# The deployment to design for, and the resource limits of its control processes.
N_WORKERS = 1_700
STARTS_PER_S = 52_000
N_TEAMS = 690
N_ZONES = 23
CHANGES_PER_DAY = 660
RESTARTS_PER_DAY = 390 + 19
CONTROL_CORE = 0.022
CONTROL_MB = 32.0
CONTROL_KB_PER_S = 18.0
N_DISPATCHERS = 9 * N_ZONES
# Size of a heartbeat on the wire, with the frame header and the TCP header.
HEARTBEAT_BYTES = 330
IDLE_HEARTBEATS_PER_S = 2.0
# Assumptions, which the page states.
TASKS_PER_JOB = 50
TARGET_CORE = 0.6
LOG_APPENDS_PER_S = 300.0
CLAIMS_KEPT_S = 1_200.0
SECONDS_PER_DAY = 86_400.0


@attrs.frozen(kw_only=True)
class LinearFit:
    """A least-squares line through measured points.

    :param intercept: value at size 0.
    :param slope: growth for one unit of size.
    :param r_squared: coefficient of determination.
    """

    intercept: float = 0.0
    slope: float = 0.0
    r_squared: float = 0.0

    def at(self, size):
        """Return the value that the line gives at a size."""
        return self.intercept + self.slope * size


def fit_line(points, key):
    """Return the :class:`LinearFit` of a measured value against size.

    :param points: measured points, each with a ``size``.
    :param key: key of the measured value in each point.
    """
    sizes = [point["size"] for point in points]
    values = [point[key] for point in points]
    n_points = len(points)
    mean_size = sum(sizes) / n_points
    mean_value = sum(values) / n_points
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((s - mean_size) * (v - mean_value) for s, v in pairs) / size_variation
    intercept = mean_value - slope * mean_size
    residual_variation = sum((v - intercept - slope * s) ** 2 for s, v in pairs)
    total_variation = sum((v - mean_value) ** 2 for v in values) or 1.0
    return LinearFit(
        intercept=intercept,
        slope=slope,
        r_squared=1.0 - residual_variation / total_variation,
    )


def fit_instance(points):
    """Return the core seconds that a serve process spends on a job and on a task.

    :param points: points of ``tools/measure_instance.py`` after the idle one.
    :returns: seconds a job and seconds a task, fitted by least squares.
    """
    rows = [(p["jobs_per_s"], p["starts_per_s"], p["core"]) for p in points]
    # Solves the normal equations of core = a * jobs/s + b * starts/s.
    jj = sum(j * j for j, _, _ in rows)
    js = sum(j * s for j, s, _ in rows)
    ss = sum(s * s for _, s, _ in rows)
    jc = sum(j * c for j, _, c in rows)
    sc = sum(s * c for _, s, c in rows)
    determinant = jj * ss - js * js
    return (jc * ss - sc * js) / determinant, (sc * jj - jc * js) / determinant


def render_number(value):
    """Return a number with three significant digits, or as an integer from 100."""
    if abs(value) >= 100.0 or value == 0.0:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def render_points(points, key):
    """Return the sizes and values of measured points as text."""
    return ", ".join(f"{p['size']:,}: {render_number(p[key])}" for p in points)


def render_page(data):
    """Return the page as Markdown.

    :param data: the contents of docs/slopes.json.
    """
    fits = {
        (series, key): fit_line(points, key)
        for series, points in data.items()
        if series != "instance"
        for key in points[0]
        if key != "size"
    }
    idle, *loaded = data["instance"]
    per_job_s, per_task_s = fit_instance(loaded)
    return "\n".join(
        [
            render_head(),
            render_slopes(data, fits),
            render_instance(idle, loaded, per_job_s, per_task_s),
            render_design_size(fits, idle, per_job_s, per_task_s),
            render_limits(fits, idle, per_job_s, per_task_s),
            render_dispatch(data, fits),
        ]
    )


def make_row(*cells):
    """Return a row of a Markdown table."""
    return f"| {' | '.join(cells)} |"


def render_dispatch(data, fits):
    """Return the section on dispatching instances on the platform."""
    rows = [
        make_row(
            f"{point['servers']} servers, {point['starts_per_s']:.0f} starts/s",
            f"{point['owner_core']:.2%}",
            f"{1e6 * point['owner_core'] / point['starts_per_s']:.0f} µs",
        )
        for point in data["dispatch_starts"]
    ]
    return f"""
## Dispatching instances on the platform

Measured by `tools/measure_dispatch.py`: dispatch cores under the virtual clock, CPU
time spent inside them. The cost of the sockets is not included; on the users' bench a
whole process of 9 with 24 servers used 1.8% of a core and 22.8 MB on a quiet day, of 41
with 175 servers 5.6% on average, 40% as owner, and 29.3 MB (one run each).

| owner, load | CPU time of the core | per start |
|---|---|---|
{chr(10).join(rows)}

{render_dispatch_growth(fits)}

Conclusions: one owner can serve the servers of a region today (24 to 175). The choice
of a server scans all of them, so the cost of a start grows with their number; at
{STARTS_PER_S:,} starts a second the work has to be split. What would make this size
feasible, not built: cells of some tens of servers with one owner each, by the same
claim and fence, jobs passed to the cell with free capacity; and heartbeats only between
the members of a region and the owners, since the full mesh of all instances exceeds the
{CONTROL_KB_PER_S:.0f} KB/s allowed."""


def render_dispatch_growth(fits):
    """Return the table of costs that grow with instances and servers."""
    peer_core = fits["dispatch_peers", "other_core"]
    owner_core = fits["dispatch_peers", "owner_core"]
    server_bytes = fits["dispatch_servers", "state_bytes"].slope
    peer_bytes = fits["dispatch_peers", "state_bytes"].slope
    state_mb = (server_bytes * N_WORKERS + peer_bytes * N_DISPATCHERS) / 1e6
    heartbeats_kb_per_s = IDLE_HEARTBEATS_PER_S * N_DISPATCHERS * HEARTBEAT_BYTES / 1e3
    size = f"{N_DISPATCHERS} instances, {N_WORKERS:,} servers"
    rows = [
        make_row("cost", "growth", f"at the design size ({size})"),
        make_row("---", "---", "---"),
        make_row(
            "heartbeats, an instance that is not owner",
            f"{peer_core.slope:.4%} of a core per peer",
            f"{peer_core.at(N_DISPATCHERS):.1%}",
        ),
        make_row(
            "heartbeats, the owner",
            f"{owner_core.slope:.4%} of a core per peer",
            f"{owner_core.at(N_DISPATCHERS):.1%}",
        ),
        make_row(
            "heartbeats, bytes",
            f"{IDLE_HEARTBEATS_PER_S:.0f} a second per peer",
            f"{heartbeats_kb_per_s:.0f} KB/s",
        ),
        make_row(
            "state",
            f"{server_bytes:.0f} bytes per server, {peer_bytes:.0f} per peer",
            f"{state_mb:.1f} MB",
        ),
    ]
    return chr(10).join(rows)


def render_head():
    """Return the introduction: the sources, the design size and the assumptions."""
    return f"""# Capacity

This page is generated by `tools/make_capacity_page.py` from `docs/slopes.json`, which
`tools/measure_slopes.py` (the pure core, one core) and `tools/measure_instance.sh` (a
whole serve process on loopback) write. A test checks that it is up to date. The
machine was shared, so single figures vary by some tens of per cent between runs;
CPU times of the core are the minimum of 30 repeats.

The design size: {N_WORKERS:,} workers, {STARTS_PER_S:,} starts a second in
jobs of up to 340 tasks, {N_TEAMS} teams with quotas, 7 regions, {N_ZONES} availability
zones, {CHANGES_PER_DAY} changes a day applied within 6 s, {RESTARTS_PER_DAY} failures
and restarts a day; control limited to {CONTROL_CORE:.1%} of a core, {CONTROL_MB:.0f} MB
and {CONTROL_KB_PER_S:.0f} KB a second for each process.

Further assumptions: {TASKS_PER_JOB} tasks per job on average; an entry instance uses
{TARGET_CORE:.0%} of a core; the log accepts {LOG_APPENDS_PER_S:.0f} appends a second
from all instances; claims are kept for {CLAIMS_KEPT_S:.0f} s. Nothing here was measured
at the design size itself unless a point says so: everything else is extrapolated.
"""


def render_slopes(data, fits):
    """Return the table of the lines fitted to each measured value."""
    lines = [
        "## Slopes of the core\n",
        "| size | value | points (size: value) | intercept | slope | R² |",
        "|---|---|---|---|---|---|",
    ]
    for (series, key), fit in fits.items():
        lines.append(
            f"| {series} | {key} | {render_points(data[series], key)} "
            f"| {render_number(fit.intercept)} | {render_number(fit.slope)} "
            f"| {fit.r_squared:.3f} |"
        )
    lines.append("")
    return "\n".join(lines)


def render_instance(idle, loaded, per_job_s, per_task_s):
    """Return the section on the cost of one serve process."""
    lines = [
        "## One serve process\n",
        f"Idle: {idle['idle_core']:.2%} of a core, {idle['rss_mb']:.0f} MB resident.\n",
        "| tasks per job | jobs/s | starts/s | complete | core | MB | added p50 ms "
        "| added p99 ms |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for p in loaded:
        lines.append(
            f"| {p['tasks_per_job']} | {p['jobs_per_s']} | {p['starts_per_s']} "
            f"| {p['n_complete']}/{p['n_jobs']} | {p['core']:.3f} | {p['rss_mb']} "
            f"| {p['added_p50_ms']} | {p['added_p99_ms']} |"
        )
    lines.append(
        f"\nLeast squares: {per_job_s * 1e3:.2f} ms of a core per job and "
        f'{per_task_s * 1e6:.0f} µs per task. "Added" is the caller\'s latency less '
        "the task's own 20 ms; the stand-in's synced append takes 4 ms or more of it.\n"
    )
    return "\n".join(lines)


def compute_n_entries(per_job_s, per_task_s):
    """Return the number of entry instances needed at the design size."""
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    cores = jobs_per_s * per_job_s + STARTS_PER_S * per_task_s
    return max(N_ZONES, round(cores / TARGET_CORE))


def render_design_size(fits, idle, per_job_s, per_task_s):
    """Return the section on the cost of each role at the design size."""
    n_entries = compute_n_entries(per_job_s, per_task_s)
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    list_bytes = fits["servers", "list_wire_bytes"].at(N_WORKERS)
    changes_per_s = 2 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    claim_bytes = fits["claims", "wire_bytes"].slope * jobs_per_s
    claim_core = fits["claims", "read_us"].slope * jobs_per_s / 1e6
    claim_mb = fits["claims", "state_bytes"].slope * jobs_per_s * CLAIMS_KEPT_S / 1e6
    demand_bytes = fits["demand_keys", "wire_bytes"].at(N_TEAMS) * n_entries
    share_ms = fits["share_peers", "share_us"].at(n_entries) / 1e3
    idle_core = fits["idle_servers", "second_us"].at(N_WORKERS) / 1e6
    append_interval_ms = 1000.0 * n_entries / LOG_APPENDS_PER_S
    rows = [
        (
            "entry instance, work",
            f"{n_entries} instances; {jobs_per_s / n_entries:.1f} jobs/s and "
            f"{STARTS_PER_S / n_entries:,.0f} starts/s each",
            f"{TARGET_CORE:.0%} of a core each",
            "batched starts and results; placement by estimated free slots in the zone",
        ),
        (
            "entry instance, libraries",
            f"{idle['rss_mb']:.0f} MB resident before any work",
            f"{idle['idle_core']:.2%} of a core idle",
            "lazy imports; serve does not import plots and loads",
        ),
        (
            "control: instance list",
            f"{fits['servers', 'state_bytes'].at(N_WORKERS) / 1e6:.1f} MB state; "
            f"{list_bytes / 1e3:,.0f} KB per list",
            f"{list_bytes * changes_per_s / 1e3:.1f} KB/s; "
            f"{fits['servers', 'list_us'].at(N_WORKERS) / 1e3:.1f} ms per change; "
            f"{idle_core:.2%} of a core for housekeeping",
            "long poll by version; the whole list at each change",
        ),
        (
            "control: catalogue",
            f"{fits['catalogue_items', 'state_bytes'].at(2 * N_TEAMS) / 1e6:.2f} MB "
            f"for {2 * N_TEAMS:,} items; snapshot "
            f"{fits['catalogue_items', 'snapshot_bytes'].at(2 * N_TEAMS) / 1e3:.0f} "
            "KB",
            f"{CHANGES_PER_DAY / SECONDS_PER_DAY:.4f} changes a second; "
            f"{fits['catalogue_items', 'snapshot_us'].at(2 * N_TEAMS) / 1e3:.1f} ms "
            "per snapshot",
            "tail of the catalogue stream; snapshots by the first that misses one",
        ),
        (
            "control: claims",
            f"{claim_mb:,.0f} MB kept by each instance",
            f"{claim_bytes / 1e3:,.0f} KB/s and {claim_core:.1%} of a core at each "
            "instance",
            "one claims stream read by all; evicted claims raise a floor",
        ),
        (
            "log use",
            f"{jobs_per_s:,.0f} claims/s in at most {LOG_APPENDS_PER_S:.0f} appends/s",
            f"an instance appends every {append_interval_ms:,.0f} ms, so a claim waits "
            f"{append_interval_ms / 2:,.0f} ms on average",
            "group commit within a share of the append budget",
        ),
        (
            "peer connections: demand",
            f"{demand_bytes / 1e6:.1f} MB for one round of all teams from all peers",
            f"{share_ms:.1f} ms for the share of one limit",
            "sent only when demand changes by a quarter, at most ten times a second",
        ),
        (
            "operator command",
            "none kept; reads the catalogue stream",
            f"one change is one append; {CHANGES_PER_DAY} a day",
            "conditional change, result read back from the log",
        ),
    ]
    lines = [
        "## At the design size\n",
        "| role | state | CPU time and bytes | mechanism |",
        "|---|---|---|---|",
    ]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    lines.append("")
    return "\n".join(lines)


def render_limits(fits, idle, per_job_s, per_task_s):
    """Return the section that compares the costs with the limits."""
    libraries_mb = idle["libraries_mb"]
    rest_mb = idle["rss_mb"] - libraries_mb
    n_entries = compute_n_entries(per_job_s, per_task_s)
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    list_bytes = fits["servers", "list_wire_bytes"].at(N_WORKERS)
    list_kb = list_bytes * 2 * RESTARTS_PER_DAY / SECONDS_PER_DAY / 1e3
    claim_kb = fits["claims", "wire_bytes"].slope * jobs_per_s / 1e3
    claim_core = fits["claims", "read_us"].slope * jobs_per_s / 1e6
    claim_mb = fits["claims", "state_bytes"].slope * jobs_per_s * CLAIMS_KEPT_S / 1e6
    append_interval_ms = 1000.0 * n_entries / LOG_APPENDS_PER_S
    share_ms = fits["share_peers", "share_us"].at(n_entries) / 1e3
    share_core = share_ms / 1e3 * STARTS_PER_S / n_entries
    return f"""## Limits met and missed by the current version

| target | current version | result |
|---|---|---|
| control at most {CONTROL_KB_PER_S:.0f} KB/s: list | {list_kb:.1f} KB/s | met |
| control at most {CONTROL_KB_PER_S:.0f} KB/s: claims | {claim_kb:,.0f} KB/s | \
{claim_kb / CONTROL_KB_PER_S:.0f} times the limit |
| control at most {CONTROL_CORE:.1%} of a core: claims | {claim_core:.1%} | \
{claim_core / CONTROL_CORE:.1f} times the limit |
| control at most {CONTROL_MB:.0f} MB: claims | {claim_mb:,.0f} MB | \
{claim_mb / CONTROL_MB:.0f} times the limit; the table is bounded at 200,000 claims, \
which is {200_000 / jobs_per_s:.0f} s of jobs at this rate |
| a claim adds little to 50 ms to 1 s of work | {append_interval_ms / 2:,.0f} ms \
on average | at today's 9 instances it is {500.0 * 9 / LOG_APPENDS_PER_S:.0f} ms |
| shares of {N_TEAMS} limits | {share_ms * 1e3:.0f} µs per start of a limited owner | \
{share_core:.1%} of a core at an instance if every owner is limited |
| control at most {CONTROL_MB:.0f} MB: rest | {rest_mb:.0f} MB above the imported \
libraries ({libraries_mb:.0f} MB) | met before claims |
| {CHANGES_PER_DAY} changes a day within 6 s | one tail read per change | applied at 9 \
instances in one process after 11 to 15 ms, ten changes; not measured at {n_entries} |

What would meet the remaining limits, most needed first; none of it is built:

1. Claims by bucket. The claims stream is split by a hash of the job id into streams;
   an instance appends to and reads only the buckets for which rendezvous hashing names
   it in its region, and forwards jobs of other buckets in batches. State, bytes and CPU
   time of claims are divided by the number of buckets.
2. Fewer claim writers. Instances of a zone pass claims to the one that rendezvous
   hashing names, so that the append interval depends on zones and not on instances.
3. Shares computed once per change of demand, not once per start, and only among the
   instances that sent demand for the item.
4. Changes of the list instead of the whole list.
"""


def main():
    """Write the page from the measured points."""
    data = json.loads((DOCS / "slopes.json").read_text(encoding="utf-8"))
    PAGE.write_text(render_page(data), encoding="utf-8")


if __name__ == "__main__":
    main()
