"""Summarise from instance logs which jobs were not served in time, and why.

Reads structured logs of all instances, one JSON object per line; text before the
object is ignored. Prints one row per window of arrival, then totals by reason, queue
and zone::

    python tools/summarize_losses.py day.log --window 2
"""

import collections
import json
import pathlib

import attrs
import click

SERVED_IN_TIME = "in_time"
SERVED_LATE = "late"
UNANSWERED = "process_lost"


@attrs.define(kw_only=True)
class ObservedJob:
    """What the logs say of one job.

    :param arrived_s: time of its first request, in seconds.
    :param queue: its queue.
    :param zone: availability zone of the instance that its first request reached.
    :param detail: inputs of the last decision to refuse it.
    :param end: how its last request ended.
    :param n_requests: number of requests for it.
    """

    arrived_s: float = 0.0
    queue: str = ""
    zone: str = ""
    detail: str = ""
    end: str = UNANSWERED
    n_requests: int = 0


def read_events(lines):
    """Yield the log events in the order of their timestamps."""
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and "timestamp" in event:
            events.append(event)
    return sorted(events, key=lambda event: event["timestamp"])


def collect_jobs(events):
    """Return an :class:`ObservedJob` by job id."""
    job_by_id = {}
    late_by_id = {}
    zone_by_instance = {}
    for event in events:
        job_id = event.get("subject")
        match event.get("message_type"):
            case "started":
                zone_by_instance[event["instance"]] = event.get("zone", "")
            case "job_arrived":
                job = job_by_id.get(job_id)
                if job is None:
                    job = job_by_id[job_id] = ObservedJob(
                        arrived_s=event["timestamp"],
                        queue=event["queue"],
                        zone=zone_by_instance.get(event["instance"], ""),
                    )
                job.n_requests += 1
                job.end = UNANSWERED
            case "job_ended":
                late_by_id[job_id] = event["late_ms"] > 0.0
            case "job_refused" if job_id in job_by_id:
                job_by_id[job_id].detail = event["detail"]
            case "caller_left" if job_id in job_by_id:
                job_by_id[job_id].end = "caller_left"
            case "job_answered" if job_id in job_by_id:
                job_by_id[job_id].end = _describe_answer(event, late_by_id.get(job_id))
    return job_by_id


def _describe_answer(event, is_late):
    if event["outcome"] == "completed":
        return SERVED_LATE if is_late else SERVED_IN_TIME
    return f"{event['outcome']}:{event['reason']}"


def _print_table(title, ends_by_key):
    columns = collections.Counter()
    for ends in ends_by_key.values():
        columns.update(ends)
    names = [name for name, _ in columns.most_common()]
    widths = {name: len(name) + 2 for name in names}
    click.echo(f"\n{title:14}" + "".join(f"{n:>{widths[n]}}" for n in names))
    for key in sorted(ends_by_key):
        cells = "".join(f"{ends_by_key[key][n]:{widths[n]}}" for n in names)
        click.echo(f"{key!s:14}{cells}")


@click.command()
@click.argument("path", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--window", default=2.0, help="Length of a window, in seconds.")
@click.option("--zero", default=0.0, help="Timestamp that is shown as 0.")
@click.option("--list-refusals", is_flag=True, help="Print each refusal's inputs.")
def main(path, window, zero, list_refusals):
    """Print which jobs were not served in time."""
    with path.open(encoding="utf-8") as lines:
        job_by_id = collect_jobs(read_events(lines))
    jobs = sorted(job_by_id.values(), key=lambda job: job.arrived_s)
    if not jobs:
        raise click.ClickException("the file holds no arrived job")
    zero = zero or jobs[0].arrived_s
    tables = {
        "window": lambda job: round((job.arrived_s - zero) // window * window, 3),
        "queue": lambda job: job.queue,
        "zone": lambda job: job.zone,
    }
    for title, find_key in tables.items():
        ends_by_key = collections.defaultdict(collections.Counter)
        for job in jobs:
            ends_by_key[find_key(job)][job.end] += 1
        _print_table(title, ends_by_key)
    if list_refusals:
        for job in jobs:
            if job.end == "not_run:overloaded":
                click.echo(f"{job.arrived_s - zero:9.3f} {job.queue} {job.detail}")


if __name__ == "__main__":
    main()
