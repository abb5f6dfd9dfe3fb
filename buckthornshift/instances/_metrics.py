"""Metrics of an entry instance in the format of Prometheus."""

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)

from ..core import EventCode

_GAUGES = {
    "open_jobs": "Jobs without an answer.",
    "queued_tasks": "Tasks waiting for a slot.",
    "open_attempts": "Attempts without a result.",
    "kept_answer_bytes": "Bytes of answers kept for resubmissions.",
    "claims": "Claims in memory.",
    "pending_log_items": "Claims and outcomes that wait for the log.",
    "log_out_of_reach": "Whether the log is out of reach (1) or not (0).",
    "catalogue_version": "Log offset of the catalogue in force.",
    "catalogue_covers": "Log offset up to which the catalogue stream was read.",
    "live_servers": "Backend servers that may get work.",
    "live_instances": "Live entry instances, this one included.",
    "draining": "Whether the instance drains (1) or not (0).",
}


class InstanceMetrics:
    """Collect the metrics of one instance in a registry of its own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._gauges_by_name = {
            name: Gauge(f"buckthornshift_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }
        self._totals = Counter(
            "buckthornshift_count",
            "Counts since the start of the process, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self._events = Counter(
            "buckthornshift_events",
            "Events logged, by name.",
            ["event"],
            registry=self.registry,
        )
        self._last_by_kind = {}

    def count_event(self, code):
        """Count a logged event.

        :param code: its :class:`~buckthornshift.core.EventCode`.
        """
        self._events.labels(EventCode(code).name.lower()).inc()

    def render(self, core):
        """Return the current metrics as text.

        :param core: the :class:`~buckthornshift.core.InstanceCore`.
        """
        for name, value in _read_gauges(core).items():
            self._gauges_by_name[name].set(value)
        for kind, value in attrs.asdict(core.context.counters).items():
            self._totals.labels(kind.removeprefix("n_")).inc(
                value - self._last_by_kind.get(kind, 0)
            )
            self._last_by_kind[kind] = value
        return generate_latest(self.registry)


def _read_gauges(core):
    context = core.context
    writer = context.writer
    return {
        "open_jobs": context.jobs.n_open,
        "queued_tasks": context.queue.n_tasks,
        "open_attempts": len(core.attempts.by_id),
        "kept_answer_bytes": context.jobs.n_answer_bytes,
        "claims": len(context.claims.by_job),
        "pending_log_items": len(writer.claims_by_job) + len(writer.outcomes_by_job),
        "log_out_of_reach": int(context.log_health.is_unreachable),
        "catalogue_version": context.catalogue.version,
        "catalogue_covers": context.catalogue.covers,
        "live_servers": sum(1 for _ in context.servers.iter_usable()),
        "live_instances": context.peers.n_instances,
        "draining": int(context.is_draining),
    }
