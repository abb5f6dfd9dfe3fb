"""The end of a graceful stop."""

import random

from buckthornshift.dispatch import (
    AnswerCaller,
    DispatchCore,
    EndReason,
    Exit,
    JobArrived,
    JobSpec,
    Outcome,
    Queue,
    StepSpec,
    StopRequested,
    TimeAdvanced,
)


def test_a_request_that_is_read_after_the_exit_is_refused():
    """The connection closes soon, so an accepted job would get no answer."""
    core = DispatchCore(random_state=random.Random(1))
    core.start(0.0, 0.0)
    core.handle(StopRequested(), 10.0, 10.0)
    now_ms, actions = 10.0, []
    while not any(isinstance(action, Exit) for action in actions):
        now_ms += 50.0
        actions = core.handle(TimeAdvanced(), now_ms, now_ms)
    arrival = JobArrived(
        caller_ref=1,
        job=JobSpec(job_id="0" * 16, steps=(StepSpec(estimate_ms=50.0),)),
        queue=Queue(name="pay"),
        timeout_ms=1_500.0,
    )
    actions = core.handle(arrival, now_ms + 1.0, now_ms + 1.0)
    (answer,) = [action for action in actions if isinstance(action, AnswerCaller)]
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is EndReason.STOPPING
