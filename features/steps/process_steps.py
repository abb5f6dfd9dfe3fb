"""Steps for a system of separate processes, run through the command line."""

import asyncio
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from behave import given, then, when
from dispatch_steps import make_job

from buckthornshift.callers import CallerClient

ROOT = pathlib.Path(__file__).parent.parent.parent
COMMAND = [sys.executable, "-m", "buckthornshift"]
START_TIMEOUT_S = 20.0
SUBMISSION_PHASE_S = 2.0


def start_process(context, *args):
    """Start a command; return its process and the port number that it prints first."""
    process = subprocess.Popen(
        [*COMMAND, *args], stdout=subprocess.PIPE, text=True, cwd=ROOT
    )
    context.processes.append(process)
    line = process.stdout.readline()
    return process, int(re.search(r":(\d+)\s*$", line).group(1))


def run_command(*args):
    return subprocess.run([*COMMAND, *args], capture_output=True, text=True, cwd=ROOT)


@given(
    "a platform, {n_servers:d} backend servers and {n_entries:d} entry instances "
    "as processes"
)
def start_processes(context, n_servers, n_entries):
    _, context.platform_port = start_process(context, "standin", "platform")
    platform = f"127.0.0.1:{context.platform_port}"
    context.server_ports = []
    for index in range(n_servers):
        _, port = start_process(
            context,
            *("standin", "backend", "--platform", platform, "--slots", "16"),
            *("--name", f"server-{index}"),
        )
        context.server_ports.append(port)
    context.entry_processes = []
    folder = pathlib.Path(tempfile.mkdtemp())
    for index in range(n_entries):
        path = folder / f"entry-{index}.jsonc"
        settings = {
            "instance_id": f"entry-{index}",
            "platform": {"port": context.platform_port},
        }
        path.write_text(f"// made by a scenario\n{json.dumps(settings)}\n")
        context.entry_processes.append(start_process(context, "serve", str(path)))
    wait_until_ready(context, n_servers)


def wait_until_ready(context, n_servers):
    end_s = time.monotonic() + START_TIMEOUT_S
    for _, port in context.entry_processes:
        while time.monotonic() < end_s:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/state") as response:
                state = json.load(response)
            if len(state["servers"]) == n_servers and state["log"]["claims_ready"]:
                break
            time.sleep(0.1)


@given("the line patrol catalogue is applied by the command line")
def apply_catalogue(context):
    completed = run_command(
        *("catalogue", "apply", "examples/line-patrol.jsonc", "--wait", "6"),
        *("--platform", f"127.0.0.1:{context.platform_port}"),
    )
    assert completed.returncode == 0, completed.stderr


@when("{n_jobs:d} cut-order jobs are submitted while instance 1 gets SIGTERM")
def submit_during_stop(context, n_jobs):
    addresses = [("127.0.0.1", port) for _, port in context.entry_processes]
    context.answers = context.loop.run_until_complete(
        submit_all(addresses, n_jobs, context.entry_processes[0][0])
    )


async def submit_all(addresses, n_jobs, process_to_stop):
    clients = [
        CallerClient(addresses=addresses[i:] + addresses[:i])
        for i in range(len(addresses))
    ]

    async def submit_one(index):
        await asyncio.sleep(SUBMISSION_PHASE_S * index / n_jobs)
        client = clients[index % len(clients)]
        return await client.submit(make_job("cut-order", 3, run_ms=150))

    async def stop_process():
        await asyncio.sleep(SUBMISSION_PHASE_S / 2)
        process_to_stop.send_signal(signal.SIGTERM)

    answers = await asyncio.gather(
        stop_process(), *(submit_one(i) for i in range(n_jobs))
    )
    for client in clients:
        client.close()
    return answers[1:]


@then("all {n_jobs:d} answers are complete")
def check_answers(context, n_jobs):
    statuses = [answer.status.value for answer in context.answers]
    assert statuses == ["complete"] * n_jobs, statuses


@then("the stopped process ended with exit code 0")
def check_exit(context):
    assert context.entry_processes[0][0].wait(timeout=START_TIMEOUT_S) == 0


@then("no task started twice on the servers")
def check_counts(context):
    for port in context.server_ports:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/v1/counts") as response:
            starts = json.load(response)["starts_by_task"]
        assert starts and set(starts.values()) == {1}, starts


@then("submitting a {entry} job by the command line exits with {code:d}")
def check_submit_code(context, entry, code):
    address = f"127.0.0.1:{context.entry_processes[0][1]}"
    completed = run_command(
        "submit", "--to", address, "--entry", entry, "--output", "json"
    )
    assert completed.returncode == code, completed
    assert json.loads(completed.stdout)["job_id"]


@then("applying the cash desk catalogue based on version -1 exits with {code:d}")
def check_apply_code(context, code):
    completed = run_command(
        *("catalogue", "apply", "examples/cash-desk.jsonc", "--based-on", "-1"),
        *("--platform", f"127.0.0.1:{context.platform_port}"),
    )
    assert completed.returncode == code, completed


@then("submitting to a closed port exits with {code:d}")
def check_closed_port(context, code):
    completed = run_command(
        *("submit", "--to", "127.0.0.1:1", "--entry", "x", "--timeout-ms", "50")
    )
    assert completed.returncode == code, completed
    assert "Traceback" not in completed.stderr
