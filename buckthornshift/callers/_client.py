"""Client for callers: submits jobs and resubmits them after a lost connection."""

import asyncio
import time

import attrs
import msgspec

from ..contracts import BuckthornshiftError, JobAnswer
from ..links import (
    ConnectionLostError,
    HttpPool,
    HttpStatusError,
    NotSentError,
    send_request,
)

JSON_HEADERS = (("content-type", "application/json"),)
RESUBMISSION_HEADERS = (*JSON_HEADERS, ("resubmission", "true"))
ANSWER_GRACE_S = 2.0
RESUBMIT_DELAY_S = 0.1


class NoAnswerError(BuckthornshiftError):
    """No entry instance answered in time; the outcome of the job is unknown."""


@attrs.define(kw_only=True)
class ClientCounts:
    """Counts of the requests of a client.

    :param n_requests: number of requests sent.
    :param n_resubmissions: number of resubmissions after a lost connection.
    """

    n_requests: int = 0
    n_resubmissions: int = 0


class CallerClient:
    """Submit jobs to entry instances in round-robin order.

    After a lost connection the same job is resubmitted under the same id to the next
    instance. An answer "not run" is returned to the caller, who may retry after its
    ``retry_after_ms``.

    :param addresses: addresses of entry instances as (host, port) pairs.
    :param delay_s: simulated one-way network delay, in seconds; added before each
        request and again after its response.
    """

    def __init__(self, addresses=(), delay_s=0.0):
        self.addresses = addresses
        self.delay_s = delay_s
        self.counts = ClientCounts()
        self._pools = [
            HttpPool(host=host, port=port, max_idle=64) for host, port in addresses
        ]
        self._round_robin_index = 0

    async def submit(self, job):
        """Submit a job and return its answer.

        :param job: a :class:`~buckthornshift.contracts.JobRequest`.
        :returns: a :class:`~buckthornshift.contracts.JobAnswer`.
        :raises NoAnswerError: if there is no answer within the job's timeout plus 2 s.
        """
        body = encode_job(job)
        deadline_s = time.monotonic() + job.timeout_ms / 1000.0 + ANSWER_GRACE_S
        is_resubmission = False
        while time.monotonic() < deadline_s:
            try:
                headers = RESUBMISSION_HEADERS if is_resubmission else JSON_HEADERS
                return await self._exchange(
                    "PUT", job.job_id, body, headers, deadline_s
                )
            except NotSentError:
                pass
            except ConnectionLostError:
                is_resubmission = True
                self.counts.n_resubmissions += 1
            await asyncio.sleep(RESUBMIT_DELAY_S)
        raise NoAnswerError(job.job_id)

    async def cancel(self, job_id):
        """Cancel a job and return the answer.

        :param job_id: identifier of the job.
        :returns: a :class:`~buckthornshift.contracts.JobAnswer`.
        :raises NotSentError: if the instance cannot be reached.
        :raises ConnectionLostError: if the answer is lost.
        """
        deadline_s = time.monotonic() + ANSWER_GRACE_S
        return await self._exchange("DELETE", job_id, b"", (), deadline_s)

    def close(self):
        """Close the idle connections to all instances."""
        for pool in self._pools:
            pool.close()

    async def _exchange(self, method, job_id, body, headers, deadline_s):
        pool = self._pools[self._round_robin_index % len(self._pools)]
        self._round_robin_index += 1
        self.counts.n_requests += 1
        await asyncio.sleep(self.delay_s)
        timeout_s = max(0.1, deadline_s - time.monotonic())
        path = f"/v1/jobs/{job_id}"
        try:
            response = await send_request(
                pool, method, path, body, headers, timeout_s=timeout_s
            )
        except HttpStatusError as error:
            response = error.body
        await asyncio.sleep(self.delay_s)
        try:
            return msgspec.json.decode(response, type=JobAnswer)
        except msgspec.DecodeError as error:
            raise ConnectionLostError("the response is not a valid answer") from error


def encode_job(job):
    """Return the request body for the submission of a job.

    :param job: a :class:`~buckthornshift.contracts.JobRequest`.
    """
    body = attrs.asdict(job, recurse=False)
    del body["job_id"]
    return msgspec.json.encode(body)
