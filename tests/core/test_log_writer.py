"""Log writer: group commit, append rate, lost responses and log outages."""

import random

from buckthornshift.contracts import Claim, decode_message
from buckthornshift.core import TimerQueue
from buckthornshift.core._log_writer import LogHealth, LogWriter


def make_writer(appends_per_s=100.0):
    return LogWriter(
        writer_id="w",
        appends_per_s=appends_per_s,
        random_state=random.Random(1),
        timers=TimerQueue(),
    )


def test_claims_are_batched_while_an_append_is_in_flight():
    writer = make_writer()
    writer.add_claim(Claim(job_id="a"))
    first = writer.make_append(0.0, 1)
    writer.add_claim(Claim(job_id="b"))
    writer.add_claim(Claim(job_id="c"))
    assert writer.make_append(50.0, 1) is None
    writer.finish_append(first.append_id)
    second = decode_message(writer.make_append(50.0, 1).body)
    assert [claim.job_id for claim in second.claims] == ["b", "c"]


def test_append_interval_follows_the_share_of_the_append_rate():
    writer = make_writer(appends_per_s=100.0)
    writer.add_claim(Claim(job_id="a"))
    first = writer.make_append(0.0, 10)
    writer.finish_append(first.append_id)
    writer.add_claim(Claim(job_id="b"))
    assert writer.make_append(99.0, 10) is None
    assert writer.make_append(100.0, 10) is not None


def test_records_are_appended_again_until_they_are_seen_in_the_log():
    writer = make_writer()
    writer.add_claim(Claim(job_id="a"))
    first = writer.make_append(0.0, 1)
    writer.fail_append(first.append_id, 1_000.0)
    assert writer.make_append(1_000.0, 1) is None
    retry = writer.make_append(1_500.0, 1)
    assert decode_message(retry.body).claims == decode_message(first.body).claims
    # The first append is read back from the log, so nothing is pending any more.
    writer.confirm_batch(decode_message(first.body))
    assert not writer.has_pending


def test_late_response_to_a_failed_append_is_ignored():
    writer = make_writer()
    writer.add_claim(Claim(job_id="a"))
    first = writer.make_append(0.0, 1)
    writer.fail_append(first.append_id, 1.0)
    assert writer.finish_append(first.append_id) is None
    assert writer.has_pending


def test_outage_begins_at_a_failure_long_after_the_last_success():
    health = LogHealth(outage_after_ms=1_000.0)
    health.record_success(0.0)
    assert not health.record_failure(500.0)
    assert health.record_failure(1_200.0)
    assert not health.record_failure(1_300.0)
    assert health.record_success(2_000.0)
    assert health.outage_ended_ms == 2_000.0
