"""Steps on several instances under a virtual clock."""

from behave import given, then, when

from buckthornshift.contracts import JobRequest, TaskSpec, make_job_id
from buckthornshift.core import JobCancelRequested, JobSubmitted
from buckthornshift.proving import (
    FakeCallers,
    Fault,
    FaultInjector,
    FaultKind,
    RunPlan,
    Simulation,
    TrackedRequest,
)

ENTRIES_BY_WORD = {
    "balance-check": "check",
    "payout": "pay",
    "limited-check": "limited",
}


class Script:
    """A scripted run: what is submitted, cancelled and broken, and when."""

    def __init__(self, n_zones, n_entries, n_servers, slots):
        plan = RunPlan(
            seed=1,
            n_zones=n_zones,
            n_entries=n_entries,
            n_servers=n_servers,
            slots=slots,
            n_jobs=0,
        )
        self.simulation = Simulation(plan=plan)
        self.callers = FakeCallers(simulation=self.simulation)
        self.simulation.on_answer = self.take_answer
        self.simulation.start()
        self.callers.start()
        self.jobs_by_name = {}
        self.requests_by_name = {}
        self.request_by_ref = {}
        self.max_limited = 0
        self.watch_limit()

    def watch_limit(self):
        models = [server.model for server in self.simulation.servers if server.model]
        n_running = sum(
            model.attempts_by_id[attempt_id].report.output["echo"]["entry"] == "limited"
            for model in models
            for attempt_id in model.running_ids
        )
        self.max_limited = max(self.max_limited, n_running)
        self.simulation.clock.schedule(5.0, self.watch_limit)

    def at(self, at_ms, function, *args):
        self.simulation.clock.schedule(
            at_ms - self.simulation.clock.now_ms, function, *args
        )

    def make_job(self, name, entry, n_tasks, run_ms, declared_ms=0, timeout_ms=10_000):
        job_id = make_job_id(
            self.simulation.clock.wall_ms, self.simulation.random_state
        )
        tasks = tuple(
            TaskSpec(
                task_id=f"t{i}",
                payload={"run_ms": run_ms, "job": name, "task": i, "entry": entry},
                run_time_ms=declared_ms,
            )
            for i in range(n_tasks)
        )
        job = JobRequest(job_id=job_id, entry=entry, tasks=tasks, timeout_ms=timeout_ms)
        self.jobs_by_name[name] = job
        return job

    def send(self, name, index, make_event):
        node = self.simulation.entries[index - 1]
        ref = len(self.request_by_ref) + 1
        job = self.jobs_by_name[name]
        request = TrackedRequest(
            job=job,
            is_repeatable=job.entry != "pay",
            target_incarnation=node.record.incarnation,
            has_arrived=True,
        )
        self.request_by_ref[ref] = request
        self.requests_by_name.setdefault(name, []).append(request)
        self.simulation.oracle.requests.append(request)
        self.simulation.deliver(node, node.generation, make_event(ref, job))

    def submit(self, name, index, is_again=False):
        def make_event(ref, job):
            return JobSubmitted(caller_ref=ref, job=job, is_resubmission=is_again)

        self.send(name, index, make_event)

    def cancel(self, name, index):
        def make_event(ref, job):
            return JobCancelRequested(caller_ref=ref, job_id=job.job_id)

        self.send(name, index, make_event)
        self.requests_by_name[name][-1].is_cancel = True

    def take_answer(self, node, action):
        request = self.request_by_ref[action.caller_ref]
        request.sent_ms = self.simulation.clock.now_ms
        self.simulation.oracle.record_answer(request, action.answer)

    def count_starts(self, name):
        job_id = self.jobs_by_name[name].job_id
        starts_by_task = self.simulation.oracle.starts_by_task
        return [
            len(starts_by_task.get((job_id, task.task_id), ()))
            for task in self.jobs_by_name[name].tasks
        ]


@given(
    "{n_zones:d} zones with {n_entries:d} instances and {n_servers:d} servers "
    "of {slots:d} slots"
)
def make_script(context, n_zones, n_entries, n_servers, slots):
    context.script = Script(n_zones, n_entries, n_servers, slots)


@when(
    "at {at_ms:d} ms a caller submits {word} {name} of {n_tasks:d} tasks "
    "of {run_ms:d} ms to instance {index:d}"
)
def submit(context, at_ms, word, name, n_tasks, run_ms, index):
    script = context.script
    script.make_job(name, ENTRIES_BY_WORD[word], n_tasks, run_ms)
    script.at(at_ms, script.submit, name, index)


