"""Counts and violations of soak tests, and their summary."""

import os

import attrs
import msgspec

VIOLATIONS_FILE = "violations.json"


@attrs.frozen(kw_only=True)
class SoakViolation:
    """A violation that a soak test has seen.

    :param invariant: name of the rule that was violated.
    :param detail: the jobs, servers and times that were involved.
    :param seconds: time since the test started its processes, in seconds.
    :param wall_ms: milliseconds since the epoch, as in the logs of the instances.
    """

    invariant: str = ""
    detail: str = ""
    seconds: float = 0.0
    wall_ms: float = 0.0

    def __str__(self):
        return f"{self.invariant}: {self.detail} (after {self.seconds:.1f} s)"


@attrs.define(kw_only=True)
class SoakReport:
    """Counts and violations of one soak test.

    :param seed: its seed.
    :param seconds: length of the load phase, in which jobs and faults arrive.
    :param n_jobs: number of jobs submitted.
    :param n_by_status: number of answers by HTTP status; 0 stands for a connection
        that was refused or lost.
    :param n_by_fault: number of faults by kind.
    :param violations: a :class:`SoakViolation` for each violation.
    :param folder: folder with the settings and log files, and with the violations.
    """

    seed: int = 0
    seconds: float = 0.0
    n_jobs: int = 0
    n_by_status: dict = attrs.field(factory=dict)
    n_by_fault: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)
    folder: str = ""

    def record_violation(self, violation):
        """Add a violation, and write all of them to a file in the folder.

        :param violation: the :class:`SoakViolation`.
        """
        self.violations.append(violation)
        path = os.path.join(self.folder, VIOLATIONS_FILE)
        data = msgspec.json.encode([attrs.asdict(v) for v in self.violations])
        with open(path, "wb") as file:
            file.write(msgspec.json.format(data) + b"\n")

    def count_status(self, status):
        """Count an answer by its HTTP status."""
        self.n_by_status[status] = self.n_by_status.get(status, 0) + 1

    def count_fault(self, name):
        """Count an injected fault by its kind."""
        self.n_by_fault[name] = self.n_by_fault.get(name, 0) + 1


def render_soak_table(reports):
    """Return a summary of several soak tests as lines of text.

    :param reports: list of :class:`SoakReport`.
    """
    n_by_fault, n_by_status = {}, {}
    for report in reports:
        _add_counts(n_by_fault, report.n_by_fault)
        _add_counts(n_by_status, report.n_by_status)
    seconds = sum(report.seconds for report in reports)
    failed = [report for report in reports if report.violations]
    lines = [
        f"{len(reports)} seeds, {seconds / 60.0:.1f} minutes of load, "
        f"{sum(report.n_jobs for report in reports)} jobs, "
        f"{sum(n_by_status.values())} answers, "
        f"{len(failed)} seeds with a violation"
    ]
    for title, counts in (("answers", n_by_status), ("faults", n_by_fault)):
        columns = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        lines.append(f"{title}: {columns}")
    if failed:
        seeds = ", ".join(str(report.seed) for report in failed)
        lines.append(f"seeds with a violation: {seeds}")
    for report in failed:
        path = os.path.join(report.folder, VIOLATIONS_FILE)
        lines.append(f"violations of seed {report.seed}: {path}")
    return "\n".join(lines)


def _add_counts(totals, counts):
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count
