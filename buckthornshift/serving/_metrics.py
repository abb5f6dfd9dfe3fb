"""Metrics of a dispatching instance in the Prometheus text format."""

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ..dispatch import LogCode

# Histogram buckets in seconds, dense around the latency objectives of sub-second tasks.
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0)

_GAUGES = {
    "open_requests": "Requests of callers without an answer.",
    "open_jobs": "Jobs that this instance has as owner.",
    "open_runs": "Runs that hold room on servers.",
    "owned_servers": "Backend servers that this instance owns.",
    "live_instances": "Instances in contact, this one aside.",
    "configuration_version": "Version of the configuration in force.",
    "claim_term": "Highest term under which this instance owns servers; 0 if none.",
    "owned_cells": "Cells of the servers that this instance owns.",
    "cells": "Cells that the servers are divided into.",
    "ready": "Whether callers should be sent here (1) or not (0).",
    "message_wait_ms": "How long what arrives at this instance waits to be read.",
    "evacuated_zones": "Zones in which operators allow no new task.",
    "log_lines_dropped": "Lines that the log could not take.",
}


class ServingMetrics:
    """Collect the metrics of one instance in a separate Prometheus registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._gauges_by_name = {
            name: Gauge(f"buckthornshift_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }
        self._counts = Counter(
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
        self._latency = Histogram(
            "buckthornshift_answer_seconds",
            "Time from a request's arrival to its answer, by outcome.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._reported_by_kind = {}
        self._n_events_by_code = {}
        self._reported_by_code = {}

    def record_event(self, line):
        """Count a logged event, and observe the latency if a job was answered.

        :param line: a :class:`~buckthornshift.dispatch.LogLine`.
        """
        self._n_events_by_code[line.code] = self._n_events_by_code.get(line.code, 0) + 1
        if line.code is LogCode.JOB_ANSWERED:
            outcome = line.fields["outcome"]
            self._latency.labels(outcome).observe(line.fields["after_ms"] / 1000.0)

    def render(self, core, n_lines_dropped):
        """Return the current metrics in the Prometheus text format.

        :param core: the :class:`~buckthornshift.dispatch.DispatchCore`.
        :param n_lines_dropped: number of lines that the log has dropped.
        """
        for name, value in _read_gauges(core).items():
            self._gauges_by_name[name].set(value)
        self._gauges_by_name["log_lines_dropped"].set(n_lines_dropped)
        for kind, value in attrs.asdict(core.context.counters).items():
            counter = self._counts.labels(kind.removeprefix("n_"))
            counter.inc(value - self._reported_by_kind.get(kind, 0))
            self._reported_by_kind[kind] = value
        for code, value in self._n_events_by_code.items():
            counter = self._events.labels(code.name.lower())
            counter.inc(value - self._reported_by_code.get(code, 0))
            self._reported_by_code[code] = value
        return generate_latest(self.registry)


def _read_gauges(core):
    return {
        "open_requests": len(core.request_router.by_key),
        "open_jobs": len(core.jobs.by_id),
        "open_runs": core.runs.n_open,
        "owned_servers": core.fleet.count_owned(),
        "live_instances": len(core.membership.list_live()),
        "configuration_version": core.context.configuration.version,
        "claim_term": max(e.term for e in core.cells.elections),
        "owned_cells": len(core.cells.list_owned()),
        "cells": core.cells.n_cells,
        "ready": int(core.is_ready()),
        "message_wait_ms": core.load_shedder.lag_ms,
        "evacuated_zones": len(core.evacuation_tracker.evacuations.zones),
    }