@when(
    "at {at_ms:d} ms a caller submits {word} {name} of {n_tasks:d} tasks of {run_ms:d} "
    "ms declared as {declared_ms:d} ms with timeout {timeout_ms:d} ms"
)
def submit_declared(
    context, at_ms, word, name, n_tasks, run_ms, declared_ms, timeout_ms
):
    script = context.script
    entry = ENTRIES_BY_WORD[word]
    script.make_job(name, entry, n_tasks, run_ms, declared_ms, timeout_ms)
    script.at(at_ms, script.submit, name, 1)


@when("at {at_ms:d} ms {n_jobs:d} {word}s of {n_tasks:d} tasks of {run_ms:d} ms arrive")
def submit_many(context, at_ms, n_jobs, word, n_tasks, run_ms):
    script = context.script
    n_entries = len(script.simulation.entries)
    for index in range(n_jobs):
        name = f"{word}-{at_ms}-{index}"
        script.make_job(name, ENTRIES_BY_WORD[word], n_tasks, run_ms)
        script.at(at_ms + index, script.submit, name, 1 + index % n_entries)


@when("at {at_ms:d} ms {name} is submitted again to instance {index:d}")
def submit_again(context, at_ms, name, index):
    context.script.at(at_ms, context.script.submit, name, index, True)


@when("at {at_ms:d} ms {name} is cancelled at instance {index:d}")
def cancel(context, at_ms, name, index):
    context.script.at(at_ms, context.script.cancel, name, index)


@when("from {start_ms:d} ms to {end_ms:d} ms fault {kind} strikes number {target:d}")
def inject(context, start_ms, end_ms, kind, target):
    script = context.script
    fault = Fault(
        kind=FaultKind(kind.replace(" ", "_")),
        start_ms=start_ms,
        length_ms=end_ms - start_ms,
        target=target - 1,
    )
    injector = FaultInjector(simulation=script.simulation, callers=script.callers)
    script.at(start_ms, injector.inject, fault)


@when("the run goes on to {end_ms:d} ms")
def run_on(context, end_ms):
    context.script.simulation.clock.run_until(end_ms)


@then("job {name} is answered {status} for {reason}")
def check_reason(context, name, status, reason):
    answer = context.script.requests_by_name[name][-1].answer
    assert answer is not None, "no answer"
    assert (answer.status.value, answer.reason.value) == (status, reason), answer


@then("job {name} is answered complete")
def check_complete(context, name):
    answer = context.script.requests_by_name[name][-1].answer
    assert answer is not None and answer.status.value == "complete", answer


@then("every request for {name} is answered complete")
def check_every_complete(context, name):
    for request in context.script.requests_by_name[name]:
        assert request.answer is not None, "no answer"
        assert request.answer.status.value == "complete", request.answer


@then("job {name} is answered before {at_ms:d} ms")
def check_early(context, name, at_ms):
    request = context.script.requests_by_name[name][-1]
    assert request.answer is not None and request.sent_ms < at_ms, request.sent_ms


@then("each task of {name} started {times}")
def check_times(context, name, times):
    starts = context.script.count_starts(name)
    expected = {"once": {1}, "never": {0}, "at most once": {0, 1}}[times]
    assert set(starts) <= expected, starts


@then("at least {n_jobs:d} jobs are answered {status}")
def check_count(context, n_jobs, status):
    answers = [r.answer for r in context.script.simulation.oracle.requests if r.answer]
    got = sum(answer.status.value == status for answer in answers)
    assert got >= n_jobs, got


@then("no accepted job was late")
def check_late(context):
    for request in context.script.simulation.oracle.requests:
        assert request.answer is not None
        assert request.answer.reason != "deadline_exceeded", request.answer


@then("every instance has the same catalogue with limit {limit:d} on balance checks")
def check_catalogue(context, limit):
    for node in context.script.simulation.entries:
        catalogue = node.core.context.catalogue
        assert catalogue.find_entry("check").max_tasks_per_job == limit


@then("event {name} was logged by instance {index:d}")
def check_event(context, name, index):
    codes = context.script.simulation.oracle.events_by_node[f"entry-{index - 1}"]
    assert name in {code.name for code in codes}, codes


@then("every promise holds")
def check_promises(context):
    simulation = context.script.simulation
    simulation.clock.run_until(simulation.clock.now_ms + 40_000.0)
    simulation.oracle.check_end(simulation)


@then("a job passed to a dead instance is answered failed for {reason}")
def check_passed_on(context, reason):
    answers = [r.answer for r in context.script.simulation.oracle.requests if r.answer]
    assert reason in {answer.reason for answer in answers}, answers


@then("at most {n_tasks:d} tasks of limited-checks ran at once")
def check_limit(context, n_tasks):
    assert context.script.max_limited <= n_tasks, context.script.max_limited
    assert context.script.max_limited > n_tasks // 2, context.script.max_limited
