"""What simulated customers count as a request that a stopping instance cut off."""

import asyncio
import random
import re
import time
from unittest import mock

import pytest

from buckthornshift.dispatch import JobSpec, Queue
from buckthornshift.proving.soak._customers import Customers
from buckthornshift.proving.soak._instances import Instance
from buckthornshift.serving._http_server import HttpServer

LONG_S = 0.5
# A stall of the instance of 3.5 s before it reads the request, and a deadline of 3 s.
STALL_AND_DEADLINE_S = 6.5


async def list_violations(handle, stall_s=0.0):
    """Send a request to a stopping instance whose server closes the connection."""
    server = HttpServer(handler=handle)
    port = await server.start("127.0.0.1", 0)
    violations = []
    customers = Customers(
        queue=Queue(path_prefix="/pay/"),
        oracle=mock.Mock(),
        check=mock.Mock(),
        record_violation=lambda rule, detail: violations.append(detail),
        random_state=random.Random(1),
    )
    customers._stalls.start()
    await asyncio.sleep(0.05)
    instance = Instance(name="i", ports=[port], is_stopping=True)
    pool = customers._open_pool(instance)
    # Stalls the process after the request counts as sent, and before it is.
    asyncio.get_running_loop().call_soon(time.sleep, stall_s)
    await customers._post(instance, pool, JobSpec(job_id="a"))
    pool.close()
    await customers.finish()
    server.close()
    return violations


def close_late(exchange):
    asyncio.get_running_loop().call_later(LONG_S, exchange.connection.close)


def answer_at_deadline(exchange):
    loop = asyncio.get_running_loop()
    loop.call_later(STALL_AND_DEADLINE_S, exchange.respond, 429)


@pytest.mark.parametrize(
    ("handle", "stall_s", "n_violations"),
    [
        (lambda exchange: exchange.connection.close(), 0.0, 0),
        (lambda exchange: exchange.connection.close(), LONG_S, 1),
        (close_late, 0.0, 1),
        (close_late, LONG_S, 1),
    ],
    ids=["in transit", "in transit, stalled", "cut off", "cut off, stalled"],
)
def test_only_a_request_that_had_time_to_arrive_counts(handle, stall_s, n_violations):
    """A violation must tell whether the process of the customers itself was stalled."""
    violations = asyncio.run(list_violations(handle, stall_s))
    assert len(violations) == n_violations
    for violation in violations:
        reported_s = float(re.search(r"stalled for (\S+) s", violation)[1])
        assert reported_s == pytest.approx(stall_s, abs=0.1)


def test_answer_at_the_deadline_after_a_stall_is_waited_for():
    """Customers stopped waiting after 6 s, which counted as cut off by the stop.

    Seed 2600: the machine stalled an instance for 3 s; it was then told to stop, and
    answered what it had read by then at the jobs' deadline of 3 s.
    """
    assert asyncio.run(list_violations(answer_at_deadline)) == []
