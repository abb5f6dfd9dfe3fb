"""Placement reports over HTTP: they leave the metrics of the serving path as before."""

import asyncio
import json
import re

import pytest
from click.testing import CliRunner
from test_process import start_process
from waiting import wait_until

from buckthornshift.cli import main
from buckthornshift.dispatch import (
    Configuration,
    ConfigurationRead,
    JobSpec,
    LogCode,
    Queue,
    Resources,
    StepSpec,
)
from buckthornshift.platform._server_side import encode_job
from buckthornshift.serving._http_client import HttpConnectionPool

QUEUES = (Queue(name="pay", service="s"), Queue(name="check", service="s"))
STEP = StepSpec(need=Resources(cpu=1_000, memory_mb=1), estimate_ms=50.0)
BODY = encode_job(JobSpec(steps=(STEP,)))
# Gauges that follow the time and the processor, whatever is requested.
UNSTABLE = re.compile(r"^buckthornshift_message_wait_ms .*$", re.M)


async def run_with_process(use):
    process, lines = await start_process()
    process.post(
        ConfigurationRead(configuration=Configuration(version=1, queues=QUEUES))
    )
    port = int(process.settings.metrics.rpartition(":")[2])
    pool = HttpConnectionPool(port=port)
    try:
        return await use(process, pool, lines)
    finally:
        pool.close()
        process._stopped.set()
        await process.wait()


@pytest.mark.parametrize(
    ("method", "query", "body", "status"),
    [
        ("POST", "queue=pay", BODY, 200),
        ("GET", "queue=pay", b"", 405),
        ("POST", "", BODY, 404),
        ("POST", "queue=none", BODY, 404),
        ("POST", "queue=pay", b"{", 400),
        ("POST", "queue=pay&job_id=x", BODY, 400),
        ("POST", "queue=pay&timeout_ms=soon", BODY, 400),
    ],
)
def test_status_of_a_request(method, query, body, status):
    async def use(process, pool, lines):
        return await pool.call(method, f"/explain?{query}", body)

    assert asyncio.run(run_with_process(use))[0] == status


def test_a_report_changes_no_metric_and_logs_nothing():
    async def use(process, pool, lines):
        async def read_metrics():
            _, text = await pool.call("GET", "/metrics")
            return UNSTABLE.sub("", text.decode())

        # The process tries to read three topics of the store, which does not listen.
        await wait_until(
            lambda: [line.code for line in lines].count(LogCode.STORE_LOST) == 3
        )
        before, n_lines = await read_metrics(), len(lines)
        for _ in range(3):
            status, _ = await pool.call("POST", "/explain?queue=pay", BODY)
            assert status == 200
        assert await read_metrics() == before
        assert len(lines) == n_lines

    asyncio.run(run_with_process(use))


def test_a_job_that_is_not_supported_would_be_refused():
    body = json.dumps(json.loads(BODY) | {"BestEffort": False}).encode()

    async def use(process, pool, lines):
        return await pool.call("POST", "/explain?queue=pay", body)

    report = json.loads(asyncio.run(run_with_process(use))[1])
    assert (report["verdict"], report["reason"]) == ("refused", "unsupported")


def explain(tmp_path, process, *options, body=BODY):
    path = tmp_path / "job.json"
    path.write_bytes(body)
    args = ["explain", str(path), "--instance", process.settings.metrics, *options]
    return asyncio.to_thread(CliRunner().invoke, main, args)


@pytest.mark.parametrize(
    ("options", "exit_code", "text"),
    [
        (["--queue", "pay"], 1, "the owner was not reached"),
        (["--queue", "pay", "--json"], 1, '"verdict": "unknown"'),
        (["--queue", "none"], 2, "queues: pay, check"),
    ],
)
def test_command_without_a_reachable_owner(tmp_path, options, exit_code, text):
    async def use(process, pool, lines):
        return await explain(tmp_path, process, *options)

    result = asyncio.run(run_with_process(use))
    assert result.exit_code == exit_code, result.output
    assert text in result.output


def test_command_without_a_reachable_instance(tmp_path):
    path = tmp_path / "job.json"
    path.write_bytes(BODY)
    args = ["explain", str(path), "--instance", "127.0.0.1:1"]
    assert CliRunner().invoke(main, args).exit_code == 4
