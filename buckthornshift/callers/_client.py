"""Client for callers: one submission, one answer, resumed under the same id."""

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
    """No entry instance gave an answer in time; the outcome is open."""


@attrs.define(kw_only=True)
class ClientCounts:
    """Messages that a client exchanged.

    :param n_requests: requests sent.
    :param n_resubmissions: requests sent again after a lost connection.
    """

    n_requests: int = 0
    n_resubmissions: int = 0


class CallerClient:
    """Submit jobs to entry instances.

    A lost connection is followed by a resubmission of the same job under the same
    id at the next instance. An answer "not run" is returned as it is, with the time
    to come back.

    :param addresses: entry instances as (host, port) pairs.
    :param delay_s: one-way delay added to each request, in seconds.
    """

    def __init__(self, addresses=(), delay_s=0.0):
        self.addresses = addresses
        self.delay_s = delay_s
        self.counts = ClientCounts()
        self._pools = [
            HttpPool(host=host, port=port, max_idle=64) for host, port in addresses
        ]
        self._turn = 0

    async def submit(self, job):
        """Submit a job and return its answer.

        :param job: a :class:`~buckthornshift.contracts.JobRequest`.
        :returns: a :class:`~buckthornshift.contracts.JobAnswer`.
        :raises NoAnswerError: if no answer came within the job's timeout.
        """
        body = encode_job(job)
        give_up_s = time.monotonic() + job.timeout_ms / 1000.0 + ANSWER_GRACE_S
        is_resubmission = False
        while time.monotonic() < give_up_s:
            try:
                headers = RESUBMISSION_HEADERS if is_resubmission else JSON_HEADERS
                return await self._exchange("PUT", job.job_id, body, headers, give_up_s)
            except NotSentError:
                pass
            except ConnectionLostError:
                is_resubmission = True
                self.counts.n_resubmissions += 1
            await asyncio.sleep(RESUBMIT_DELAY_S)
        raise NoAnswerError(job.job_id)

    async def cancel(self, job_id):
        """Cancel a job and return the answer."""
        give_up_s = time.monotonic() + ANSWER_GRACE_S
        return await self._exchange("DELETE", job_id, b"", (), give_up_s)

    def close(self):
        """Close the connections."""
        for pool in self._pools:
            pool.close()

    async def _exchange(self, method, job_id, body, headers, give_up_s):
        pool = self._pools[self._turn % len(self._pools)]
        self._turn += 1
        self.counts.n_requests += 1
        await asyncio.sleep(self.delay_s)
        timeout_s = max(0.1, give_up_s - time.monotonic())
        path = f"/v1/jobs/{job_id}"
        try:
            answer = await send_request(
                pool, method, path, body, headers, timeout_s=timeout_s
            )
        except HttpStatusError as error:
            answer = error.body
        await asyncio.sleep(self.delay_s)
        try:
            return msgspec.json.decode(answer, type=JobAnswer)
        except msgspec.DecodeError as error:
            raise ConnectionLostError("the answer is not valid") from error


def encode_job(job):
    """Return the body of a submission.

    :param job: a :class:`~buckthornshift.contracts.JobRequest`.
    """
    body = attrs.asdict(job, recurse=False)
    del body["job_id"]
    return msgspec.json.encode(body)
