"""HTTP client and server: what errors tell about a request, and no added latency.

Errors must distinguish a request that was certainly not sent from one that may have
arrived.
"""

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


async def respond_hello(request):
    return Response(200, content=TextContent("hello"))


async def respond_error(request):
    return Response(418)


async def respond_never(request):
    await asyncio.sleep(5.0)


def make_server():
    return WebServer(
        app=make_app(
            (
                ("GET", "/hello", respond_hello),
                ("GET", "/error", respond_error),
                ("GET", "/never", respond_never),
            )
        )
    )


def find_closed_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_errors_tell_whether_the_request_was_sent():
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
            await send_request(pool, "GET", "/never", timeout_s=0.5)
        with pytest.raises(NotSentError):
            await send_request(HttpPool(port=find_closed_port()), "GET", "/hello")
        with pytest.raises(PortInUseError):
            await WebServer(app=make_app(()), port=server.bound_port).start()
        await server.abort()

    asyncio.run(run())


def test_accepted_sockets_have_tcp_nodelay():
    """Without TCP_NODELAY, responses took 40 ms longer.

    asyncio sets it only if the listening socket is created with IPPROTO_TCP.
    """

    async def run():
        nodelay_values = []

        async def read_nodelay(request):
            transport = next(iter(server._server.server_state.connections)).transport
            accepted = transport.get_extra_info("socket")
            nodelay_values.append(
                accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            return Response(204)

        server = WebServer(app=make_app((("GET", "/look", read_nodelay),)))
        await server.start()
        await send_request(HttpPool(port=server.bound_port), "GET", "/look")
        await server.stop()
        assert nodelay_values == [1]

    asyncio.run(run())


def make_start_request(incarnation, *run_times_ms):
    attempts = tuple(
        AttemptSpec(
            attempt_id=f"a{i}", job_id="j", task_id=f"t{i}", payload={"run_ms": run_ms}
        )
        for i, run_ms in enumerate(run_times_ms)
    )
    return StartRequest(incarnation=incarnation, attempts=attempts)


async def run_actions(faults, action_factories, n_events, port=None):
    """Perform actions on a link to a stand-in server and return the events posted."""
    server = BackendStandin(BackendStandinSettings(server_id="s"))
    await server.start()
    server.model.faults = faults
    events = asyncio.Queue()
    incarnation = server.model.incarnation
    record = InstanceRecord(
        instance_id="s", incarnation=incarnation, port=port or server.bound_port
    )
    link = BackendLink(
        record=record, post_event=events.put_nowait, response_header_timeout_s=0.5
    )
    for make_action in action_factories:
        link.perform(make_action(record))
    posted_events = [await asyncio.wait_for(events.get(), 5.0) for _ in range(n_events)]
    link.close()
    await server._web.abort()
    return posted_events


def make_start_action(*run_times_ms):
    return lambda record: StartAttempts(
        server=record, request=make_start_request(record.incarnation, *run_times_ms)
    )


def test_tasks_that_end_together_are_reported_together():
    events = asyncio.run(
        run_actions(BackendFaults(), [make_start_action(10, 10, 200)], 2)
    )
    n_reports = [len(event.report.reports) for event in events]
    assert n_reports == [2, 1]


def test_start_without_response_is_lost_while_new_connections_work():
    action_factories = [
        make_start_action(10),
        lambda record: QueryAttempts(server=record, attempt_ids=("a0",)),
        lambda record: FenceJob(server=record, job_id="j", term=1),
    ]
    events = asyncio.run(
        run_actions(BackendFaults(is_silent=True), action_factories, 3)
    )
    classes = {type(event) for event in events}
    assert classes == {StartLost, ServerReported, JobFenced}


def test_closed_port_means_nothing_was_sent():
    port = find_closed_port()
    action_factories = [
        make_start_action(10),
        lambda record: QueryAttempts(server=record),
        lambda record: FenceJob(server=record, job_id="j", term=1),
    ]
    events = asyncio.run(run_actions(BackendFaults(), action_factories, 3, port=port))
    event_by_class = {type(event): event for event in events}
    assert event_by_class[StartNotSent].attempt_ids == ("a0",)
    assert event_by_class[JobFenced].report is None
    assert QueryFailed in event_by_class


def test_start_for_another_incarnation_is_rejected():
    def make_outdated_start(record):
        return StartAttempts(server=record, request=make_start_request("old", 10))

    events = asyncio.run(run_actions(BackendFaults(), [make_outdated_start], 1))
    assert events[0].report.reports[0].state == "wrong_incarnation"
