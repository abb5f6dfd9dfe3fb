"""The log is bounded in volume and never blocks."""

import json
import os

import eliot
import pytest

from buckthornshift.dispatch import LogCode, LogLine
from buckthornshift.serving._logs import (
    MAX_BUFFER_BYTES,
    MAX_WRITE_BYTES,
    RateLimitedLog,
)


class Clock:
    now_ms = 0.0

    def read(self):
        return self.now_ms


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        os.close(fd)


@pytest.fixture
def make_log(pipe):
    opened = []

    def make(**parameters):
        clock = Clock()
        log = RateLimitedLog(
            fd=pipe[1], read_monotonic_ms=clock.read, instance_name="n", **parameters
        )
        log.open()
        opened.append(log)
        return log, clock

    yield make
    for log in opened:
        eliot.remove_destination(log._take)


def read_lines(fd):
    os.set_blocking(fd, False)
    try:
        return [json.loads(line) for line in os.read(fd, 10**6).splitlines()]
    except BlockingIOError:
        return []


def test_a_line_says_what_and_about_whom(pipe, make_log):
    log, _ = make_log()
    log.write(LogLine(code=LogCode.JOB_SENT, subject="j", fields={"owner": "a:1"}))
    log.flush()
    (line,) = read_lines(pipe[0])
    assert (line["code"], line["message_type"]) == (6102, "job_sent")
    assert (line["subject"], line["owner"], line["instance"]) == ("j", "a:1", "n")


def test_lines_above_the_rate_are_counted_and_said(pipe, make_log):
    log, clock = make_log(lines_per_s=5.0)
    for _ in range(30):
        log.write(LogLine(code=LogCode.JOB_SENT, subject="j"))
    assert log.n_dropped == 20
    clock.now_ms = 1_000.0
    log.write(LogLine(code=LogCode.JOB_SENT, subject="last"))
    log.flush()
    lines = read_lines(pipe[0])
    assert lines[-2]["message_type"] == "lines_dropped"
    assert lines[-2]["n"] == 20
    assert lines[-1]["subject"] == "last"


def test_a_reader_that_does_not_read_blocks_nothing(make_log):
    log, _ = make_log(lines_per_s=1e9)
    line = LogLine(code=LogCode.JOB_SENT, subject="x" * 1_000)
    for _ in range(2_000):
        log.write(line)
        log.flush()
    assert log.n_dropped > 0
    assert log._n_buffered_bytes <= MAX_BUFFER_BYTES


def test_writes_are_whole_lines_that_a_pipe_takes_at_once(make_log, monkeypatch):
    """Longer writes were torn apart by those of other processes."""
    log, _ = make_log()
    sizes = []

    def write(fd, data):
        assert data.endswith(b"\n")
        sizes.append(len(data))
        return len(data)

    monkeypatch.setattr(os, "write", write)
    for _ in range(200):
        log.write(LogLine(code=LogCode.JOB_SENT, subject="x" * 100))
    log.flush()
    assert len(sizes) > 5
    assert max(sizes) <= MAX_WRITE_BYTES
    assert log._n_buffered_bytes == 0
