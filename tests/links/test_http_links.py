"""Sockets: what was certainly not sent, what may have arrived, and no delays."""

import asyncio
import socket

import pytest
from blacksheep import Response, TextContent

from buckthornshift.contracts import (
    AttemptSpec,
    InstanceRecord,
    StartRequest,
)
from buckthornshift.core import (
    FenceJob,
    JobFenced,
    QueryAttempts,
    QueryFailed,
    ServerReported,
    StartAttempts,
    StartLost,
    StartNotSent,
)
from buckthornshift.links import (
    BackendLink,
    ConnectionLostError,
    HttpPool,
    HttpStatusError,
    NotSentError,
    PortInUseError,
    WebServer,
    make_app,
    send_request,
)
from buckthornshift.standins import (
    BackendFaults,
    BackendStandin,
    BackendStandinSettings,
)


async def answer_hello(request):
    return Response(200, content=TextContent("hello"))


async def answer_error(request):
    return Response(418)


async def answer_never(request):
    await asyncio.sleep(5.0)


def make_server():
    return WebServer(
        app=make_app(
            (
                ("GET", "/hello", answer_hello),
                ("GET", "/error", answer_error),
                ("GET", "/never", answer_never),
            )
        )
    )


def find_closed_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_calls_tell_what_is_certain():
    async def run():
        server = make_server()
        await server.start()
        pool = HttpPool(port=server.bound_port)
        assert await send_request(pool, "GET", "/hello") == b"hello"
        assert await send_request(pool, "GET", "/hello") == b"hello"
        with pytest.raises(HttpStatusError) as caught:
            await send_request(pool, "GET", "/error")
        assert caught.value.status == 418
        with pytest.raises(ConnectionLostError):
            await send_request(pool, "GET", "/never", timeout_s=0.1)
        with pytest.raises(NotSentError):
            await send_request(HttpPool(port=find_closed_port()), "GET", "/hello")
        with pytest.raises(PortInUseError):
            await WebServer(app=make_app(()), port=server.bound_port).start()
        await server.abort()

    asyncio.run(run())


def test_accepted_sockets_do_not_wait_for_more_data():
    """Answers took 40 ms longer while the listener did not name its protocol."""

    async def run():
        seen = []

        async def look(request):
            transport = next(iter(server._server.server_state.connections)).transport
            accepted = transport.get_extra_info("socket")
            seen.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            return Response(204)

        server = WebServer(app=make_app((("GET", "/look", look),)))
        await server.start()
        await send_request(HttpPool(port=server.bound_port), "GET", "/look")
        await server.stop()
        assert seen == [1]

    asyncio.run(run())


def make_start(incarnation, *run_times_ms):
    attempts = tuple(
        AttemptSpec(
            attempt_id=f"a{i}", job_id="j", task_id=f"t{i}", payload={"run_ms": run_ms}
        )
        for i, run_ms in enumerate(run_times_ms)
    )
    return StartRequest(incarnation=incarnation, attempts=attempts)


async def drive_link(faults, actions, n_events, port=None):
    """Perform actions on a link to a stand-in and return the events."""
    server = BackendStandin(BackendStandinSettings(server_id="s"))
    await server.start()
    server.model.faults = faults
    events = asyncio.Queue()
    incarnation = server.model.incarnation
    record = InstanceRecord(
        instance_id="s", incarnation=incarnation, port=port or server.bound_port
    )
    link = BackendLink(
        record=record, post_event=events.put_nowait, response_header_timeout_s=0.1
    )
    for make_action in actions:
        link.perform(make_action(record))
    got = [await asyncio.wait_for(events.get(), 5.0) for _ in range(n_events)]
    link.close()
    await server._web.abort()
    return got


def start(*run_times_ms):
    return lambda record: StartAttempts(
        server=record, request=make_start(record.incarnation, *run_times_ms)
    )


def test_results_come_grouped_by_what_has_ended():
    got = asyncio.run(drive_link(BackendFaults(), [start(10, 10, 200)], 2))
    counts = [len(event.report.reports) for event in got]
    assert counts == [2, 1]


def test_silent_connection_is_taken_for_lost_and_new_ones_work():
    actions = [
        start(10),
        lambda record: QueryAttempts(server=record, attempt_ids=("a0",)),
        lambda record: FenceJob(server=record, job_id="j", term=1),
    ]
    got = asyncio.run(drive_link(BackendFaults(is_silent=True), actions, 3))
    kinds = {type(event) for event in got}
    assert kinds == {StartLost, ServerReported, JobFenced}


def test_closed_port_proves_that_nothing_was_sent():
    port = find_closed_port()
    actions = [
        start(10),
        lambda record: QueryAttempts(server=record),
        lambda record: FenceJob(server=record, job_id="j", term=1),
    ]
    got = asyncio.run(drive_link(BackendFaults(), actions, 3, port=port))
    by_class = {type(event): event for event in got}
    assert by_class[StartNotSent].attempt_ids == ("a0",)
    assert by_class[JobFenced].report is None
    assert QueryFailed in by_class


def test_start_for_another_process_is_refused():
    def start_old(record):
        return StartAttempts(server=record, request=make_start("old", 10))

    got = asyncio.run(drive_link(BackendFaults(), [start_old], 1))
    assert got[0].report.reports[0].state == "wrong_incarnation"
