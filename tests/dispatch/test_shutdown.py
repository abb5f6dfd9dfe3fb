"""The end of a graceful stop."""

import random

from buckthornshift.dispatch import (
    AnswerCaller,
    DispatchCore,
    DispatchSettings,
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
from buckthornshift.dispatch._shutdown import MAX_CHECK_GAP_MS


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


# Guards against requests that are cut off when the platform kills the process: each
# pass of its event loop takes long, so that every check came late and decided nothing.
def test_an_instance_that_is_always_late_exits_in_time():
    core = DispatchCore(random_state=random.Random(1))
    core.start(0.0, 0.0)
    core.handle(StopRequested(), 10.0, 10.0)
    now_ms, actions = 10.0, []
    late_ms = MAX_CHECK_GAP_MS + 20.0
    max_ms = DispatchSettings().stop_max_ms + 2.0 * late_ms
    while now_ms < max_ms and not any(isinstance(action, Exit) for action in actions):
        now_ms += late_ms
        actions = core.handle(TimeAdvanced(), now_ms, now_ms)
    assert any(isinstance(action, Exit) for action in actions)
