"""Loads on real sockets over loopback, open loop: arrivals follow a schedule."""

import asyncio
import random
import time

from ..callers import CallerClient, NoAnswerError
from ..contracts import JobStatus
from ..proving import FaultKind
from ..standins import BackendFaults, PlatformFaults
from ._load_plan import LoadPlan
from ._local_system import LocalSystem
from ._profiles import assign_job_id, make_catalogue
from ._recorder import LoadRecorder

RESTART_S = 0.5
START_DELAY_S = 0.2


class RealTimeRun:
    """Run a profile on a system over loopback and record what callers see.

    It takes the same parameters as :class:`VirtualTimeRun` and gives the same result.

    :param load_plan: the :class:`LoadPlan`.
    :param system: a system that runs already; ``None`` for one inside this process.
    :param on_progress: called with the number of answered jobs, or ``None``.
    """

    def __init__(self, load_plan=None, system=None, on_progress=None):
        self.load_plan = load_plan or LoadPlan()
        self.on_progress = on_progress
        self.system = system
        self._system = None
        self.recorder = None
        self._clients = []
        self._random_state = random.Random(self.load_plan.seed)

    def run(self):
        """Run to the end and return the :class:`LoadResult`."""
        return asyncio.run(self.run_async())

    async def run_async(self):
        """Run to the end inside an event loop and return the :class:`LoadResult`."""
        plan = self.load_plan
        self._system = self.system or LocalSystem(
            shape=plan.shape, core=plan.core_settings, random_seed=plan.seed
        )
        await self._system.start()
        n_slots = self._system.count_slots()
        self.recorder = LoadRecorder(
            n_slots=n_slots, min_network_ms=2 * plan.shape.client_delay_ms
        )
        try:
            await self._system.apply_catalogue(make_catalogue(self.load_plan.profile))
            await self._run_load(n_slots)
            return await self._finish()
        finally:
            for client in self._clients:
                client.close()
            await self._system.stop()

    async def _run_load(self, n_slots):
        self._refresh_clients()
        arrivals = self.load_plan.draw_arrivals(n_slots, self._random_state)
        start_s = time.monotonic() + START_DELAY_S
        faults = [
            asyncio.ensure_future(self._strike(fault, start_s))
            for fault in self.load_plan.faults
        ]
        await asyncio.gather(*(self._run_job(a, start_s) for a in arrivals))
        await asyncio.gather(*faults)

    async def _run_job(self, arrival, start_s):
        due_s = start_s + arrival.at_ms / 1000.0
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        job = assign_job_id(arrival.job, time.time() * 1000.0, self._random_state)
        tasks = [self._submit(job)]
        if arrival.is_duplicated:
            tasks.append(self._submit(job))
        if arrival.cancel_after_ms is not None:
            tasks.append(self._cancel(job, arrival.cancel_after_ms))
        answers = await asyncio.gather(*tasks)
        elapsed_ms = (time.monotonic() - due_s) * 1000.0
        self._check(job, answers[0])
        self.recorder.record_answer(arrival, answers[0], elapsed_ms)
        if self.on_progress is not None:
            self.on_progress(self.recorder.n_jobs)

    async def _submit(self, job):
        client = self._random_state.choice(self._clients)
        try:
            return await client.submit(job)
        except NoAnswerError:
            self.recorder.record_violation("no_answer")
            return None

    async def _cancel(self, job, after_ms):
        await asyncio.sleep(after_ms / 1000.0)
        return await self._random_state.choice(self._clients).cancel(job.job_id)

    def _check(self, job, answer):
        if answer is None or answer.status is not JobStatus.COMPLETE:
            return
        if answer.job_id != job.job_id:
            self.recorder.record_violation("own_answer")
        expected = [task.task_id for task in job.tasks]
        if [result.task_id for result in answer.results] != expected:
            self.recorder.record_violation("whole_answer")

    def _refresh_clients(self):
        addresses = self._system.list_addresses()
        delay_s = self.load_plan.shape.client_delay_ms / 1000.0
        # One client an instance, which fails over to the others in turn.
        self._clients += [
            CallerClient(
                addresses=addresses[index:] + addresses[:index], delay_s=delay_s
            )
            for index in range(len(addresses))
        ]
        del self._clients[: -len(addresses)]

    async def _strike(self, fault, start_s):
        due_s = start_s + fault.start_ms / 1000.0
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        length_s = fault.length_ms / 1000.0
        system = self._system
        entry = system.entries[fault.target % len(system.entries)]
        server = system.servers[fault.target % len(system.servers)]
        match fault.kind:
            case FaultKind.ENTRY_DEATH:
                await self._replace_entry(entry, is_graceful=False)
            case FaultKind.ENTRY_DRAIN:
                await self._replace_entry(entry, is_graceful=True)
            case FaultKind.SERVER_LEAVE:
                await self._replace_server(server)
            case FaultKind.SERVER_FAILS:
                await _set_for(server, BackendFaults(fails_everything=True), length_s)
            case FaultKind.SERVER_SLOW:
                await _set_for(server, BackendFaults(slow_factor=8.0), length_s)
            case FaultKind.SERVER_SILENT:
                await _set_for(server, BackendFaults(is_silent=True), length_s)
            case FaultKind.LOG_OUTAGE:
                system.platform.faults = PlatformFaults(is_log_down=True)
                await asyncio.sleep(length_s)
                system.platform.faults = PlatformFaults()
            case FaultKind.LOG_SLOW:
                system.platform.faults = PlatformFaults(extra_sync_ms=400.0)
                await asyncio.sleep(length_s)
                system.platform.faults = PlatformFaults()
            case FaultKind.LIST_LAG:
                system.platform.faults = PlatformFaults(list_lag_ms=2_000.0)
                await asyncio.sleep(length_s)
                system.platform.faults = PlatformFaults()

    async def _replace_entry(self, entry, is_graceful):
        system = self._system
        system.remove_entry(entry)
        self._refresh_clients()
        if is_graceful:
            await entry.drain()
            await entry.wait()
        else:
            await entry.kill()
            await asyncio.sleep(RESTART_S)
        await system.add_entry()
        self._refresh_clients()

    async def _replace_server(self, server):
        system = self._system
        system.remove_server(server)
        await server.leave()
        await system.add_server()

    async def _finish(self):
        counts = await self._system.collect_counts()
        n_requests = sum(client.counts.n_requests for client in self._clients)
        messages = counts.make_message_counts(n_requests, n_requests)
        n_seen = sum(counts.starts_by_task.values())
        if not counts.is_partial and n_seen > messages.results:
            self.recorder.record_violation("starts_disagree")
        name = self.load_plan.name
        return self.recorder.make_result(name, messages, counts.starts_by_task)


async def _set_for(server, faults, length_s):
    server.model.faults = faults
    await asyncio.sleep(length_s)
    server.model.faults = BackendFaults()
