"""What a soak did and saw."""

import attrs


@attrs.define(kw_only=True)
class SoakReport:
    """Counts of one run.

    :param seed: its seed.
    :param seconds: how long jobs and faults came.
    :param n_jobs: jobs submitted.
    :param n_by_status: answers by HTTP status; 0 for a lost connection.
    :param n_by_fault: faults by kind.
    :param violations: broken promises.
    :param folder: where the logs are.
    """

    seed: int = 0
    seconds: float = 0.0
    n_jobs: int = 0
    n_by_status: dict = attrs.field(factory=dict)
    n_by_fault: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)
    folder: str = ""

    def count_status(self, status):
        """Count one answer."""
        self.n_by_status[status] = self.n_by_status.get(status, 0) + 1

    def count_fault(self, name):
        """Count one fault."""
        self.n_by_fault[name] = self.n_by_fault.get(name, 0) + 1


def render_soak_table(reports):
    """Return the table of several runs: seeds, time, requests, faults, violations.

    :param reports: list of :class:`SoakReport`.
    """
    n_by_fault, n_by_status = {}, {}
    for report in reports:
        _add(n_by_fault, report.n_by_fault)
        _add(n_by_status, report.n_by_status)
    seconds = sum(report.seconds for report in reports)
    broken = [report.seed for report in reports if report.violations]
    lines = [
        f"{len(reports)} seeds, {seconds / 60.0:.1f} minutes of load, "
        f"{sum(report.n_jobs for report in reports)} jobs, "
        f"{sum(n_by_status.values())} answers, {len(broken)} seeds with a violation"
    ]
    for title, counts in (("answers", n_by_status), ("faults", n_by_fault)):
        cells = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        lines.append(f"{title}: {cells}")
    if broken:
        lines.append(f"seeds with a violation: {', '.join(map(str, broken))}")
    return "\n".join(lines)


def _add(totals, counts):
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count
