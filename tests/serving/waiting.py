"""Wait for what happens over real sockets, however busy the processor is."""

import asyncio

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.005


async def wait_until(condition):
    """Return once a condition holds; fail the test if it does not in time."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
